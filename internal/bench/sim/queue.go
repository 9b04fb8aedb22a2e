package sim

import (
	"container/heap"
	"time"
)

// eventQueue holds the pending events in virtual time. Events due at the same time run in the order in which
// they were added, so that a seed always gives the same run.
type eventQueue struct {
	heap  eventHeap
	added uint64
	now   time.Duration
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// after schedules run at d after the current time.
func (q *eventQueue) after(d time.Duration, run func()) { q.at(q.now+d, run) }

// at schedules run at a virtual time, or at the current time if that is later.
func (q *eventQueue) at(at time.Duration, run func()) {
	q.added++
	heap.Push(&q.heap, event{max(at, q.now), q.added, run})
}

// run runs the events that are due up to and including end.
func (q *eventQueue) run(end time.Duration) {
	for len(q.heap) > 0 && q.heap[0].at <= end {
		e := heap.Pop(&q.heap).(event)
		q.now = e.at
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
