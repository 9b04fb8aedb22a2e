package gateway

import "sync"

// budgetCapacity is the number of retries that may be saved up. It covers the streams of two backend
// servers that fail at their largest usual concurrency of 16.
const budgetCapacity = 32

// Budget bounds retries to a fraction of first attempts. It is a token bucket that first attempts fill.
type Budget struct {
	tokens float64
	seen   bool
}

// First counts a first attempt and adds ratio retries.
func (b *Budget) First(ratio float64) {
	if !b.seen && ratio > 0 {
		b.seen = true
		b.tokens = budgetCapacity
	}
	b.tokens = min(b.tokens+ratio, budgetCapacity)
}

// Has reports whether a retry may be taken.
func (b *Budget) Has() bool { return b.tokens >= 1 }

// Take takes one retry.
func (b *Budget) Take() { b.tokens-- }

// budgets holds the budget of each organisation and of each profile.
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

func (b *budgets) first(p *Principal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budgetOf(b.organisations, p.Organisation.Name).First(p.Profile.RetryBudget)
	budgetOf(b.profiles, p.Profile.Name).First(p.Profile.RetryBudget)
}

// take takes a retry from both budgets, or from neither.
func (b *budgets) take(p *Principal) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	org := budgetOf(b.organisations, p.Organisation.Name)
	profile := budgetOf(b.profiles, p.Profile.Name)
	if !org.Has() || !profile.Has() {
		return false
	}
	org.Take()
	profile.Take()
	return true
}
