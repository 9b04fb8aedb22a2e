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

const soon = 5 * time.Second

// host is an agent beside an emulated engine with an emulated store.
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
	h.client = platform.NewStore(storeServer.Listener.Addr().String())
	h.start()
	DeferCleanup(func() { h.stop() })
	return h
}

// start runs a new agent process.
func (h *host) start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.agent = agent.New(agent.Options{
		Host: "side-1", Engine: platform.NewEngineClient(h.server.Listener.Addr().String()), Store: h.client,
		Log: slog.New(slog.DiscardHandler),
	})
	a := h.agent
	h.target()
	var done sync.WaitGroup
	done.Go(func() { _ = a.Run(ctx) })
	h.stop = func() { cancel(); done.Wait() }
}

func (h *host) target() {
	h.agent.SetTarget(&wirepb.AgentTarget{
		Replica: "i-1", WeightsMb: 300, AdapterSlots: 2,
		Models: []*wirepb.ModelSize{{Model: "a", WeightsMb: 90, AdapterMb: 1}, {Model: "b", WeightsMb: 90, AdapterMb: 1},
			{Model: "c", WeightsMb: 90, AdapterMb: 1}, {Model: "d", WeightsMb: 90, AdapterMb: 1}},
	})
}

func (h *host) models() []string {
	report, err := platform.NewEngineClient(h.server.Listener.Addr().String()).Report(context.Background())
	if err != nil {
		return nil
	}
	var names []string
	for _, m := range report.Models {
		names = append(names, m.Name)
	}
	return names
}

func (h *host) adapter(name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return h.agent.EnsureAdapter(ctx, "request", "i-1", "a", name)
}

func (h *host) take(epoch int64, action, model string) error {
	return h.agent.Take(context.Background(),
		&wirepb.ModelOrder{PlannerEpoch: epoch, Action: action, Model: model, Replica: "i-1"})
}

// healthy checks that no order broke a rule of the engine.
func (h *host) healthy() {
	GinkgoHelper()
	_, crashed := h.engine.Runs()
	Expect(crashed).To(BeEmpty())
}

var _ = Describe("an agent", func() {
	It("loads adapters on demand and makes room for them, within the places", func() {
		h := newHost("a")
		Eventually(func() error { return h.adapter("a1") }, soon).Should(Succeed())
		Expect(h.adapter("a2")).To(Succeed())
		Eventually(func() error { return h.adapter("a3") }, soon).Should(Succeed(), "an older adapter makes room")
		Expect(h.adapter("a3")).To(Succeed())
		Expect(errkind.Of(h.agent.EnsureAdapter(context.Background(), "r", "i-1", "d", "a1"))).To(Equal(errkind.ModelNotResident))
		Expect(errkind.Of(h.agent.EnsureAdapter(context.Background(), "r", "i-2", "a", "a1"))).To(Equal(errkind.NoCandidate))
		h.healthy()
	})

	// Guards against an order that the engine carries out late, after newer ones, so that it holds more than its memory.
	It("never orders more than the memory holds when orders get lost and are carried out late", func() {
		h := newHost("a")
		h.engine.SetFaults(fake.ReplicaFaults{LateOrders: 0.5})
		Eventually(func() error { return h.take(1, "load", "b") }, soon).Should(Or(Succeed(), HaveOccurred()))
		for range 60 {
			for _, model := range []string{"b", "c", "d"} {
				_ = h.take(1, "load", model) // many of them fail; the engine judges
			}
			_ = h.take(1, "unload", "b")
			time.Sleep(20 * time.Millisecond)
			h.healthy()
		}
		h.engine.SetFaults(fake.ReplicaFaults{})
		Eventually(func() error { return h.adapter("a1") }, soon).Should(Succeed())
		h.healthy()
	})

	It("refuses what does not fit and what an older planner proposes", func() {
		h := newHost("a", "b", "c")
		Eventually(func() error { return h.adapter("a1") }, soon).Should(Succeed())
		Expect(errkind.Of(h.take(5, "load", "d"))).To(Equal(errkind.MemoryFull))
		Expect(errkind.Of(h.take(4, "unload", "b"))).To(Equal(errkind.NoCandidate))
		Expect(h.take(5, "unload", "b")).To(Succeed())
		Expect(h.take(5, "load", "d")).To(Succeed())
		h.healthy()
	})

	It("loads again what its engine lost with a restart", func() {
		h := newHost("a", "b")
		Eventually(func() error { return h.adapter("a1") }, soon).Should(Succeed())
		h.engine.Restart()
		Eventually(h.models, soon).Should(ConsistOf("a", "b"))
		h.healthy()
	})

	It("loads again what its engine held before both lost power, with a higher fencing number", func() {
		h := newHost("a", "b")
		Eventually(func() error { return h.adapter("a1") }, soon).Should(Succeed())
		Eventually(func() string {
			row, _, err := h.client.Get(context.Background(), "agents", "side-1")
			Expect(err).NotTo(HaveOccurred())
			return string(row.Value)
		}, soon).Should(ContainSubstring(`"a","b"`))
		h.stop()
		h.engine.Restart()
		h.start()
		Eventually(h.models, soon).Should(ConsistOf("a", "b"))
		Eventually(func() error { return h.adapter("a1") }, soon).Should(Succeed())
		h.healthy()
	})

	It("gives no orders without a fencing number", func() {
		h := newHost("a")
		Eventually(func() error { return h.adapter("a1") }, soon).Should(Succeed())
		h.stop()
		h.store.SetFaults(fake.StoreFaults{Refuse: true})
		h.start()
		Consistently(func() error { return h.adapter("a2") }, 500*time.Millisecond).Should(HaveOccurred())
		h.store.SetFaults(fake.StoreFaults{})
		Eventually(func() error { return h.adapter("a2") }, soon).Should(Succeed())
		h.healthy()
	})
})

var _ = Describe("an agent whose engine carries out a long order", func() {
	// Guards against a request that is held for an adapter that cannot be loaded now, and against orders that are
	// repeated every few milliseconds meanwhile.
	It("tells at once that an adapter must be loaded elsewhere", func() {
		h := newHost("a")
		Eventually(func() error { return h.adapter("a1") }, soon).Should(Succeed())
		h.engine.SetFaults(fake.ReplicaFaults{OrderTime: 3 * time.Second})
		Expect(h.take(1, "load", "b")).To(Succeed())
		start := time.Now()
		Expect(errkind.Of(h.adapter("a2"))).To(Equal(errkind.Overloaded))
		Expect(time.Since(start)).To(BeNumerically("<", time.Second), "the load takes three")
	})
})
