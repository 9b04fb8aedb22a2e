package autoscale

import (
	"slices"
	"time"
)

const (
	// maxBootFactor bounds the observed boot time in multiples of the configured one. Servers that take longer are missing
	// for another reason.
	maxBootFactor = 3
	// bootWeight is the weight of an observed boot time that is shorter than the last ones. A longer one counts at once.
	bootWeight = 0.3
)

// growth is an order for more servers that do not all serve yet.
type growth struct {
	count int
	at    time.Duration
}

// observeBoot updates the observed boot time of a service and returns the boot time to count on: the observed or the
// configured one, whichever is longer. A configured time that is too short would order servers too late on every ramp.
func (d *Decider) observeBoot(now time.Duration, s *Service) time.Duration {
	observed := d.boots[s.Name]
	limit := maxBootFactor * s.Bounds.Boot
	for i := range s.DataCentres {
		dc := &s.DataCentres[i]
		if !dc.Order.Known || s.News.ListAge > maxNewsAge {
			continue
		}
		state := d.zone(s.Name, dc.Name)
		if state.ordered && dc.Order.Count > state.lastCount {
			state.booting = append(state.booting, growth{dc.Order.Count, dc.Order.At})
		}
		state.ordered, state.lastCount = true, dc.Order.Count
		state.booting = slices.DeleteFunc(state.booting, func(g growth) bool {
			took := now - g.at
			switch {
			case g.count > dc.Order.Count || !dc.usable() || took > limit:
				return true // no longer ordered, or not a matter of booting
			case dc.Ready < g.count:
				observed = max(observed, took)
				return false
			}
			if took < observed {
				took = observed + time.Duration(bootWeight*float64(took-observed))
			}
			observed = took
			return true
		})
	}
	d.boots[s.Name] = observed
	return max(s.Bounds.Boot, min(observed, limit))
}
