package limitholder

import (
	"expvar"
	"time"
)

// metrics are the counters of one holder.
type metrics struct {
	grants, grantsExpired               expvar.Int
	refusals                            expvar.Map // by errkind code
	refundsDropped                      expvar.Int
	loansGiven, loansTaken, loansFailed expvar.Int
	vars                                expvar.Map
}

func (h *Holder) publish() {
	m := &h.metrics
	m.refusals.Init()
	m.vars.Init()
	m.vars.Set("grants", &m.grants)
	m.vars.Set("grants_expired", &m.grantsExpired)
	m.vars.Set("refusals", &m.refusals)
	m.vars.Set("refunds_dropped", &m.refundsDropped)
	m.vars.Set("loans_given", &m.loansGiven)
	m.vars.Set("loans_taken", &m.loansTaken)
	m.vars.Set("loans_failed", &m.loansFailed)
	m.vars.Set("shares_stranded", expvar.Func(func() any { return h.stranded() }))
	m.vars.Set("lease_age_seconds", expvar.Func(func() any { return h.oldestLease().Seconds() }))
}

// Vars returns the holder's metrics for /debug/vars.
func (h *Holder) Vars() expvar.Var { return &h.metrics.vars }

// stranded counts the shares of all data centres that no gateway was seen to hold at the last read. Their
// part of the organisations' rates cannot be used until a gateway takes them over.
func (h *Holder) stranded() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, dc := range h.membership().names {
		for i := range h.opts.Partitions {
			row, ok := h.rows[place{dc, i}]
			if !ok || row.Returned || (row.Address != h.opts.Address && h.opts.Removed(row.Address)) {
				n++
			}
		}
	}
	return n
}

// oldestLease returns the age of the held lease that was renewed longest ago.
func (h *Holder) oldestLease() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	age := time.Duration(0)
	for _, l := range h.leases {
		if l.held {
			age = max(age, now-l.sentAt)
		}
	}
	return age
}
