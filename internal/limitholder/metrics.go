package limitholder

import (
	"expvar"
	"time"
)

// metrics are the counters of one holder.
type metrics struct {
	grants, grantsExpired               expvar.Int
	grantsOfSeveral                     expvar.Int // that charged the shares of several data centres
	refusals                            expvar.Map // by errkind code
	refundsDropped                      expvar.Int
	debts                               expvar.Int // requests that used more than they reserved
	debtTokens, debtTokensDropped       expvar.Int // charged for them, and not charged
	loansGiven, loansTaken, loansFailed expvar.Int
	vars                                expvar.Map
}

func (h *Holder) publish() {
	m := &h.metrics
	m.refusals.Init()
	m.vars.Init()
	m.vars.Set("grants", &m.grants)
	m.vars.Set("grants_expired", &m.grantsExpired)
	m.vars.Set("grants_of_several_shares", &m.grantsOfSeveral)
	m.vars.Set("refusals", &m.refusals)
	m.vars.Set("refunds_dropped", &m.refundsDropped)
	m.vars.Set("debts", &m.debts)
	m.vars.Set("debt_tokens", &m.debtTokens)
	m.vars.Set("debt_tokens_dropped", &m.debtTokensDropped)
	m.vars.Set("loans_given", &m.loansGiven)
	m.vars.Set("loans_taken", &m.loansTaken)
	m.vars.Set("loans_failed", &m.loansFailed)
	m.vars.Set("shares_stranded", expvar.Func(func() any { return h.stranded() }))
	m.vars.Set("shares_adopted", expvar.Func(func() any { return h.adopted() }))
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

// adopted counts the held shares of data centres that have no gateway.
func (h *Holder) adopted() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, leases := range h.foreign {
		for _, l := range leases {
			if l.held {
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
	for _, l := range h.allLeases() {
		if l.held {
			age = max(age, now-l.sentAt)
		}
	}
	return age
}
