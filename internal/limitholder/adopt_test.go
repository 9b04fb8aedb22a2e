package limitholder

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

// runAdoptionRounds runs rounds until a gateway of any rank has adopted the available leases and their
// quarantine is over.
func (f *fleet) runAdoptionRounds() {
	for range 10 {
		f.now += 10 * time.Second
		f.runRounds()
	}
}

var _ = Describe("a data centre without a gateway", func() {
	for _, withGateway := range [][]string{{"a", "b"}, {"a"}} {
		It("guards against requests within the rate and burst being refused because no gateway holds its share", func() {
			f := newFleet("a", "b", "c")
			var first *Holder
			for _, dc := range withGateway {
				h := f.start(dc, dc+"1", "i1", 0)
				if first == nil {
					first = h
				}
			}
			f.runAdoptionRounds()
			_, err := f.reserve(first, 300)
			Expect(err).NotTo(HaveOccurred(), "a request of the whole burst")
			Expect(kindOf(f.reserve(first, 1))).To(Equal(errkind.RateLimited))
			refused := 0
			for range 100 { // 27 of the 30 tokens a second
				f.now += time.Second
				if _, err := f.reserve(first, 27); err != nil {
					refused++
				}
			}
			Expect(refused).To(BeZero())
			Expect(first.strandedShares()).To(BeZero())
		})
	}

	It("guards against an adopted lease that is not released when a gateway of the data centre appears", func() {
		f := newFleet("a", "b")
		a := f.start("a", "a1", "i1", 0)
		f.runAdoptionRounds()
		Expect(a.adoptedShares()).To(Equal(2))
		b := f.start("b", "b1", "i1", time.Hour)
		f.runRounds()
		f.runRounds()
		Expect(a.adoptedShares()).To(BeZero())
		Expect(b.Holds(0)).To(BeTrue())
		Expect(b.Holds(1)).To(BeTrue())
	})

	It("guards against an adoption while a gateway may still hold the share or its data centre is not known", func() {
		f := newFleet("a", "b")
		a := f.start("a", "a1", "i1", 0)
		f.start("b", "b1", "i1", 0)
		f.runRounds()
		f.unlisted["b1"] = true
		delete(f.gateways, "b1")
		f.runAdoptionRounds()
		Expect(a.adoptedShares()).To(BeZero(), "its lease has neither expired nor was its host removed")
		f.removed["b1"] = true
		a.opts.Peers = func() ([]Peer, bool) { return []Peer{{Address: "x1"}}, true }
		f.runAdoptionRounds()
		Expect(a.adoptedShares()).To(BeZero(), "x1 may be a gateway of b")
		a.opts.Peers = f.peers
		f.runAdoptionRounds()
		Expect(a.adoptedShares()).To(Equal(2))
	})

	It("guards against a refund of a charge of several shares that is lost or credited twice", func() {
		f := newFleet("a", "b", "c")
		a := f.start("a", "a1", "i1", 0)
		f.runAdoptionRounds()
		r, err := f.reserve(a, 250)
		Expect(err).NotTo(HaveOccurred())
		r.Refund(220)
		r.Refund(220)
		Expect(kindOf(f.reserve(a, 271))).To(Equal(errkind.RateLimited))
		_, err = f.reserve(a, 270)
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("a request that used more than it reserved", func() {
	It("guards against use that is never charged, or charged twice", func() {
		f := newFleet("a")
		a := f.start("a", "a1", "i1", 0)
		f.runRounds()
		r, err := f.reserve(a, 300)
		Expect(err).NotTo(HaveOccurred())
		r.Refund(-60)
		r.Refund(-60)
		Expect(a.metrics.debts.Value()).To(BeEquivalentTo(1))
		Expect(a.metrics.debtTokens.Value()).To(BeEquivalentTo(60))
		_, err = f.reserve(a, 30)
		Expect(err.(*RateLimitError).RetryAfter).To(Equal(3*time.Second + time.Millisecond))
		f.now += 3*time.Second + time.Millisecond
		_, err = f.reserve(a, 30)
		Expect(err).NotTo(HaveOccurred())
	})
})
