package sim

import (
	"container/heap"
	"time"
)

// events is the queue of what is due in virtual time. Events at the same time run in the order in which
// they were added, so that a seed gives the same run.
type events struct {
	heap  eventHeap
	added uint64
	now   time.Duration
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// after adds an event d from now.
func (q *events) after(d time.Duration, run func()) { q.at(q.now+d, run) }

func (q *events) at(at time.Duration, run func()) {
	q.added++
	heap.Push(&q.heap, event{max(at, q.now), q.added, run})
}

// run runs the events up to end.
func (q *events) run(end time.Duration) {
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
	return h[i].order < h[j].order
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
