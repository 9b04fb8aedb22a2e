package systemtest

import (
	"slices"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// specResults collects the failures of a scenario by the title of the spec that reports them.
type specResults struct {
	mu       sync.Mutex
	failures map[string][]string
	checked  map[string]bool
}

// gomegaFor returns a Gomega that records its failures for a spec and does not end the scenario.
func (v *specResults) gomegaFor(spec string) Gomega {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.checked[spec] = true
	return NewGomega(func(message string, _ ...int) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.failures[spec] = append(v.failures[spec], message)
	})
}

// scenario is a run of a system with injected faults, and the titles of the specs that report its results.
type scenario struct {
	name  string
	run   func(*specResults)
	specs []string
}

// The scenarios run one after the other: five at once load a host so much that time limits in seconds test the host
// rather than the system.
var _ = Describe("with limits and planner", func() {
	for _, d := range []scenario{
		{"an organisation above its rate", sendThroughFaults, []string{limitsHold, limitsRefuse}},
		{"fresh backend servers", runColdRestarts, []string{
			freshTogether, freshSidecar, freshEmpty, freshLoaded, freshIdleEmpty, freshIdleLoaded,
		}},
		{"models that move", moveModels, []string{memoryNotOvercommitted, modelsServed}},
		{"racing operators", raceOperators, []string{raceSame, raceDifferent, lostAnswerOutcome,
			inForceInTime, peerConfiguration}},
		{"hosts in the host list", changeHostList, []string{hostLeaving, hostRemoved}},
	} {
		Describe(d.name, Ordered, ContinueOnFailure, func() {
			v := &specResults{failures: make(map[string][]string), checked: make(map[string]bool)}
			BeforeAll(func() { d.run(v) })
			for _, spec := range d.specs {
				labels := Label()
				if slices.Contains(knownRedSpecs, spec) {
					labels = Label(knownRed)
				}
				It(spec, labels, func() {
					Expect(v.checked[spec]).To(BeTrue(), "the scenario ended before this check")
					Expect(v.failures[spec]).To(BeEmpty())
				})
			}
		})
	}
})
