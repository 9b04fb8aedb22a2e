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

// refusalPause is the time for which a server is left out after it refused an order, so that the plan
// turns to another one instead of repeating the order in every round.
const refusalPause = 15 * time.Second

// change names a change of residency under way.
type change struct {
	server, model string
	action        placement.Action
}

// counter is the last count of a model's tokens at a sidecar.
type counter struct {
	incarnation string
	tokens      int64
	at          time.Duration
}

// state is what the planner remembers between rounds of one epoch.
type state struct {
	opts     Options
	since    time.Duration // when the epoch began
	demand   *placement.Demand
	counters map[change]counter       // by server and model
	underWay map[change]time.Duration // until when
	paused   map[string]time.Duration // servers that refused an order
	copies   map[string][]string      // from the copies rows, at the beginning of the epoch
	adapters map[string]bool          // in the configuration of this round
	tokens   float64                  // loads that the weight store's rate allows now
	filledAt time.Duration
	observed time.Duration
}

func newState(opts Options, now time.Duration) *state {
	return &state{
		opts: opts, since: now, demand: placement.NewDemand(opts.Demand), counters: make(map[change]counter),
		underWay: make(map[change]time.Duration), paused: make(map[string]time.Duration),
		filledAt: now, observed: now,
	}
}

// readCopies reads the copies rows. Without them the planner only knows the copies that status shows.
func (s *state) readCopies(ctx context.Context, opts Options) {
	if opts.Copies == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, opts.StoreTimeout)
	defer cancel()
	copies, err := opts.Copies(ctx)
	if err != nil {
		opts.Log.Warn("copies rows not read", "error", err)
		return
	}
	s.copies = copies
}

func (s *state) began(now time.Duration, p placement.Proposal) {
	s.underWay[change{p.Server, p.Model, p.Action}] = now + s.opts.OrderExpiry
	if p.Action == placement.Load && !s.adapters[p.Model] {
		s.tokens--
	}
}

func (s *state) refused(now time.Duration, p placement.Proposal) {
	delete(s.underWay, change{p.Server, p.Model, p.Action})
	s.paused[p.Server] = now + refusalPause
}

// input makes the input of a plan from the configuration and the sidecars' status.
func (s *state) input(now time.Duration, snapshot *config.Snapshot, statuses []SidecarStatus) placement.Input {
	statuses = slices.DeleteFunc(slices.Clone(statuses), func(x SidecarStatus) bool {
		return x.Status.GetKind() != string(config.ServiceModel)
	})
	slices.SortFunc(statuses, func(a, b SidecarStatus) int { return cmp.Compare(a.Address, b.Address) })
	s.observe(now, snapshot, statuses)
	s.forget(now, statuses)
	in := placement.Input{WeightsPart: s.opts.WeightsPart}
	for _, x := range statuses {
		in.Servers = append(in.Servers, s.server(snapshot, x))
	}
	in.Servers = append(in.Servers, s.unheard(now, snapshot, statuses)...)
	s.adapters = make(map[string]bool)
	for _, m := range snapshot.Models() {
		s.adapters[m.Name] = m.Adapter()
		in.Models = append(in.Models, placement.Model{
			Name: m.Name, Base: m.Base, MemoryMB: m.MemoryMB, MinCopies: m.MinCopies,
			Copies: s.demand.Copies(m.Name), Rate: s.demand.Rate(m.Name),
		})
	}
	in.Loads, in.AdapterLoads = s.budget(now)
	return in
}

// budget returns the loads of models and of adapters that may start now.
func (s *state) budget(now time.Duration) (loads, adapterLoads int) {
	s.tokens += s.opts.LoadRate * (now - s.filledAt).Seconds()
	s.tokens = min(s.tokens, max(1, float64(s.opts.LoadSlots)))
	s.filledAt = now
	loads, adapterLoads = s.opts.LoadSlots, s.opts.AdapterLoads
	for c := range s.underWay {
		switch {
		case c.action != placement.Load:
		case s.adapters[c.model]:
			adapterLoads--
		default:
			loads--
		}
	}
	return max(0, min(loads, int(math.Floor(s.tokens)))), max(0, adapterLoads)
}

