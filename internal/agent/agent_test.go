package agent_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/agent"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
	"github.com/pomelowheel/pomelowheel/platform"
)

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agent")
}

const eventuallyTimeout = 5 * time.Second

// host runs an agent with an emulated engine and an emulated store.
type host struct {
	store  *fake.Store
	client *platform.Store
	engine *fake.Replica
	server *httptest.Server
	agent  *agent.Agent
	stop   func()
}

func newHost(models ...string) *host {
	GinkgoHelper()
	h := &host{store: fake.NewStore()}
	h.engine = fake.NewReplica(fake.ReplicaOptions{
		ID: "i-1", Service: "s", Slots: 8, Models: models, AdapterSlots: 2, MaxModels: 3,
	})
	h.server = httptest.NewServer(h.engine.Handler())
	storeServer := httptest.NewServer(h.store.Handler())
	DeferCleanup(storeServer.Close)
	DeferCleanup(h.server.Close)
	h.client = platform.NewStore(storeServer.Listener.Addr().String(), nil)
	h.start()
	DeferCleanup(func() { h.stop() })
	return h
}

// start starts a new agent.
func (h *host) start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.agent = agent.New(agent.Options{
		Host: "side-1", Engine: platform.NewEngineClient(h.server.Listener.Addr().String(), nil), Store: h.client,
		Log: slog.New(slog.DiscardHandler),
	})
	a := h.agent
	h.setTarget()
	var done sync.WaitGroup
	done.Go(func() { _ = a.Run(ctx) })
	h.stop = func() { cancel(); done.Wait() }
}

func (h *host) setTarget() { h.agent.SetTarget(target(0)) }

// target returns the engine's sizes in a version of the configuration.
func target(version int64) *wirepb.AgentTarget {
	return &wirepb.AgentTarget{
		Replica: "i-1", WeightsMb: 300, AdapterSlots: 2, ConfigVersion: version,
		Models: []*wirepb.ModelSize{{Model: "a", WeightsMb: 90, AdapterMb: 1}, {Model: "b", WeightsMb: 90, AdapterMb: 1},
			{Model: "c", WeightsMb: 90, AdapterMb: 1}, {Model: "d", WeightsMb: 90, AdapterMb: 1}},
	}
}

func (h *host) models() []string {
	report, err := platform.NewEngineClient(h.server.Listener.Addr().String(), nil).Report(context.Background())
	if err != nil {
		return nil
	}
	var names []string
	for _, m := range report.Models {
		names = append(names, m.Name)
	}
	return names
}

func (h *host) ensureAdapter(name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return h.agent.EnsureAdapter(ctx, "request", "i-1", "a", name)
}

func (h *host) propose(epoch int64, action, model string) error {
	return h.agent.ApplyProposal(context.Background(),
		&wirepb.ModelOrder{PlannerEpoch: epoch, Action: action, Model: model, Replica: "i-1"})
}

// expectNoCrash checks that no order made the engine crash by breaking one of its rules.
func (h *host) expectNoCrash() {
	GinkgoHelper()
	_, crashed := h.engine.Runs()
	Expect(crashed).To(BeEmpty())
}

