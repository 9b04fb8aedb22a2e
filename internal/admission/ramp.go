package admission

import "time"

const (
	// slowFactor is the multiple of its target above which the latency of a first answer counts as slow.
	slowFactor = 4
	// slowStreakLimit is the number of consecutive slow answers after which the backend server is treated as
	// cold. A single slow answer may also come from a long prompt.
	slowStreakLimit = 3
)

// RampOptions configures a Ramp.
type RampOptions struct {
	Cold int           // concurrency limit of a cold backend server
	Max  int           // concurrency limit of a warm backend server
	Step time.Duration // time of good service after which the limit doubles
	// IdleAfter is the time without good service after which the backend server may have become cold unnoticed.
	// Until the next good answer the cold limit applies and, if ConfirmAfter is set, until a report that was requested
	// after that answer confirms the incarnation. Zero disables the check.
	IdleAfter time.Duration
	// ConfirmAfter is the time without good service or a confirmed incarnation after which the backend server may have
	// restarted. The cold limit then applies until a report that was requested later confirms the incarnation;
	// a good answer is not enough, since a restarted server may give one too. Zero disables the check.
	ConfirmAfter time.Duration
}

// Ramp is the concurrency limit of a backend server. It starts at the cold limit and doubles with good service
// up to the maximum.
type Ramp struct {
	opts             RampOptions
	incarnation      string
	limit            int
	goodTime         time.Duration
	goodCount        int
	lastGood         time.Time
	confirmedAt      time.Time // when the last report of the incarnation was requested
	unconfirmedSince time.Time // when a gap was detected that requires Confirm; zero if there is none
	slowStreak       int
}

// NewRamp returns a ramp at the cold limit.
func NewRamp(opts RampOptions) *Ramp {
	return &Ramp{opts: opts, limit: opts.Cold}
}

// Limit returns the number of requests that may run at once, without regard to idle time and to an unconfirmed
// incarnation.
func (r *Ramp) Limit() int { return r.limit }

// LimitAt returns the number of requests that may run at once at now. After an idle time, and while the
// incarnation has to be confirmed, it is at most the cold limit.
func (r *Ramp) LimitAt(now time.Time) int {
	r.detectGap(now)
	if r.idle(now) || r.NeedsConfirmation() {
		return min(r.limit, r.opts.Cold)
	}
	return r.limit
}

func (r *Ramp) idle(now time.Time) bool {
	return r.opts.IdleAfter > 0 && !r.lastGood.IsZero() && now.Sub(r.lastGood) > r.opts.IdleAfter
}

// NeedsConfirmation reports whether the cold limit applies until Confirm, because the incarnation has to be confirmed.
func (r *Ramp) NeedsConfirmation() bool { return !r.unconfirmedSince.IsZero() }

func (r *Ramp) detectGap(now time.Time) {
	lastKnown := r.lastGood
	if r.confirmedAt.After(lastKnown) {
		lastKnown = r.confirmedAt
	}
	if r.opts.ConfirmAfter > 0 && !r.lastGood.IsZero() && !r.NeedsConfirmation() && now.Sub(lastKnown) > r.opts.ConfirmAfter {
		r.unconfirmedSince = now
	}
}

// ConfirmIncarnation records the incarnation from a report that was requested at askedAt. A report that was requested before
// the gap was detected does not reset NeedsConfirmation.
func (r *Ramp) ConfirmIncarnation(id string, askedAt time.Time) {
	r.SetIncarnation(id)
	r.confirmedAt = askedAt
	if !askedAt.Before(r.unconfirmedSince) {
		r.unconfirmedSince = time.Time{}
	}
}

// Warm reports whether the limit has reached its maximum.
func (r *Ramp) Warm() bool { return r.limit >= r.opts.Max }

// SetIncarnation records the incarnation of the backend server and falls back to the cold limit if it changed.
func (r *Ramp) SetIncarnation(id string) {
	if id != r.incarnation {
		r.incarnation = id
		r.RecordFailure()
	}
}

// RecordFailure records a failure of the backend server: the limit falls back to the cold limit.
func (r *Ramp) RecordFailure() {
	r.limit = r.opts.Cold
	r.goodTime, r.goodCount, r.slowStreak, r.lastGood, r.unconfirmedSince = 0, 0, 0, time.Time{}, time.Time{}
}

// RecordSuccess records good service at now. Time counts only between observations, and at most a quarter of Step each,
// so that an idle backend server does not become warm. The limit doubles after Step with at least as many
// observations as the limit.
func (r *Ramp) RecordSuccess(now time.Time) {
	r.detectGap(now)
	if r.opts.ConfirmAfter > 0 && r.idle(now) {
		// A server that restarted in less than ConfirmAfter since the last report is cold and answers all the same.
		r.unconfirmedSince = now
	}
	if !r.lastGood.IsZero() {
		r.goodTime += min(max(now.Sub(r.lastGood), 0), r.opts.Step/4)
	}
	r.lastGood = now
	r.goodCount++
	if r.goodTime >= r.opts.Step && r.goodCount >= r.limit {
		r.limit = min(2*r.limit, r.opts.Max)
		r.goodTime, r.goodCount = 0, 0
	}
}

// RecordFirstTokenLatency records the latency of a first token or answer against its target; with a target of zero it
// counts as good service. Three consecutive slow answers, or one after an idle time, make the limit fall back
// to the cold limit.
func (r *Ramp) RecordFirstTokenLatency(now time.Time, latency, target time.Duration) {
	if target <= 0 || latency <= slowFactor*target {
		r.slowStreak = 0
		r.RecordSuccess(now)
		return
	}
	r.slowStreak++
	if r.slowStreak >= slowStreakLimit || r.idle(now) {
		r.RecordFailure()
	}
}
