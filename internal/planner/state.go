package planner

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/placement"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// refusalBackoff is the time for which a server gets no orders after it refused one, so that the plan uses another
// server instead of repeating the order in every round.
const refusalBackoff = 15 * time.Second

// changeKey identifies a load or unload of a model at a server. In tokenCounts the action is empty.
type changeKey struct {
	server, model string
	action        placement.Action
}

// tokenCount is the last value of a sidecar's token counter for a model. The counter restarts with each incarnation.
type tokenCount struct {
	incarnation string
	tokens      int64
	at          time.Duration // when the status was evaluated
}

// state is what the planner keeps between the rounds of one epoch.
type state struct {
	opts           Options
	epochStart     time.Duration // when the epoch began
	demand         *placement.CopyEstimator
	tokenCounts    map[changeKey]tokenCount    // by server and model
	inProgress     map[changeKey]time.Duration // value: when the change expires
	refusedUntil   map[string]time.Duration    // servers that refused an order; value: end of the back-off
	copies         map[string][]string         // addresses by model, from the copies rows at the beginning of the epoch
	adapters       map[string]bool             // by model name: whether the configuration of this round defines it as an adapter
	loadBucket     float64                     // token bucket: model loads that the weight store's rate allows now
	bucketFilledAt time.Duration
	observedAt     time.Duration // last update of the demand
}

func newState(opts Options, now time.Duration) *state {
	return &state{
		opts: opts, epochStart: now, demand: placement.NewCopyEstimator(opts.Demand), tokenCounts: make(map[changeKey]tokenCount),
		inProgress: make(map[changeKey]time.Duration), refusedUntil: make(map[string]time.Duration),
		bucketFilledAt: now, observedAt: now,
	}
}

// readCopies reads the copies rows. Without them the planner only knows the copies that statuses report.
func (s *state) readCopies(ctx context.Context, opts Options) {
	if opts.Copies == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, opts.StoreTimeout)
	defer cancel()
	copies, err := opts.Copies(ctx)
	if err != nil {
		opts.Log.Warn("reading the copies rows failed; copies at sidecars without a status are not counted", "error", err)
		return
	}
	s.copies = copies
}

// markInProgress records that an order for the proposal is about to be sent, and takes a load of a model from the bucket.
func (s *state) markInProgress(now time.Duration, p placement.Proposal) {
	s.inProgress[changeKey{p.Server, p.Model, p.Action}] = now + s.opts.OrderExpiry
	if p.Action == placement.Load && !s.adapters[p.Model] {
		s.loadBucket--
	}
}

// refused ends the proposal's change and starts the back-off of its server.
func (s *state) refused(now time.Duration, p placement.Proposal) {
	delete(s.inProgress, changeKey{p.Server, p.Model, p.Action})
	s.refusedUntil[p.Server] = now + refusalBackoff
}

// planInput builds the input of a plan from the configuration and the statuses of the sidecars of model services.
func (s *state) planInput(now time.Duration, snapshot *config.Snapshot, statuses []SidecarStatus) placement.Input {
	statuses = slices.DeleteFunc(slices.Clone(statuses), func(x SidecarStatus) bool {
		return x.Status.GetKind() != string(config.ServiceModel)
	})
	slices.SortFunc(statuses, func(a, b SidecarStatus) int { return cmp.Compare(a.Address, b.Address) })
	s.observeDemand(now, snapshot, statuses)
	s.dropFinished(now, statuses)
	in := placement.Input{MaxWeightsFraction: s.opts.MaxWeightsFraction}
	for _, x := range statuses {
		in.Servers = append(in.Servers, s.server(snapshot, x))
	}
	in.Servers = append(in.Servers, s.serversWithoutStatus(now, snapshot, statuses)...)
	s.adapters = make(map[string]bool)
	for _, m := range snapshot.Models() {
		s.adapters[m.Name] = m.Adapter()
		in.Models = append(in.Models, placement.Model{
			Name: m.Name, Base: m.Base, MemoryMB: m.MemoryMB, MinCopies: m.MinCopies,
			Copies: s.demand.Copies(m.Name), Rate: s.demand.Rate(m.Name),
		})
	}
	in.LoadBudget, in.AdapterLoadBudget = s.loadBudget(now)
	return in
}

// loadBudget refills the bucket and returns how many loads of models and of adapters may start now.
func (s *state) loadBudget(now time.Duration) (loads, adapterLoads int) {
	s.loadBucket += s.opts.LoadRate * (now - s.bucketFilledAt).Seconds()
	s.loadBucket = min(s.loadBucket, max(1, float64(s.opts.MaxConcurrentLoads)))
	s.bucketFilledAt = now
	loads, adapterLoads = s.opts.MaxConcurrentLoads, s.opts.AdapterLoads
	for c := range s.inProgress {
		switch {
		case c.action != placement.Load:
		case s.adapters[c.model]:
			adapterLoads--
		default:
			loads--
		}
	}
	return max(0, min(loads, int(math.Floor(s.loadBucket)))), max(0, adapterLoads)
}

