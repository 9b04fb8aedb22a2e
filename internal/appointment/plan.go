package appointment

import (
	"cmp"
	"slices"
	"time"
)

// minRate is the least rate that is planned with, in tokens per millisecond. It keeps the durations finite.
const minRate = 0.1

// plan returns the time after which the caller of a refused request should return: when capacity is expected, behind what its
// organisation has pending, and when the servers are not busy with the return of another caller.
//
// An organisation's appointments follow each other at its share of the rate, as in fair queuing. Those of one with many pending are
// therefore far apart, and others get times between them.
func (b *Book) plan(now time.Duration, r Request) time.Duration {
	rate := max(r.Rate*returnShare, minRate)
	duration := func(tokens float64) time.Duration {
		return time.Duration(min(tokens, maxTokens) / rate * float64(time.Millisecond))
	}
	var others []*entry
	organisations := map[Organisation]bool{r.Organisation: true}
	pending := 0
	for _, e := range b.entries {
		if e.queue != r.Queue || e.returnAt <= now {
			continue
		}
		others = append(others, e)
		organisations[e.organisation] = true
		if e.organisation == r.Organisation {
			pending += e.tokens
		}
	}
	slices.SortFunc(others, func(a, b *entry) int { return cmp.Compare(a.returnAt, b.returnAt) })
	own := duration(max(0, r.Tokens))
	start := now + max(r.CapacityIn, MinDelay) + duration(float64(pending))*time.Duration(len(organisations))
	for _, e := range others {
		end := e.returnAt + duration(float64(e.tokens))
		if end <= start {
			continue
		}
		if e.returnAt >= start+own {
			break
		}
		start = end
	}
	return (start - now).Truncate(time.Millisecond) + time.Millisecond // Retry-After is sent in milliseconds
}
