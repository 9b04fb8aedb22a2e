package autoscale

import (
	"math"
	"slices"
	"time"
)

const (
	// maxNewsAge is the age from which news counts as old. Gateways exchange their load every 250 ms, and a peer's news
	// expires after 2 s.
	maxNewsAge = 3 * time.Second
	// shrinkUtilisation is the utilisation of the remaining servers up to which one is removed. Its distance from
	// targetUtilisation is more than the noise of a constant rate moves the forecast.
	shrinkUtilisation = 0.5
	// windowFactor is the stabilisation window in boot times: a server that was removed too early is missed for one boot
	// time, so keeping it for three costs little beside that. The window is within minWindow and maxWindow.
	windowFactor = 3
	minWindow    = 20 * time.Second
	maxWindow    = 5 * time.Minute
	// stepsPerWindow is the number of servers that may be removed in each further window.
	stepsPerWindow = 4
	// overdueFactor is the number of boot and load times after which an order that is not carried out is not counted on:
	// the data centre may be lost, so its demand moves to others.
	overdueFactor = 2
	// shortageRefused is the refused fraction of the demand, and shortageWait the waiting time, from which a service is
	// short of servers whatever its learned capacity says.
	shortageRefused = 0.01
	shortageWait    = 500 * time.Millisecond
	// shortageStep is the fraction of the servers that is added at a time when the capacity does not explain a shortage.
	shortageStep = 0.25
)

type zoneKey struct{ service, dataCentre string }

// zoneState is the history of a service in a data centre: since when one server fewer would suffice, what was listed until a
// count was ordered, and the orders whose servers boot.
type zoneState struct {
	below      bool
	since      time.Duration
	seen       bool
	firstSeen  time.Duration // when a current server list was first seen
	mostListed int
	ordered    bool // lastCount is known
	lastCount  int  // last ordered count
	booting    []growth
}

// Decider decides the counts of all services. It keeps the stabilisation windows and the observed boot times; a new one
// starts them again. It reads no clock and is not safe for concurrent use.
type Decider struct {
	zones map[zoneKey]*zoneState
	boots map[string]time.Duration // observed boot time by service
}

// NewDecider returns a Decider without history.
func NewDecider() *Decider {
	return &Decider{zones: make(map[zoneKey]*zoneState), boots: make(map[string]time.Duration)}
}

// window returns for how long one server fewer must suffice before one is removed.
func (s *Service) window() time.Duration {
	return min(max(windowFactor*(s.Bounds.Boot+s.Load), minWindow), maxWindow)
}

// serversFor returns the number of servers that take load at a utilisation, or zero if the capacity is not known.
func (s *Service) serversFor(load, utilisation float64) int {
	if s.Capacity <= 0 || !(load > 0) {
		return 0
	}
	// The bound keeps the conversion defined for any load; the subtraction absorbs rounding errors of a sum.
	return int(math.Ceil(min(load/(s.Capacity*utilisation), 1<<30) - 1e-9))
}

// zone returns the state of a service in a data centre.
func (d *Decider) zone(service, dataCentre string) *zoneState {
	key := zoneKey{service, dataCentre}
	state := d.zones[key]
	if state == nil {
		state = new(zoneState)
		d.zones[key] = state
	}
	return state
}

// current returns the count before a decision: the last ordered one. Without one it is the most that was listed while a
// server ordered by others could have appeared; until then it is not known.
func (d *Decider) current(now time.Duration, s *Service, dc *DataCentre) (count int, known bool) {
	if dc.Order.Known {
		return dc.Order.Count, true
	}
	state := d.zone(s.Name, dc.Name)
	if s.News.ListAge <= maxNewsAge {
		if !state.seen {
			state.seen, state.firstSeen = true, now
		}
		state.mostListed = max(state.mostListed, dc.listed())
	}
	return state.mostListed, state.seen && now-state.firstSeen >= s.horizon()
}

// Decide returns a decision for each data centre of the service whose current count is known, in the order of the input.
func (d *Decider) Decide(now time.Duration, s Service) []Decision {
	decisions := make([]Decision, 0, len(s.DataCentres))
	index := make([]int, 0, len(s.DataCentres)) // of the data centre, by decision
	if !s.valid() {
		s.News.Complete, s.News.DemandAge = false, math.MaxInt64
	}
	s.Bounds.Boot = d.observeBoot(now, &s)
	s.DataCentres = slices.Clone(s.DataCentres)
	for i := range s.DataCentres {
		dc := &s.DataCentres[i]
		dc.Lost = dc.Lost || s.overdue(now, dc) && dc.listed() == 0
	}
	loads := s.divide(now)
	for i := range s.DataCentres {
		dc := &s.DataCentres[i]
		if current, known := d.current(now, &s, dc); known {
			decisions, index = append(decisions, s.grow(now, dc, current, loads[i])), append(index, i)
		}
	}
	s.keepModels(decisions, index)
	d.shrink(now, &s, decisions, index, loads)
	return decisions
}

