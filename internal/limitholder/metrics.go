package limitholder

import (
	"expvar"
	"time"
)

// metrics holds the counters of one Holder.
type metrics struct {
	grants, grantsExpired               expvar.Int
	grantsOfSeveralShares               expvar.Int // charged to the shares of several data centres
	refusals                            expvar.Map // by error code
	refundsDropped                      expvar.Int
	debts                               expvar.Int // requests that used more tokens than they reserved
	debtTokens, debtTokensDropped       expvar.Int // charged and uncharged tokens of debts
	loansGiven, loansTaken, loansFailed expvar.Int
	vars                                expvar.Map
}

func (h *Holder) initMetrics() {
	m := &h.metrics
	m.refusals.Init()
	m.vars.Init()
	m.vars.Set("grants", &m.grants)
	m.vars.Set("grants_expired", &m.grantsExpired)
	m.vars.Set("grants_of_several_shares", &m.grantsOfSeveralShares)
	m.vars.Set("refusals", &m.refusals)
	m.vars.Set("refunds_dropped", &m.refundsDropped)
	m.vars.Set("debts", &m.debts)
	m.vars.Set("debt_tokens", &m.debtTokens)
	m.vars.Set("debt_tokens_dropped", &m.debtTokensDropped)
	m.vars.Set("loans_given", &m.loansGiven)
	m.vars.Set("loans_taken", &m.loansTaken)
	m.vars.Set("loans_failed", &m.loansFailed)
	m.vars.Set("shares_stranded", expvar.Func(func() any { return h.strandedShares() }))
	m.vars.Set("shares_adopted", expvar.Func(func() any { return h.adoptedShares() }))
	m.vars.Set("lease_age_seconds", expvar.Func(func() any { return h.oldestLeaseAge().Seconds() }))
}

// Vars returns the Holder's metrics for /debug/vars.
func (h *Holder) Vars() expvar.Var { return &h.metrics.vars }

// strandedShares returns the number of partitions, summed over all data centres, that had no holder at the
// last read. Their part of the organisations' rates is unusable until a gateway acquires their leases.
func (h *Holder) strandedShares() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, dc := range h.membership().dataCentres {
		for i := range h.opts.Partitions {
			row, ok := h.rows[leaseID{dc, i}]
			if !ok || row.Released || (row.Address != h.opts.Address && h.opts.Removed(row.Address)) {
				n++
			}
		}
	}
	return n
}

// adoptedShares returns the number of held leases of other data centres.
func (h *Holder) adoptedShares() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, leases := range h.foreignLeases {
		for _, l := range leases {
			if l.held {
				n++
			}
		}
	}
	return n
}

// oldestLeaseAge returns the longest time since the last renewal of a held lease.
func (h *Holder) oldestLeaseAge() time.Duration {
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
