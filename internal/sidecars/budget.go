package sidecars

import (
	"cmp"
	"slices"
	"time"
)

const (
	// learnFactor times the poll budget is spent on sidecars that have no status yet. At full size a gateway
	// that starts learns all of them in about 8 s instead of 76 s.
	learnFactor = 10
	// usedFor is the time for which a sidecar that got a request is polled first.
	usedFor = 10 * time.Second
)

// dueSidecar is a sidecar that may be polled now.
type dueSidecar struct {
	address   string
	attempted time.Time // last poll
	order     uint64    // decides between equal times
	unknown   bool      // it has no status yet
	urgent    bool      // it was used lately or did not answer
}

// pick returns the sidecars to poll. Urgent ones and others each have at least half of the
// budget, rounded down, as far as they need it, so that every sidecar has its turn. Within a group the longest wait goes first.
func pick(due []dueSidecar, budget int) []string {
	slices.SortFunc(due, func(a, b dueSidecar) int {
		if c := a.attempted.Compare(b.attempted); c != 0 {
			return c
		}
		// The map's random order must not decide, so that a round reaches every sidecar.
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.address, b.address))
	})
	addresses := make([]string, 0, min(len(due), budget*learnFactor))
	learn, urgent, others := budget*learnFactor, 0, 0
	for _, d := range due {
		switch {
		case d.unknown:
		case d.urgent:
			urgent++
		default:
			others++
		}
	}
	urgent = min(urgent, max(budget-others, budget/2))
	others = min(others, budget-urgent)
	for _, d := range due {
		left := &others
		switch {
		case d.unknown:
			left = &learn
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
