// Package admission decides which request a backend server gets next and how many it gets at once. It is
// pure: the clock is passed in, and the caller serialises the calls.
package admission

import (
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// Policy is the order in which queued requests start.
type Policy string

// The policies.
const (
	Fair     Policy = "fair"     // the worst-served organisation first, then what is not late, then the earliest deadline
	FIFO     Policy = "fifo"     // the order of arrival
	Priority Policy = "priority" // the highest priority first, then the order of arrival
)

// maxInteractiveStreak is the number of interactive starts in a row after which a waiting batch request
// starts, so that batch work progresses under steady interactive load.
const maxInteractiveStreak = 8

// engineParts says which part of the first token's target is left to the engine: one in engineParts.
const engineParts = 4

// serviceTimeWeight is the weight of one observation in the mean service time.
const serviceTimeWeight = 0.2

// Item is one request in the queue. The exported fields are set by the caller before Offer.
type Item struct {
	Organisation string
	Weight       float64 // share of a contended server; 1 if zero
	Batch        bool
	Priority     int // higher is earlier
	Deadline     time.Time
	StartBy      time.Time // a later start misses the target for the first token; none if zero
	Tokens       int64     // estimate of the tokens that the request takes

	arrival uint64
	late    bool
	queued  bool
	running bool
}

// StartBy returns when a request must start to meet its target for the first token, or zero without a target.
func StartBy(arrived time.Time, target time.Duration) time.Time {
	if target <= 0 {
		return time.Time{}
	}
	return arrived.Add(target - target/engineParts)
}

// Options configures a Queue.
type Options struct {
	Policy           Policy
	MaxQueue         int // queued requests in total
	MaxQueueOrg      int // queued requests of one organisation; no bound of its own if zero
	BatchConcurrency int // batch requests at once beside interactive ones; at least 1 is used
}

// Queue holds the queued requests and counts the running ones.
type Queue struct {
	opts         Options
	orgs         map[string]*organisation
	items        []*Item // queued, in order of arrival
	running      int
	runningBatch int
	streak       int
	virtual      float64
	arrivals     uint64
	serviceTime  time.Duration
}

// organisation is the fairness state of an organisation with queued or running requests. Its virtual time
// is the tokens served divided by the weight.
type organisation struct {
	virtual float64
	queued  int
	running int
}

// New returns an empty queue.
func New(opts Options) *Queue {
	opts.BatchConcurrency = max(opts.BatchConcurrency, 1)
	return &Queue{opts: opts, orgs: make(map[string]*organisation)}
}

// Offer queues item and returns its estimated wait at the given concurrency limit. It refuses with kind
// Overloaded when a bound is reached, and with DeadlineUnreachable when the estimate passes the deadline.
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
		o.virtual = max(o.virtual, q.virtual)
	}
	o.queued++
	return wait, nil
}

// Check reports whether Offer would take item, without queueing it.
func (q *Queue) Check(now time.Time, item *Item, limit int) (time.Duration, error) {
	free := q.running < limit && len(q.items) == 0
	if !free && len(q.items) >= q.opts.MaxQueue {
		return 0, errkind.New(errkind.Overloaded, "%d requests are queued, the bound is %d", len(q.items), q.opts.MaxQueue)
	}
	if o, ok := q.orgs[item.Organisation]; ok && q.opts.MaxQueueOrg > 0 && o.queued >= q.opts.MaxQueueOrg {
		return 0, errkind.New(errkind.Overloaded, "%d requests of the organisation are queued, the bound is %d",
			o.queued, q.opts.MaxQueueOrg)
	}
	wait := q.Wait(item, limit)
	if !now.Add(wait).Before(item.Deadline) {
		return wait, errkind.New(errkind.DeadlineUnreachable, "the estimated wait of %d ms passes the deadline by %d ms",
			wait.Milliseconds(), now.Add(wait).Sub(item.Deadline).Milliseconds())
	}
	return wait, nil
}

