package systemtest

import (
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// verdicts keeps what systems that run at the same time showed, by the name of the spec that reports it.
type verdicts struct {
	mu       sync.Mutex
	problems map[string][]string
	done     map[string]bool
}

// of returns a Gomega whose failures belong to a spec and do not end the run of the system.
func (v *verdicts) of(spec string) Gomega {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.done[spec] = true
	return NewGomega(func(message string, _ ...int) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.problems[spec] = append(v.problems[spec], message)
	})
}

// Each system runs its own faults; they run at the same time, because most of their time is waiting.
var _ = Describe("with limits and planner", Ordered, func() {
	v := &verdicts{problems: make(map[string][]string), done: make(map[string]bool)}
	BeforeAll(func() {
		var wg sync.WaitGroup
		for _, run := range []func(*verdicts){offerThroughFaults, turnCold, moveModels, raceOperators, markHosts} {
			wg.Go(func() {
				defer GinkgoRecover()
				run(v)
			})
		}
		wg.Wait()
	})
	for _, spec := range []string{
		limitsHold, limitsRefuse,
		freshTogether, freshSidecar, freshEmpty, freshLoaded, freshIdleEmpty, freshIdleLoaded,
		memoryHeld, modelsServed,
		raceSame, raceDifferent, finalWord, inForceInTime, peersCopy,
		hostLeaving, hostRemoved,
	} {
		labels := Label()
		if spec == modelsServed {
			labels = Label(knownRed)
		}
		It(spec, labels, func() {
			Expect(v.done[spec]).To(BeTrue(), "the system did not get that far")
			Expect(v.problems[spec]).To(BeEmpty())
		})
	}
})