var _ = Describe("an agent", func() {
	It("loads adapters on demand and evicts older ones when all adapter slots are taken", func() {
		h := newHost("a")
		Eventually(func() error { return h.ensureAdapter("a1") }, eventuallyTimeout).Should(Succeed())
		Expect(h.ensureAdapter("a2")).To(Succeed())
		Eventually(func() error { return h.ensureAdapter("a3") }, eventuallyTimeout).Should(Succeed(), "an older adapter is evicted")
		Expect(h.ensureAdapter("a3")).To(Succeed())
		Expect(errkind.Of(h.agent.EnsureAdapter(context.Background(), "r", "i-1", "d", "a1"))).To(Equal(errkind.ModelNotResident))
		Expect(errkind.Of(h.agent.EnsureAdapter(context.Background(), "r", "i-2", "a", "a1"))).To(Equal(errkind.NoCandidate))
		h.expectNoCrash()
	})

	// Guards against an order that the engine carries out late, after newer ones, so that its models exceed its memory.
	It("never orders more models than fit in memory when orders are lost or carried out late", func() {
		h := newHost("a")
		h.engine.SetFaults(fake.ReplicaFaults{LateOrders: 0.5})
		Eventually(func() error { return h.propose(1, "load", "b") }, eventuallyTimeout).Should(Or(Succeed(), HaveOccurred()))
		for range 60 {
			for _, model := range []string{"b", "c", "d"} {
				_ = h.propose(1, "load", model) // many of them fail; the emulated engine crashes if its memory is exceeded
			}
			_ = h.propose(1, "unload", "b")
			time.Sleep(20 * time.Millisecond)
			h.expectNoCrash()
		}
		h.engine.SetFaults(fake.ReplicaFaults{})
		Eventually(func() error { return h.ensureAdapter("a1") }, eventuallyTimeout).Should(Succeed())
		h.expectNoCrash()
	})

	It("refuses loads that exceed the memory and proposals with an older planner epoch", func() {
		h := newHost("a", "b", "c")
		Eventually(func() error { return h.ensureAdapter("a1") }, eventuallyTimeout).Should(Succeed())
		Expect(errkind.Of(h.propose(5, "load", "d"))).To(Equal(errkind.MemoryFull))
		Expect(errkind.Of(h.propose(4, "unload", "b"))).To(Equal(errkind.NoCandidate))
		Expect(h.propose(5, "unload", "b")).To(Succeed())
		Expect(h.propose(5, "load", "d")).To(Succeed())
		h.expectNoCrash()
	})

	// Guards against sizes of a replaced configuration that a gateway sends which has not got the new one.
	It("keeps the sizes of the newest configuration", func() {
		h := newHost("a")
		Eventually(func() error { return h.ensureAdapter("a1") }, eventuallyTimeout).Should(Succeed())
		larger := target(8)
		larger.Models[1].WeightsMb = 250
		h.agent.SetTarget(larger)
		h.agent.SetTarget(target(6))
		Expect(errkind.Of(h.propose(1, "load", "b"))).To(Equal(errkind.MemoryFull))
		report, err := platform.NewEngineClient(h.server.Listener.Addr().String(), nil).Report(context.Background())
		Expect(err).NotTo(HaveOccurred())
		listed := target(6)
		listed.Born = report.Born
		h.agent.SetTarget(listed)
		h.agent.SetTarget(target(9))
		Expect(errkind.Of(h.propose(1, "load", "b"))).To(Equal(errkind.MemoryFull), "from an older list of servers")
		newest := target(9)
		newest.Born = report.Born
		h.agent.SetTarget(newest)
		Expect(h.propose(1, "load", "b")).To(Succeed())
	})

	It("restores the models that its engine lost in a restart", func() {
		h := newHost("a", "b")
		Eventually(func() error { return h.ensureAdapter("a1") }, eventuallyTimeout).Should(Succeed())
		h.engine.Restart()
		Eventually(h.models, eventuallyTimeout).Should(ConsistOf("a", "b"))
		h.expectNoCrash()
	})

	It("restores the engine's models after both restart, with a higher fencing number", func() {
		h := newHost("a", "b")
		Eventually(func() error { return h.ensureAdapter("a1") }, eventuallyTimeout).Should(Succeed())
		Eventually(func() string {
			row, _, err := h.client.Get(context.Background(), "agents", "side-1")
			Expect(err).NotTo(HaveOccurred())
			return string(row.Value)
		}, eventuallyTimeout).Should(ContainSubstring(`"a","b"`))
		h.stop()
		h.engine.Restart()
		h.start()
		Eventually(h.models, eventuallyTimeout).Should(ConsistOf("a", "b"))
		Eventually(func() error { return h.ensureAdapter("a1") }, eventuallyTimeout).Should(Succeed())
		h.expectNoCrash()
	})

	It("sends no orders without a fencing number", func() {
		h := newHost("a")
		Eventually(func() error { return h.ensureAdapter("a1") }, eventuallyTimeout).Should(Succeed())
		h.stop()
		h.store.SetFaults(fake.StoreFaults{Refuse: true})
		h.start()
		Consistently(func() error { return h.ensureAdapter("a2") }, 500*time.Millisecond).Should(HaveOccurred())
		h.store.SetFaults(fake.StoreFaults{})
		Eventually(func() error { return h.ensureAdapter("a2") }, eventuallyTimeout).Should(Succeed())
		h.expectNoCrash()
	})
})

var _ = Describe("an agent whose engine carries out a long order", func() {
	// Guards against a request that waits for an adapter that cannot be loaded now, and against orders that are repeated
	// every few milliseconds during the wait.
	It("refuses an adapter request without waiting for the order to finish", func() {
		h := newHost("a")
		Eventually(func() error { return h.ensureAdapter("a1") }, eventuallyTimeout).Should(Succeed())
		h.engine.SetFaults(fake.ReplicaFaults{OrderTime: 3 * time.Second})
		Expect(h.propose(1, "load", "b")).To(Succeed())
		start := time.Now()
		Expect(errkind.Of(h.ensureAdapter("a2"))).To(Equal(errkind.Overloaded))
		Expect(time.Since(start)).To(BeNumerically("<", time.Second), "the load takes 3 s")
	})
})
