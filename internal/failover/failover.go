// Package failover decides when a request is sent to one more backend server (retried or hedged), and which of its attempts answers
// the caller. Use it for each request of a gateway: it has no side effects, and all times are passed in.
//
// A server that sends nothing may be sound and go on. An attempt is therefore never given up because of silence alone: another
// one begins beside it, and replaces it when its server has begun to answer. An attempt that was silent replaces a newer one only
// if it goes on at a normal pace, because a slow server sends an event now and then, too.
package failover

import (
	"slices"
	"time"
)

const (
	// earlyCheck is the longest time after which a silent attempt is first checked for a reason not to wait for its timeout.
	earlyCheck = 500 * time.Millisecond
	// checkInterval is the time between two checks while a replacement is not possible.
	checkInterval = 100 * time.Millisecond
	// replacementPause is the time after which another replacement is considered if one could not begin.
	replacementPause = 400 * time.Millisecond
	// noCheck is the time until the next check if no replacement may begin before another attempt ends.
	noCheck = time.Hour
)

// Options configure a Race.
type Options struct {
	Repeatable bool // the request may run more than once
	MaxRuns    int  // attempts that may run
	MaxNotRun  int  // attempts that may end as not run, and attempts that may end with nothing sent
}

// Outcome says whether an attempt that has ended ran.
type Outcome int

// The outcomes of an attempt.
const (
	MayHaveRun Outcome = iota
	NotRun             // the server did not and will not run it
	Unsent             // nothing was sent to the server
)

// Race holds the attempts of one request, by increasing numbers that the caller chooses. Times are durations since any fixed moment.
type Race struct {
	opts    Options
	live    []state
	runs    int // attempts that ended and may have run
	notRun  int
	unsent  int
	due     time.Duration // when the silence of all attempts is too long
	checkAt time.Duration // when Replace should be called next
}

// state is what is known of a live attempt.
type state struct {
	attempt int
	sent    bool          // its server has sent something
	sentAt  time.Duration // when it last did
}

// New returns a race without attempts.
func New(opts Options) *Race { return &Race{opts: opts} }

// SetLimits replaces the limits on runs, because the configuration has changed.
func (r *Race) SetLimits(repeatable bool, maxRuns int) {
	r.opts.Repeatable, r.opts.MaxRuns = repeatable, maxRuns
}

// Live returns the attempts that have not ended, in the order in which they began.
func (r *Race) Live() []int {
	var live []int
	for _, s := range r.live {
		live = append(live, s.attempt)
	}
	return live
}

// Runs returns the number of attempts that ended and may have run.
func (r *Race) Runs() int { return r.runs }

// MayBegin reports whether another attempt may begin now. Attempts that have not ended count as runs.
func (r *Race) MayBegin() bool {
	if r.notRun >= r.opts.MaxNotRun || r.unsent >= r.opts.MaxNotRun {
		return false
	}
	runs := r.runs + len(r.live)
	return runs == 0 || r.opts.Repeatable && runs < r.opts.MaxRuns
}

// LastRun reports whether no further attempt may begin, even if all live ones fail after they may have run.
func (r *Race) LastRun() bool {
	return !r.opts.Repeatable || r.runs+len(r.live) >= r.opts.MaxRuns
}

// Begin adds an attempt whose server should send something within timeout. Its number is higher than those of all earlier ones.
func (r *Race) Begin(attempt int, now, timeout time.Duration) {
	r.live = append(r.live, state{attempt: attempt})
	r.wait(now, timeout)
}

func (r *Race) wait(now, timeout time.Duration) {
	r.due, r.checkAt = now+timeout, now+min(timeout, earlyCheck)
}

// Progress records that an attempt's server has sent a part of its response; the next is expected within timeout. It returns the
// attempts that this one replaces, which must be cancelled: earlier ones, which were silent, and later ones if this one goes on
// within maxInterval of its last part.
func (r *Race) Progress(attempt int, now, timeout, maxInterval time.Duration) (replaced []int) {
	r.wait(now, timeout)
	i := r.index(attempt)
	if i < 0 {
		return nil
	}
	s := &r.live[i]
	timely := s.sent && now-s.sentAt <= maxInterval
	s.sent, s.sentAt = true, now
	for _, other := range r.live {
		if other.attempt < attempt || other.attempt > attempt && timely {
			replaced = append(replaced, other.attempt)
		}
	}
	return replaced
}

// Answer records that the caller gets the response of an attempt and of no other one. It returns the attempts to cancel.
func (r *Race) Answer(attempt int) (replaced []int) {
	return slices.DeleteFunc(r.Live(), func(other int) bool { return other == attempt })
}

func (r *Race) index(attempt int) int {
	return slices.IndexFunc(r.live, func(s state) bool { return s.attempt == attempt })
}

// End removes an attempt.
func (r *Race) End(attempt int, outcome Outcome) {
	if i := r.index(attempt); i >= 0 {
		r.live = slices.Delete(r.live, i, i+1)
	}
	switch outcome {
	case MayHaveRun:
		r.runs++
	case NotRun:
		r.notRun++
	case Unsent:
		r.unsent++
	}
}

// Replace reports whether an attempt should begin beside the live ones, because these have been silent for too long or, with
// stalled set, because their servers answer nobody. NextCheck says when to call it again.
func (r *Race) Replace(now time.Duration, stalled bool) bool {
	if len(r.live) == 0 || now < r.checkAt {
		return false
	}
	r.checkAt = now + checkInterval
	return (now >= r.due || stalled) && r.MayBegin()
}

// Extend records that the silence of the live attempts is accepted for another timeout, although Replace returned true.
func (r *Race) Extend(now, timeout time.Duration) { r.wait(now, max(0, timeout)) }

// ReplacementFailed records that Replace returned true and no attempt could begin.
func (r *Race) ReplacementFailed(now time.Duration) { r.checkAt = now + replacementPause }

// NextCheck returns the time until the next call of Replace.
func (r *Race) NextCheck(now time.Duration) time.Duration {
	if !r.MayBegin() {
		return noCheck
	}
	return max(0, r.checkAt-now)
}
