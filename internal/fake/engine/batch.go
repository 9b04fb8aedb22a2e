package engine

import "context"

// job is one request in the batch, waiting or running.
type job struct {
	priority int
	sequence int64
	running  bool
	cancel   context.CancelCauseFunc
}

// batch schedules the requests in the engine. Waiting requests start in order of priority (lower first), then of
// arrival.
type batch struct {
	limit int // maximum number of running requests; 0 for no limit
	next  int64
	jobs  map[*job]struct{}
}

func (b *batch) add(priority int, cancel context.CancelCauseFunc) *job {
	if b.jobs == nil {
		b.jobs = make(map[*job]struct{})
	}
	b.next++
	j := &job{priority: priority, sequence: b.next, cancel: cancel}
	b.jobs[j] = struct{}{}
	b.fill()
	return j
}

func (b *batch) remove(j *job) {
	delete(b.jobs, j)
	b.fill()
}

// fill starts waiting requests until the limit is reached.
func (b *batch) fill() {
	for b.limit == 0 || b.runningCount() < b.limit {
		var first *job
		for j := range b.jobs {
			if !j.running && (first == nil || j.before(first)) {
				first = j
			}
		}
		if first == nil {
			return
		}
		first.running = true
	}
}

func (j *job) before(other *job) bool {
	if j.priority != other.priority {
		return j.priority < other.priority
	}
	return j.sequence < other.sequence
}

func (b *batch) size() int { return len(b.jobs) }

func (b *batch) runningCount() int {
	n := 0
	for j := range b.jobs {
		if j.running {
			n++
		}
	}
	return n
}

// cancelAll cancels every request with the given cause and empties the batch.
func (b *batch) cancelAll(cause error) {
	for j := range b.jobs {
		j.cancel(cause)
	}
	clear(b.jobs)
}