func (q *Queue) organisation(name string) *organisation {
	o, ok := q.orgs[name]
	if !ok {
		o = &organisation{virtual: q.virtual}
		q.orgs[name] = o
	}
	return o
}

// Wait estimates how long item would wait at the concurrency limit, from the mean service time. It is
// zero until a request has finished.
func (q *Queue) Wait(item *Item, limit int) time.Duration {
	limit = max(limit, 1)
	over := q.ahead(item) + 1 - max(limit-q.running, 0)
	if over <= 0 {
		return 0
	}
	return time.Duration(float64(q.serviceTime) * float64(over) / float64(limit))
}

// ahead counts the queued requests that start before item. Under the fair policy, organisations alternate,
// so another organisation is ahead by at most as many requests as item's own, plus one.
func (q *Queue) ahead(item *Item) int {
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

// Next takes the request that starts next, or returns nil if none may start. canStart is asked once, about
// the request that is due; if it declines, later requests wait too, so that a large one is not starved.
func (q *Queue) Next(limit int, canStart func(*Item) bool) *Item {
	if q.running >= limit {
		return nil
	}
	item := q.due()
	if item == nil || !canStart(item) {
		return nil
	}
	q.start(item)
	q.Remove(item)
	return item
}

// MarkLate notes which queued requests have passed StartBy. Under the fair policy they start after the others
// of their organisation: in an overload, the earliest deadline first makes every request late, and a late
// one loses nothing more by waiting until its deadline. It is called before Next.
func (q *Queue) MarkLate(now time.Time) {
	for _, item := range q.items {
		item.late = !item.StartBy.IsZero() && now.After(item.StartBy)
	}
}

func (q *Queue) due() *Item {
	interactive, batch := q.best(false), q.best(true)
	mayBatch := q.runningBatch < q.opts.BatchConcurrency
	switch {
	case batch == nil:
		return interactive
	case interactive == nil && (q.running == q.runningBatch || mayBatch):
		return batch
	case interactive != nil && mayBatch && q.streak >= maxInteractiveStreak:
		return batch
	}
	return interactive
}

func (q *Queue) best(batch bool) *Item {
	var best *Item
	for _, item := range q.items {
		if item.Batch == batch && (best == nil || q.before(item, best)) {
			best = item
		}
	}
	return best
}

// before reports whether a, which may have arrived later, starts before b.
func (q *Queue) before(a, b *Item) bool {
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
		va, vb := q.orgs[a.Organisation].virtual, q.orgs[b.Organisation].virtual
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
	q.virtual = max(q.virtual, o.virtual)
	o.virtual += float64(item.Tokens) / weight(item)
	o.running++
	item.running = true
	q.running++
	q.streak++
	if item.Batch {
		q.runningBatch++
		q.streak = 0
	}
}

func weight(item *Item) float64 {
	if item.Weight <= 0 {
		return 1
	}
	return item.Weight
}

// Remove takes a queued item out and reports whether it was queued.
func (q *Queue) Remove(item *Item) bool {
	if !item.queued {
		return false
	}
	item.queued = false
	q.items = slices.DeleteFunc(q.items, func(i *Item) bool { return i == item })
	o := q.orgs[item.Organisation]
	o.queued--
	q.forget(item.Organisation, o)
	return true
}

// Done ends a running item. tokens is what it took, and the organisation's account is corrected by the
// difference to the estimate. served is the time since the start; zero leaves the mean as it is.
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
	o.virtual += float64(tokens-item.Tokens) / weight(item)
	q.forget(item.Organisation, o)
	switch {
	case served <= 0:
	case q.serviceTime == 0:
		q.serviceTime = served
	default:
		q.serviceTime += time.Duration(serviceTimeWeight * float64(served-q.serviceTime))
	}
}

// forget drops the state of an idle organisation that would restart at the current virtual time anyway.
func (q *Queue) forget(name string, o *organisation) {
	if o.queued == 0 && o.running == 0 && o.virtual <= q.virtual {
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