// grow returns the current count, or more if the bounds or the demand need more.
func (s *Service) grow(now time.Duration, dc *DataCentre, current int, load float64) Decision {
	dec := Decision{
		Service: s.Name, DataCentre: dc.Name, Reason: ReasonHold, Current: current, Listed: dc.listed(), Load: load,
		Needed: s.serversFor(load, targetUtilisation), Capacity: s.Capacity, Floor: s.Bounds.Min, News: s.News,
	}
	dec.Count = min(max(current, s.Bounds.Min), s.Bounds.Max)
	if dec.Count != current {
		dec.Reason = ReasonBounds
	}
	if !dc.usable() {
		return dec
	}
	if s.News.DemandAge > maxNewsAge {
		dec.Reason = reasonOr(dec.Reason, ReasonNews)
		return dec
	}
	if needed := min(dec.Needed, s.Bounds.Max); needed > dec.Count {
		dec.Count, dec.Reason = needed, ReasonDemand
		return dec
	}
	if s.short(now, dc, dec.Count) {
		step := int(math.Ceil(shortageStep * float64(max(1, dec.Count))))
		if count := min(dec.Count+step, s.Bounds.Max); count > dec.Count {
			dec.Count, dec.Reason = count, ReasonShortage
		}
	}
	return dec
}

// reasonOr returns reason, or alternative if reason is that nothing changes.
func reasonOr(reason, alternative Reason) Reason {
	if reason == ReasonHold {
		return alternative
	}
	return reason
}

// short reports whether work waits or is refused although all servers that were ordered serve.
func (s *Service) short(now time.Duration, dc *DataCentre, count int) bool {
	if dc.Ready < count || dc.Order.Known && now-dc.Order.At < s.horizon() {
		return false
	}
	demand := dc.Demand.plus(s.Unplaced)
	return demand.Refused > shortageRefused*demand.Rate || demand.Waiting > demand.Rate*shortageWait.Seconds()
}

// overdue reports whether servers that were ordered are missing long after they should serve.
func (s *Service) overdue(now time.Duration, dc *DataCentre) bool {
	return dc.Order.Known && dc.listed() < dc.Order.Count && now-dc.Order.At > overdueFactor*s.horizon()
}

// keepModels raises the lowest counts until the data centres in use hold all models together.
func (s *Service) keepModels(decisions []Decision, index []int) {
	for {
		total, lowest := 0, -1
		for i := range decisions {
			if !s.DataCentres[index[i]].usable() {
				continue
			}
			total += decisions[i].Count
			if decisions[i].Count < s.Bounds.Max && (lowest < 0 || decisions[i].Count < decisions[lowest].Count) {
				lowest = i
			}
		}
		if total >= s.ModelReplicas || lowest < 0 {
			return
		}
		decisions[lowest].Count++
		decisions[lowest].Reason = ReasonModels
	}
}

// shrink removes one server from the data centre with the largest surplus, if one fewer sufficed there for the
// stabilisation window.
func (d *Decider) shrink(now time.Duration, s *Service, decisions []Decision, index []int, loads []float64) {
	best, bestSurplus := -1, 0
	for i := range decisions {
		dec, dc := &decisions[i], &s.DataCentres[index[i]]
		state := d.zone(s.Name, dc.Name)
		needed := s.serversFor(loads[index[i]], shrinkUtilisation)
		dec.Floor = max(s.Bounds.Min, s.modelFloor(decisions, index, i))
		against := s.againstShrinking(now, dc, dec, needed)
		if against != "" {
			state.below = false
			dec.Reason = reasonOr(dec.Reason, against)
			continue
		}
		if !state.below {
			state.below, state.since = true, now
		}
		if surplus := dec.Count - max(needed, dec.Floor); now-state.since >= s.window() && surplus > bestSurplus {
			best, bestSurplus = i, surplus
		}
	}
	if best < 0 {
		return
	}
	decisions[best].Count--
	decisions[best].Reason = ReasonSurplus
	window := s.window()
	d.zone(s.Name, decisions[best].DataCentre).since = now - window + window/stepsPerWindow
}

// againstShrinking returns why a data centre keeps its servers, or an empty reason if one could be removed.
func (s *Service) againstShrinking(now time.Duration, dc *DataCentre, dec *Decision, needed int) Reason {
	switch {
	case dec.Count != dec.Current:
		return dec.Reason
	case dc.Lost || !s.News.Complete || s.News.DemandAge > maxNewsAge || s.News.ListAge > maxNewsAge:
		return ReasonNews
	case s.Capacity <= 0 && dec.Load > 0:
		return ReasonNews // the need is not known
	case dc.Order.Known && dc.listed() != dec.Count && now-dc.Order.At < maxWindow:
		return ReasonInProgress // the platform may be unable to carry an order out, so the wait is bounded
	case dc.usable() && s.short(now, dc, dec.Count):
		return ReasonShortage
	case dec.Count-1 < max(needed, dec.Floor):
		return ReasonHold
	}
	return ""
}

// modelFloor returns the lowest count of a data centre with which the servers that stay in the others hold all models.
func (s *Service) modelFloor(decisions []Decision, index []int, own int) int {
	if !s.DataCentres[index[own]].usable() {
		return 0 // its servers count for nothing
	}
	others := 0
	for i := range decisions {
		if dc := &s.DataCentres[index[i]]; i != own && dc.usable() {
			others += min(decisions[i].Count, dc.listed())
		}
	}
	return min(max(0, s.ModelReplicas-others), s.Bounds.Max)
}

// Forget removes the history, when the duty has passed to another holder.
func (d *Decider) Forget() {
	clear(d.zones)
	clear(d.boots)
}
