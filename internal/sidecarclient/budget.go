package sidecarclient

import (
	"cmp"
	"slices"
	"time"
)

const (
	// discoveryFactor is the budget of polls to sidecars without a status, as a multiple of the poll budget. At full size
	// a gateway that starts then has the statuses of all sidecars in about 8 s instead of 76 s.
	discoveryFactor = 10
	// recentUsePeriod is the time for which a sidecar is polled as urgent after this gateway sent it a request.
	recentUsePeriod = 10 * time.Second
)

// pollCandidate is a sidecar that may be polled now.
type pollCandidate struct {
	address  string
	lastPoll time.Time // start of the last poll; zero if there was none
	tieBreak uint64    // order among candidates with the same lastPoll
	noStatus bool      // this gateway has no status of it yet
	urgent   bool      // it got a request recently or did not answer
}

// pick returns the addresses of the sidecars to poll. Urgent sidecars and others each get at least half of the budget,
// rounded down, as far as they need it, so that every sidecar is polled in turn. Sidecars without a status have a budget
// of their own, discoveryFactor times as large. Within a group, the sidecar whose last poll is longest ago comes first.
func pick(candidates []pollCandidate, budget int) []string {
	slices.SortFunc(candidates, func(a, b pollCandidate) int {
		if c := a.lastPoll.Compare(b.lastPoll); c != 0 {
			return c
		}
		// The candidates come in the random order of a map, which must not decide, or a round could miss sidecars.
		return cmp.Or(cmp.Compare(a.tieBreak, b.tieBreak), cmp.Compare(a.address, b.address))
	})
	addresses := make([]string, 0, min(len(candidates), budget*discoveryFactor))
	discovery, urgent, others := budget*discoveryFactor, 0, 0
	for _, d := range candidates {
		switch {
		case d.noStatus:
		case d.urgent:
			urgent++
		default:
			others++
		}
	}
	urgent = min(urgent, max(budget-others, budget/2))
	others = min(others, budget-urgent)
	for _, d := range candidates {
		left := &others
		switch {
		case d.noStatus:
			left = &discovery
		case d.urgent:
			left = &urgent
		}
		if *left > 0 {
			*left--
			addresses = append(addresses, d.address)
		}
	}
	return addresses
}
