package autoscale

import (
	"math"
	"time"
)

const (
	// targetUtilisation is the fraction of the capacity that servers are ordered for. The rest is for bursts shorter than
	// the boot time.
	targetUtilisation = 0.7
	// reactionTime is the time from a change of demand until the order that answers it: the lag of the fast average, and one
	// exchange between gateways, one round and one call.
	reactionTime = 3 * time.Second
	// maxForecast bounds what the trend adds, as a fraction of the rate. A step looks like a steep ramp for some seconds. At
	// 0.5, a ramp from 5 to 65 work per second in 90 s was answered too late with a boot time of 18 s.
	maxForecast = 1
	// backlogTime is the time within which waiting work is to be served.
	backlogTime = 5 * time.Second
)

// horizon returns how far ahead demand is predicted: until a server that is ordered now serves with its models.
func (s *Service) horizon() time.Duration { return s.Bounds.Boot + s.Load + reactionTime }

// forecast returns the work per second to serve when a server that is ordered now serves. Falling demand is not predicted,
// because a server that is removed too early is missed for a whole boot time.
func (s *Service) forecast(d Demand) float64 {
	rise := max(0, d.Trend) * s.horizon().Seconds()
	return d.Rate + min(rise, maxForecast*d.Rate) + d.Waiting/backlogTime.Seconds()
}

// room returns the work per second that a data centre may get servers for, or those it has if its order is overdue.
func (s *Service) room(now time.Duration, dc *DataCentre) float64 {
	servers := s.Bounds.Max
	if s.overdue(now, dc) {
		servers = dc.listed()
	}
	if s.Capacity <= 0 && servers > 0 {
		return unknownRoom
	}
	return float64(servers) * s.Capacity * targetUtilisation
}

// unknownRoom is the room of a data centre while the capacity of a server is not known.
const unknownRoom = maxWork

// valid reports whether all figures of the demand are numbers that a fleet can reach.
func (s *Service) valid() bool {
	all := s.Unplaced
	for i := range s.DataCentres {
		all = all.plus(s.DataCentres[i].Demand)
	}
	for _, n := range []float64{all.Rate, all.Trend, all.Waiting, all.Refused, s.Capacity} {
		if !(math.Abs(n) <= maxWork) {
			return false
		}
	}
	return all.Rate >= 0 && all.Waiting >= 0
}

// divide returns the predicted work per second that each data centre has to serve. Demand of data centres that cannot
// serve it, demand of unknown origin, and demand beyond the room of a data centre move to the others in proportion to the
// room that they have left.
func (s *Service) divide(now time.Duration) []float64 {
	loads, rooms := make([]float64, len(s.DataCentres)), make([]float64, len(s.DataCentres))
	if !s.valid() {
		return loads
	}
	moving, usable, spare := s.forecast(s.Unplaced), 0, 0.0
	for i := range s.DataCentres {
		dc := &s.DataCentres[i]
		load := s.forecast(dc.Demand)
		if dc.usable() {
			rooms[i] = s.room(now, dc)
			usable++
		}
		loads[i] = min(load, rooms[i])
		moving += load - loads[i]
		spare += rooms[i] - loads[i]
	}
	for i := range s.DataCentres {
		switch {
		case !s.DataCentres[i].usable():
		case spare <= moving:
			loads[i] += moving / float64(usable)
		default:
			loads[i] += moving * (rooms[i] - loads[i]) / spare
		}
	}
	return loads
}
