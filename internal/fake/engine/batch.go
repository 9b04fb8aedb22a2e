package engine

import "context"

// job is one request in the engine, waiting or running.
type job struct {
	priority int
	sequence int64
	running  bool
	end      context.CancelCauseFunc
}

// batch holds the requests in the engine. Waiting ones join by priority (lower first), then by arrival.
type batch struct {
	limit int // running requests; 0 for no limit
	next  int64
	jobs  map[*job]struct{}
}

func (b *batch) add(priority int, end context.CancelCauseFunc) *job {
	if b.jobs == nil {
		b.jobs = make(map[*job]struct{})
	}
	b.next++
	j := &job{priority: priority, sequence: b.next, end: end}
	b.jobs[j] = struct{}{}
	b.fill()
	return j
}

func (b *batch) remove(j *job) {
	delete(b.jobs, j)
	b.fill()
}

// fill lets waiting requests run while there is room.
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

// endAll ends every request with a cause and empties the batch.
func (b *batch) endAll(cause error) {
	for j := range b.jobs {
		j.end(cause)
	}
	clear(b.jobs)
}