// maxAge is the age above which a status is not used. In a large fleet a poll round takes longer than
// StatusMaxAge, and most sidecars would never be usable.
func (s *state) maxAge() time.Duration { return max(s.opts.StatusMaxAge, 2*s.opts.PollRound()) }

func (s *state) server(snapshot *config.Snapshot, x SidecarStatus) placement.Server {
	status := x.Status
	dc := status.GetIdentity().GetDataCentre()
	configured, known := snapshot.DataCentre(dc)
	server := placement.Server{
		ID: x.Address, DataCentre: dc, MemoryMB: status.GetMemoryTotalMb(), FreeMB: status.GetMemoryFreeMb(),
		Resident: slices.Concat(status.GetResident(), status.GetAdapters()),
		Usable: x.Age <= s.maxAge() && status.GetReady() && !status.GetDraining() &&
			!status.GetDataCentreOut() && known && !configured.Out,
	}
	slices.Sort(server.Resident)
	server.Resident = slices.Compact(server.Resident)
	for c := range s.underWay {
		switch {
		case c.server != x.Address:
		case c.action == placement.Load:
			server.Loading = append(server.Loading, c.model)
		default:
			server.Unloading = append(server.Unloading, c.model)
		}
	}
	_, server.Closed = s.paused[x.Address]
	return server
}

// unheard returns servers that the copies rows name and that have not sent a status since the epoch
// began. They count as holders for a short time, so that a new planner does not load what is resident.
func (s *state) unheard(now time.Duration, snapshot *config.Snapshot, statuses []SidecarStatus) []placement.Server {
	if now >= s.since+2*s.maxAge() {
		return nil
	}
	heard := make(map[string]bool, len(statuses))
	for _, x := range statuses {
		heard[x.Address] = true
	}
	resident := make(map[string][]string)
	for _, m := range snapshot.Models() {
		for _, address := range s.copies[m.Name] {
			if !heard[address] {
				resident[address] = append(resident[address], m.Name)
			}
		}
	}
	var servers []placement.Server
	for address, names := range resident {
		// Loading, because a copy that was not heard of must not justify the unload of another.
		servers = append(servers, placement.Server{ID: address, Usable: true, Closed: true, Loading: names})
	}
	return servers
}

// forget drops the changes that the status shows as done and those that have expired.
func (s *state) forget(now time.Duration, statuses []SidecarStatus) {
	byAddress := make(map[string]*wirepb.Status, len(statuses))
	for _, x := range statuses {
		byAddress[x.Address] = x.Status
	}
	for c, until := range s.underWay {
		status := byAddress[c.server]
		resident := slices.Contains(status.GetResident(), c.model) || slices.Contains(status.GetAdapters(), c.model)
		if now >= until || (status != nil && resident == (c.action == placement.Load)) {
			delete(s.underWay, c)
		}
	}
	for server, until := range s.paused {
		if now >= until {
			delete(s.paused, server)
		}
	}
}

// observe adds the tokens that the sidecars counted since the last round to the demand.
func (s *state) observe(now time.Duration, snapshot *config.Snapshot, statuses []SidecarStatus) {
	served := make(map[string]int64)
	for _, x := range statuses {
		incarnation := x.Status.GetIdentity().GetIncarnation()
		for _, load := range x.Status.GetModelLoads() {
			key := change{server: x.Address, model: load.GetModel()}
			last, ok := s.counters[key]
			if ok && last.incarnation == incarnation && load.GetTokens() > last.tokens {
				served[load.GetModel()] += load.GetTokens() - last.tokens
			}
			s.counters[key] = counter{incarnation, load.GetTokens(), now}
		}
	}
	for _, m := range snapshot.Models() {
		s.demand.Observe(now, m.Name, served[m.Name], now-s.observed)
	}
	s.observed = now
	for key, c := range s.counters {
		if now-c.at > s.opts.OrderExpiry {
			delete(s.counters, key)
		}
	}
}
