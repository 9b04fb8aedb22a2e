package admission

import "time"

const (
	// slowFactor is how far a first answer may exceed its target before it counts as slow.
	slowFactor = 4
	// slowInRow is the number of slow answers in a row that show a cold server. One slow answer also
	// comes from a long prompt.
	slowInRow = 3
)

// RampOptions configures a Ramp.
type RampOptions struct {
	Cold int           // limit for a fresh backend server
	Max  int           // limit for a warm backend server
	Step time.Duration // good service before the limit doubles
	// Idle is the time without good service after which the server may have turned cold unnoticed. Until the
	// next good answer it gets no more than the cold limit. Zero switches the check off.
	Idle time.Duration
	// Check is the time without good service or a confirmed incarnation after which the server may have
	// restarted. It gets no more than the cold limit until a report asked for after that confirms its
	// incarnation: one good answer of a restarted server proves nothing. Zero switches the check off.
	Check time.Duration
}

// Ramp bounds how many requests a backend server gets at once. A fresh server starts at the cold limit.
type Ramp struct {
	opts        RampOptions
	incarnation string
	limit       int
	good        time.Duration
	answers     int
	last        time.Time
	confirmed   time.Time // when the last report of the same incarnation was asked for
	doubt       time.Time // since when the incarnation has to be confirmed; zero if it need not
	slow        int
}

// NewRamp returns a ramp at the cold limit.
func NewRamp(opts RampOptions) *Ramp {
	return &Ramp{opts: opts, limit: opts.Cold}
}

// Limit returns the requests that may run at once on a server that is known to be as warm as it was.
func (r *Ramp) Limit() int { return r.limit }

// LimitAt returns the requests that may run at once at now. After an idle time, and while the incarnation
// has to be confirmed, it is the cold limit.
func (r *Ramp) LimitAt(now time.Time) int {
	r.check(now)
	if r.unproven(now) || r.InDoubt() {
		return min(r.limit, r.opts.Cold)
	}
	return r.limit
}

func (r *Ramp) unproven(now time.Time) bool {
	return r.opts.Idle > 0 && !r.last.IsZero() && now.Sub(r.last) > r.opts.Idle
}

// InDoubt reports whether the limit is the cold limit until Confirm.
func (r *Ramp) InDoubt() bool { return !r.doubt.IsZero() }

func (r *Ramp) check(now time.Time) {
	known := r.last
	if r.confirmed.After(known) {
		known = r.confirmed
	}
	if r.opts.Check > 0 && !r.last.IsZero() && !r.InDoubt() && now.Sub(known) > r.opts.Check {
		r.doubt = now
	}
}

// Confirm notes the incarnation in a report that was asked for at askedAt.
func (r *Ramp) Confirm(id string, askedAt time.Time) {
	r.Incarnation(id)
	r.confirmed = askedAt
	if !askedAt.Before(r.doubt) {
		r.doubt = time.Time{}
	}
}

// Warm reports whether the limit has reached its maximum.
func (r *Ramp) Warm() bool { return r.limit >= r.opts.Max }

// Incarnation notes the backend server's incarnation and restarts at the cold limit if it changed.
func (r *Ramp) Incarnation(id string) {
	if id != r.incarnation {
		r.incarnation = id
		r.Bad()
	}
}

// Bad notes a failure of the backend server: the limit falls back to the cold limit.
func (r *Ramp) Bad() {
	r.limit = r.opts.Cold
	r.good, r.answers, r.slow, r.last, r.doubt = 0, 0, 0, time.Time{}, time.Time{}
}

// Good notes good service at now. Time counts only between observations and at most a quarter step each,
// so that an idle server doesn't become warm. The limit doubles after a step with at least as many
// observations as the limit.
func (r *Ramp) Good(now time.Time) {
	r.check(now)
	if !r.last.IsZero() {
		r.good += min(max(now.Sub(r.last), 0), r.opts.Step/4)
	}
	r.last = now
	r.answers++
	if r.good >= r.opts.Step && r.answers >= r.limit {
		r.limit = min(2*r.limit, r.opts.Max)
		r.good, r.answers = 0, 0
	}
}

// FirstAnswer notes the latency of a first token or answer against its target; a target of zero is not
// judged. Three slow ones in a row show a cold server, and one does after an idle time.
func (r *Ramp) FirstAnswer(now time.Time, latency, target time.Duration) {
	if target <= 0 || latency <= slowFactor*target {
		r.slow = 0
		r.Good(now)
		return
	}
	r.slow++
	if r.slow >= slowInRow || r.unproven(now) {
		r.Bad()
	}
}
