// Package admission decides which queued request a backend server gets next and how many requests it runs at
// once. Use a Queue for the order and the bounds and a Ramp for the concurrency limit. It does no I/O and reads
// no clock: callers pass the time and serialise the calls.
package admission

import (
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// Policy is the order in which queued requests start.
type Policy string

const (
	Fair     Policy = "fair"     // worst-served organisation first, then requests that are not late, then the earliest deadline
	FIFO     Policy = "fifo"     // order of arrival
	Priority Policy = "priority" // highest priority first, then order of arrival
)

// maxInteractiveStreak is the number of consecutive interactive starts after which a waiting batch request
// starts, so that batch work progresses under steady interactive load.
const maxInteractiveStreak = 8

// engineTargetDivisor sets the part of the first-token target that is reserved for the engine: a quarter. The
// rest may be spent before the request starts.
const engineTargetDivisor = 4

// serviceTimeWeight is the weight of one observation in the moving average of the service time.
const serviceTimeWeight = 0.2

// Item is a request in the queue. The caller sets the exported fields before Offer.
type Item struct {
	Organisation string
	Weight       float64 // relative share of a contended backend server; 1 is used if zero or less
	Batch        bool
	Priority     int // higher is earlier
	Deadline     time.Time
	StartBy      time.Time // a later start misses the first-token target; zero means no target
	Tokens       int64     // estimated tokens of the request

	arrival uint64
	late    bool
	queued  bool
	running bool
}

// StartBy returns the latest start with which a request meets its first-token target, or the zero time without
// a target.
func StartBy(arrived time.Time, target time.Duration) time.Time {
	if target <= 0 {
		return time.Time{}
	}
	return arrived.Add(target - target/engineTargetDivisor)
}

// Options configures a Queue.
type Options struct {
	Policy           Policy
	MaxQueue         int // maximum of queued requests
	MaxQueueOrg      int // maximum of queued requests of one organisation; zero means no such maximum
	BatchConcurrency int // maximum of batch requests that run beside interactive ones; at least 1 is used
}

// Queue holds the queued requests and counts the running ones.
type Queue struct {
	opts              Options
	orgs              map[string]*organisation
	items             []*Item // queued, in order of arrival
	running           int
	runningBatch      int
	interactiveStreak int
	virtualTime       float64
	arrivals          uint64
	serviceTime       time.Duration
}

// organisation is the fair-queueing state of an organisation with queued or running requests. Its virtual time
// is the tokens served divided by the weight.
type organisation struct {
	virtualTime float64
	queued      int
	running     int
}

// New returns an empty queue.
func New(opts Options) *Queue {
	opts.BatchConcurrency = max(opts.BatchConcurrency, 1)
	return &Queue{opts: opts, orgs: make(map[string]*organisation)}
}

// Offer queues item and returns its estimated wait at the given concurrency limit. It refuses with an error of
// kind Overloaded if a queue limit is reached, and of kind DeadlineUnreachable if the estimated wait passes the
// deadline.
func (q *Queue) Offer(now time.Time, item *Item, limit int) (time.Duration, error) {
	if wait, err := q.Check(now, item, limit); err != nil {
		return wait, err
	}
	wait := q.Wait(item, limit)
	q.arrivals++
	item.arrival = q.arrivals
	item.queued = true
	q.items = append(q.items, item)
	o := q.organisation(item.Organisation)
	if o.queued == 0 && o.running == 0 {
		o.virtualTime = max(o.virtualTime, q.virtualTime)
	}
	o.queued++
	return wait, nil
}

// Check returns the wait and the error that Offer would return, without queueing item.
func (q *Queue) Check(now time.Time, item *Item, limit int) (time.Duration, error) {
	free := q.running < limit && len(q.items) == 0
	if !free && len(q.items) >= q.opts.MaxQueue {
		return 0, errkind.New(errkind.Overloaded, "queue full: %d requests queued, limit %d", len(q.items), q.opts.MaxQueue)
	}
	if o, ok := q.orgs[item.Organisation]; ok && q.opts.MaxQueueOrg > 0 && o.queued >= q.opts.MaxQueueOrg {
		return 0, errkind.New(errkind.Overloaded, "queue full for the organisation: %d requests queued, limit %d",
			o.queued, q.opts.MaxQueueOrg)
	}
	wait := q.Wait(item, limit)
	if !now.Add(wait).Before(item.Deadline) {
		return wait, errkind.New(errkind.DeadlineUnreachable, "estimated wait of %d ms exceeds the deadline by %d ms",
			wait.Milliseconds(), now.Add(wait).Sub(item.Deadline).Milliseconds())
	}
	return wait, nil
}

func (q *Queue) organisation(name string) *organisation {
	o, ok := q.orgs[name]
	if !ok {
		o = &organisation{virtualTime: q.virtualTime}
		q.orgs[name] = o
	}
	return o
}

// Wait estimates how long item would wait at the given concurrency limit, from the moving average of the
// service time. It is zero until a request has finished.
func (q *Queue) Wait(item *Item, limit int) time.Duration {
	limit = max(limit, 1)
	excess := q.countAhead(item) + 1 - max(limit-q.running, 0)
	if excess <= 0 {
		return 0
	}
	return time.Duration(float64(q.serviceTime) * float64(excess) / float64(limit))
}

// countAhead estimates the number of queued requests that start before item. Under the fair policy organisations
// alternate: if n requests of item's own organisation start before it, at most n+1 of each other organisation do.
func (q *Queue) countAhead(item *Item) int {
	own := 0
	others := make(map[string]int)
	for _, other := range q.items {
		switch {
		case other.Batch && !item.Batch:
		case !other.Batch && item.Batch:
			own++
		case q.opts.Policy == Priority && other.Priority < item.Priority:
		case q.opts.Policy == Fair && other.Organisation != item.Organisation:
			others[other.Organisation]++
		case q.opts.Policy == Fair && other.late && !item.late:
		case q.opts.Policy == Fair && other.Deadline.After(item.Deadline):
		default:
			own++
		}
	}
	total := own
	for _, n := range others {
		total += min(n, own+1)
	}
	return total
}

// Next dequeues and starts the request that is due, and returns it, or returns nil if none may start. canStart
// is called at most once, with the request that is due; if it returns false, later requests wait too, so that a
// large request is not starved.
func (q *Queue) Next(limit int, canStart func(*Item) bool) *Item {
	if q.running >= limit {
		return nil
	}
	item := q.nextDue()
	if item == nil || !canStart(item) {
		return nil
	}
	q.start(item)
	q.Remove(item)
	return item
}

// MarkLate marks the queued requests that have passed StartBy; call it before Next. Under the fair policy late
// requests start after the others of their organisation: in an overload, the earliest deadline first would make
// every request late, while a late one loses nothing more by waiting until its deadline.
func (q *Queue) MarkLate(now time.Time) {
	for _, item := range q.items {
		item.late = !item.StartBy.IsZero() && now.After(item.StartBy)
	}
}

func (q *Queue) nextDue() *Item {
	interactive, batch := q.earliest(false), q.earliest(true)
	batchAllowed := q.runningBatch < q.opts.BatchConcurrency
	switch {
	case batch == nil:
		return interactive
	case interactive == nil && (q.running == q.runningBatch || batchAllowed):
		return batch
	case interactive != nil && batchAllowed && q.interactiveStreak >= maxInteractiveStreak:
		return batch
	}
	return interactive
}

func (q *Queue) earliest(batch bool) *Item {
	var earliest *Item
	for _, item := range q.items {
		if item.Batch == batch && (earliest == nil || q.startsBefore(item, earliest)) {
			earliest = item
		}
	}
	return earliest
}

// startsBefore reports whether a, which may have arrived later, starts before b.
func (q *Queue) startsBefore(a, b *Item) bool {
	switch q.opts.Policy {
	case FIFO:
		return a.arrival < b.arrival
	case Priority:
		if a.Priority != b.Priority {
			return a.Priority > b.Priority
		}
		return a.arrival < b.arrival
	}
	if a.Organisation != b.Organisation {
		va, vb := q.orgs[a.Organisation].virtualTime, q.orgs[b.Organisation].virtualTime
		if va != vb {
			return va < vb
		}
		return a.arrival < b.arrival
	}
	if a.late != b.late {
		return b.late
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.arrival < b.arrival
}

func (q *Queue) start(item *Item) {
	o := q.organisation(item.Organisation)
	q.virtualTime = max(q.virtualTime, o.virtualTime)
	o.virtualTime += float64(item.Tokens) / weight(item)
	o.running++
	item.running = true
	q.running++
	q.interactiveStreak++
	if item.Batch {
		q.runningBatch++
		q.interactiveStreak = 0
	}
}

func weight(item *Item) float64 {
	if item.Weight <= 0 {
		return 1
	}
	return item.Weight
}

// Remove removes item from the queue and reports whether it was queued.
func (q *Queue) Remove(item *Item) bool {
	if !item.queued {
		return false
	}
	item.queued = false
	q.items = slices.DeleteFunc(q.items, func(i *Item) bool { return i == item })
	o := q.orgs[item.Organisation]
	o.queued--
	q.dropIfIdle(item.Organisation, o)
	return true
}

// Done ends a running item. tokens is the number that it used; the virtual time of its organisation is
// corrected by the difference from the estimate. served is the time since the start; zero leaves the average
// service time unchanged.
func (q *Queue) Done(item *Item, tokens int64, served time.Duration) {
	if !item.running {
		return
	}
	item.running = false
	q.running--
	if item.Batch {
		q.runningBatch--
	}
	o := q.orgs[item.Organisation]
	o.running--
	o.virtualTime += float64(tokens-item.Tokens) / weight(item)
	q.dropIfIdle(item.Organisation, o)
	switch {
	case served <= 0:
	case q.serviceTime == 0:
		q.serviceTime = served
	default:
		q.serviceTime += time.Duration(serviceTimeWeight * float64(served-q.serviceTime))
	}
}

// dropIfIdle removes the state of an idle organisation that would restart at the current virtual time anyway.
func (q *Queue) dropIfIdle(name string, o *organisation) {
	if o.queued == 0 && o.running == 0 && o.virtualTime <= q.virtualTime {
		delete(q.orgs, name)
	}
	if len(q.items) == 0 && q.running == 0 {
		clear(q.orgs)
	}
}

// Queued returns the number of queued requests.
func (q *Queue) Queued() int { return len(q.items) }

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// QueuedBatch returns the number of queued batch requests.
func (q *Queue) QueuedBatch() int {
	n := 0
	for _, item := range q.items {
		if item.Batch {
			n++
		}
	}
	return n
}

// RunningBatch returns the number of running batch requests.
func (q *Queue) RunningBatch() int { return q.runningBatch }
