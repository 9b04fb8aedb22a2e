package agent_test

import (
	"context"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/platform"
)

var _ = Describe("after the store was restored from a copy", func() {
	var h *host
	notRewritten := fake.Restore{RewriteAfter: -1}
	writeRows := func() {
		for i := range 30 {
			h.store.Put("status", fmt.Sprint("row-", i), []byte("{}"))
		}
	}
	restart := func(adapter string) {
		GinkgoHelper()
		h.stop()
		h.start()
		Eventually(func() error { return h.ensureAdapter(adapter) }, eventuallyTimeout).Should(Succeed())
		h.expectNoCrash()
	}

	BeforeEach(func() {
		h = newHost("a")
		Eventually(func() error { return h.ensureAdapter("a1") }, eventuallyTimeout).Should(Succeed())
	})

	// Guards against orders whose fencing token is lower than that of earlier orders to the same engine, because the store gave out
	// its versions again.
	It("an agent that starts again has a higher fencing number", func() {
		taken := h.store.TakeCopy()
		writeRows()
		restart("a2")
		h.store.RestoreFrom(taken, notRewritten)
		restart("a3")
		h.store.RestoreFrom(taken, notRewritten)
		Eventually(func() error { return h.ensureAdapter("a4") }, eventuallyTimeout).Should(Succeed(), "without a start")
		restart("a5")
	})

	It("an agent has a higher fencing number although the copy lacks its row", func() {
		empty := fake.NewStore().TakeCopy()
		writeRows()
		restart("a2")
		h.store.RestoreFrom(empty, notRewritten)
		restart("a3")
	})

	It("an agent writes its row again when a gateway tells of the restore", func() {
		h.store.RestoreFrom(fake.NewStore().TakeCopy(), notRewritten)
		row := func() string {
			r, _, err := h.client.Get(context.Background(), "agents", "side-1")
			Expect(err).NotTo(HaveOccurred())
			return string(r.Value)
		}
		Expect(row()).To(BeEmpty())
		t := target(0)
		t.StoreEra = h.store.Era()
		h.agent.SetTarget(t)
		Eventually(row, 2*eventuallyTimeout).Should(ContainSubstring(`"a"`))
	})
})

// Guards against an engine that refuses all orders after an upgrade, because the tokens of earlier releases were higher.
var _ = Describe("after an upgrade from a release whose tokens have no era", func() {
	It("an agent has a higher fencing number", func() {
		h := newHost("a")
		ctx := context.Background()
		engine := platform.NewEngineClient(h.server.Listener.Addr().String(), nil)
		report, err := engine.Report(ctx)
		Expect(err).NotTo(HaveOccurred())
		outcome, err := engine.Send(ctx, platform.Order{
			Load: true, Model: "a", Adapter: "a1", Sequence: report.Sequence, Holder: "side-1", Fence: 812345, Replica: "i-1",
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome).To(Equal(platform.OrderAccepted))
		Eventually(func() error { return h.ensureAdapter("a2") }, eventuallyTimeout).Should(Succeed())
		h.expectNoCrash()
	})
})