// maxStatusAge returns the age above which a status is not used. In a large fleet a poll round takes longer than
// StatusMaxAge, and with that limit alone most sidecars would never be usable.
func (s *state) maxStatusAge() time.Duration { return max(s.opts.StatusMaxAge, 2*s.opts.PollRound()) }

// server converts a status, with the changes in progress at its sidecar, to the input of a plan.
func (s *state) server(snapshot *config.Snapshot, x SidecarStatus) placement.Server {
	status := x.Status
	dc := status.GetIdentity().GetDataCentre()
	configured, known := snapshot.DataCentre(dc)
	server := placement.Server{
		ID: x.Address, DataCentre: dc, MemoryMB: status.GetMemoryTotalMb(), FreeMB: status.GetMemoryFreeMb(),
		Resident: slices.Concat(status.GetResident(), status.GetAdapters()),
		Usable: x.Age <= s.maxStatusAge() && status.GetReady() && !status.GetDraining() &&
			!status.GetDataCentreOut() && known && !configured.OutOfService,
	}
	slices.Sort(server.Resident)
	server.Resident = slices.Compact(server.Resident)
	for c := range s.inProgress {
		switch {
		case c.server != x.Address:
		case c.action == placement.Load:
			server.Loading = append(server.Loading, c.model)
		default:
			server.Unloading = append(server.Unloading, c.model)
		}
	}
	_, server.AcceptsNoOrders = s.refusedUntil[x.Address]
	return server
}

// serversWithoutStatus returns servers that the copies rows name and that have no status. For two maximum status ages
// from the beginning of the epoch they count as holding copies, so that a new planner does not load models again that
// are already resident.
func (s *state) serversWithoutStatus(now time.Duration, snapshot *config.Snapshot, statuses []SidecarStatus) []placement.Server {
	if now >= s.epochStart+2*s.maxStatusAge() {
		return nil
	}
	reported := make(map[string]bool, len(statuses))
	for _, x := range statuses {
		reported[x.Address] = true
	}
	resident := make(map[string][]string)
	for _, m := range snapshot.Models() {
		for _, address := range s.copies[m.Name] {
			if !reported[address] {
				resident[address] = append(resident[address], m.Name)
			}
		}
	}
	var servers []placement.Server
	for address, names := range resident {
		// Listed as loading, because a copy that no status confirms must not justify the unload of another copy.
		servers = append(servers, placement.Server{ID: address, Usable: true, AcceptsNoOrders: true, Loading: names})
	}
	return servers
}

// dropFinished removes the changes that a status shows as done, and changes and back-offs that have expired.
func (s *state) dropFinished(now time.Duration, statuses []SidecarStatus) {
	byAddress := make(map[string]*wirepb.Status, len(statuses))
	for _, x := range statuses {
		byAddress[x.Address] = x.Status
	}
	for c, until := range s.inProgress {
		status := byAddress[c.server]
		resident := slices.Contains(status.GetResident(), c.model) || slices.Contains(status.GetAdapters(), c.model)
		if now >= until || (status != nil && resident == (c.action == placement.Load)) {
			delete(s.inProgress, c)
		}
	}
	for server, until := range s.refusedUntil {
		if now >= until {
			delete(s.refusedUntil, server)
		}
	}
}

// observeDemand adds the tokens that the sidecars counted since the last round to the demand. A counter of another
// incarnation only sets the new base value.
func (s *state) observeDemand(now time.Duration, snapshot *config.Snapshot, statuses []SidecarStatus) {
	served := make(map[string]int64)
	for _, x := range statuses {
		incarnation := x.Status.GetIdentity().GetIncarnation()
		for _, load := range x.Status.GetModelLoads() {
			key := changeKey{server: x.Address, model: load.GetModel()}
			last, ok := s.tokenCounts[key]
			if ok && last.incarnation == incarnation && load.GetTokens() > last.tokens {
				served[load.GetModel()] += load.GetTokens() - last.tokens
			}
			s.tokenCounts[key] = tokenCount{incarnation, load.GetTokens(), now}
		}
	}
	for _, m := range snapshot.Models() {
		s.demand.Observe(now, m.Name, served[m.Name], now-s.observedAt)
	}
	s.observedAt = now
	for key, c := range s.tokenCounts {
		if now-c.at > s.opts.OrderExpiry {
			delete(s.tokenCounts, key)
		}
	}
}
