package duty_test

import (
	"fmt"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

var _ = Describe("the planner's lease after the store was restored from a copy", func() {
	var store *fake.Store
	var address string
	var empty, taken fake.Copy
	var holder *candidate
	var epoch int64
	notRewritten := fake.Restore{RewriteAfter: -1}

	BeforeEach(func() {
		store = fake.NewStore()
		empty = store.TakeCopy()
		server := httptest.NewServer(store.Handler())
		DeferCleanup(server.Close)
		address = server.Listener.Addr().String()
		first := newCandidate(address, "g0")
		Eventually(func() int { return holders(first) }, eventuallyTimeout).Should(Equal(1))
		first.lease.Release(GinkgoT().Context())
		taken = store.TakeCopy() // names a holder that released the lease
		for i := range 30 {
			store.Put("status", fmt.Sprint("row-", i), []byte("{}"))
		}
		holder = newCandidate(address, "g1")
		Eventually(func() int { return holders(holder) }, eventuallyTimeout).Should(Equal(1))
		epoch = holder.lease.Epoch()
	})

	// Guards against two planners, because the copy says that the lease is free.
	DescribeTable("stays with its holder", func(from func() fake.Copy) {
		store.RestoreFrom(from(), notRewritten)
		again := startCandidate(address, "g0", true) // on the host that released the lease
		other := startCandidate(address, "g2", true)
		Consistently(func() []int64 { return []int64{holder.lease.Epoch(), again.lease.Epoch(), other.lease.Epoch()} }, 5*time.Second).
			Should(Equal([]int64{epoch, 0, 0}))
	},
		Entry("if the copy has an earlier holder", func() fake.Copy { return taken }),
		Entry("if the copy lacks the row", func() fake.Copy { return empty }),
	)

	DescribeTable("passes after its term, with a higher epoch, if its holder ended", func(from func() fake.Copy) {
		holder.stop()
		ended := time.Now()
		store.RestoreFrom(from(), notRewritten)
		again := startCandidate(address, "g0", true)
		Eventually(func() int { return holders(again) }, eventuallyTimeout).Should(Equal(1))
		Expect(time.Since(ended)).To(BeNumerically(">", 3*time.Second), "the ended holder could have acted for a whole term")
		Expect(again.lease.Epoch()).To(BeNumerically(">", epoch))
	},
		Entry("if the copy has an earlier holder", func() fake.Copy { return taken }),
		Entry("if the copy lacks the row", func() fake.Copy { return empty }),
	)

	It("stays with its holder when the store is restored twice", func() {
		other := startCandidate(address, "g2", true)
		store.RestoreFrom(taken, notRewritten)
		time.Sleep(500 * time.Millisecond)
		store.RestoreFrom(taken, notRewritten)
		Consistently(func() []int64 { return []int64{holder.lease.Epoch(), other.lease.Epoch()} }, 5*time.Second).
			Should(Equal([]int64{epoch, 0}))
	})

	// Guards against two planners in an upgrade: a row without an era does not tell whether it stems from a copy.
	It("does not trust the row of an earlier release", func() {
		holder.stop()
		store.Put("duties", "planner", []byte(`{"host":"g0","incarnation":"earlier","released":true}`))
		other := startCandidate(address, "g0", true)
		Consistently(func() int { return holders(other) }, 2*time.Second).Should(Equal(0))
		Eventually(func() int { return holders(other) }, eventuallyTimeout).Should(Equal(1))
		Expect(other.lease.Epoch()).To(BeNumerically(">", epoch))
	})
})
