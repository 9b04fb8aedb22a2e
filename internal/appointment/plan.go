package appointment

import (
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
		return time.Duration(min(tokens, maxKnown*maxTokens) / rate * float64(time.Millisecond))
	}
	others := b.ordered(r.Queue, now+1, now+2*MaxDelay)
	organisations := map[Organisation]bool{r.Organisation: true}
	pending := 0
	for _, e := range others {
		organisations[e.organisation] = true
		if e.organisation == r.Organisation {
			pending += e.tokens
		}
	}
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

// Due returns the time for which room is kept now, given the prompt tokens per millisecond that all candidates process together. It is
// the work of the callers that return soon, as far as it exceeds what the servers process until each of them returns: if returns are
// spread out, work that is sent now delays only the first of them.
func (b *Book) Due(now time.Duration, q Queue, rate float64) (longest time.Duration) {
	if b.known.Load() == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	work := 0.0
	for _, e := range b.ordered(q, now-keepAfter, now+keepBefore) {
		work += float64(e.tokens)
		longest = max(longest, time.Duration(work/max(rate, minRate)*float64(time.Millisecond))-max(0, e.returnAt-now))
	}
	return longest
}

// ordered returns the appointments of a queue whose return time is at least from and before to, in its order. The caller doesn't change the result.
func (b *Book) ordered(q Queue, from, to time.Duration) []*entry {
	list := b.queues[q]
	first, _ := slices.BinarySearchFunc(list, from, compareReturn)
	end, _ := slices.BinarySearchFunc(list, to, compareReturn)
	return list[first:end]
}
