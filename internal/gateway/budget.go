package gateway

import "sync"

// budgetCapacityRetries is the largest number of retries that a budget holds. It covers the streams of two backend
// servers that fail at their largest usual concurrency of 16.
const budgetCapacityRetries = 32

// Budget limits retries to a fraction of the first attempts. It is a token bucket that each first attempt refills.
// The zero value allows no retry until the first attempt with a positive ratio fills it. It is not safe for
// concurrent use.
type Budget struct {
	tokens float64
	filled bool // the budget has received its initial budgetCapacityRetries
}

// RecordFirstAttempt records a first attempt, which adds ratio retries to the budget up to its capacity.
func (b *Budget) RecordFirstAttempt(ratio float64) {
	if !b.filled && ratio > 0 {
		b.filled = true
		b.tokens = budgetCapacityRetries
	}
	b.tokens = min(b.tokens+ratio, budgetCapacityRetries)
}

// Allows reports whether the budget allows a retry.
func (b *Budget) Allows() bool { return b.tokens >= 1 }

// Take removes one retry from the budget. Call it only if Has reports true.
func (b *Budget) Take() { b.tokens-- }

// budgets holds the retry budget of each organisation and of each profile. It is safe for concurrent use.
type budgets struct {
	mu            sync.Mutex
	organisations map[string]*Budget
	profiles      map[string]*Budget
}

func newBudgets() *budgets {
	return &budgets{organisations: make(map[string]*Budget), profiles: make(map[string]*Budget)}
}

func budgetOf(m map[string]*Budget, name string) *Budget {
	b, ok := m[name]
	if !ok {
		b = new(Budget)
		m[name] = b
	}
	return b
}

func (b *budgets) recordFirstAttempt(p *Principal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budgetOf(b.organisations, p.Organisation.Name).RecordFirstAttempt(p.Profile.RetryBudget)
	budgetOf(b.profiles, p.Profile.Name).RecordFirstAttempt(p.Profile.RetryBudget)
}

// take removes a retry from the budgets of the principal's organisation and profile, or from neither, and reports
// whether it did.
func (b *budgets) take(p *Principal) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	org := budgetOf(b.organisations, p.Organisation.Name)
	profile := budgetOf(b.profiles, p.Profile.Name)
	if !org.Allows() || !profile.Allows() {
		return false
	}
	org.Take()
	profile.Take()
	return true
}
