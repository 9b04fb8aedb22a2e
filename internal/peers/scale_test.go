package peers_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/peers"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

var _ = Describe("the demand for services with scaling", func() {
	var stream *peers.ScaleStream
	one := func(service string, work int64) *wirepb.ServiceDemand {
		return &wirepb.ServiceDemand{Service: service, Work: work}
	}
	BeforeEach(func() { stream = peers.NewScaleStream() })

	// Guards against demand that is sent where nobody needs it: to gateways that do not hold the duties, and without scaling.
	It("is sent only to the holder of the duties, and only if there are such services", func() {
		for _, peer := range []struct {
			scaled bool
			epoch  int64
		}{{true, 0}, {false, 7}} {
			report, known, _, ok := stream.Pass([]*wirepb.ServiceDemand{one("s", 5)}, peer.scaled, peer.epoch)
			Expect(ok).To(BeTrue())
			Expect(report).To(BeNil())
			Expect(known).To(BeZero())
		}
	})

	// Guards against bytes for demand that has not changed, and against a change that does not arrive.
	It("is sent only when it has changed, and its name only once", func() {
		report, known, services, ok := stream.Pass([]*wirepb.ServiceDemand{one("s", 5), one("t", 1)}, true, 7)
		Expect(ok).To(BeTrue())
		Expect(report.GetServices()).To(HaveLen(2))
		Expect(known).To(Equal(int64(7)))
		Expect(services["s"].GetWork()).To(Equal(int64(5)))
		report, _, _, _ = stream.Pass([]*wirepb.ServiceDemand{one("s", 5), one("t", 1)}, true, 7)
		Expect(report).To(BeNil())
		waiting := one("s", 5)
		waiting.Waiting = 3
		report, _, services, ok = stream.Pass([]*wirepb.ServiceDemand{waiting, one("t", 1)}, true, 7)
		Expect(ok).To(BeTrue())
		Expect(report.GetServices()).To(HaveLen(1))
		Expect(report.GetServices()[0].GetService()).To(BeEmpty())
		Expect(services["s"].GetWaiting()).To(Equal(int64(3)))
		Expect(services["t"].GetWork()).To(Equal(int64(1)))
	})

	// Guards against a holder that takes demand of an earlier term for complete, and what came meanwhile for a burst.
	It("is sent completely when the peer acquires the duties again", func() {
		_, _, _, _ = stream.Pass([]*wirepb.ServiceDemand{one("s", 5), one("t", 1)}, true, 7)
		_, _, _, _ = stream.Pass([]*wirepb.ServiceDemand{one("s", 9), one("t", 1)}, true, 0)
		report, known, services, ok := stream.Pass([]*wirepb.ServiceDemand{one("s", 20), one("t", 1)}, true, 9)
		Expect(ok).To(BeTrue())
		Expect(known).To(Equal(int64(9)))
		Expect(report.GetServices()).To(HaveLen(2))
		Expect(services["s"].GetWork()).To(Equal(int64(20)))
	})

	// Guards against a gateway without any request that counts as one that has not reported.
	It("is reported by a gateway that has no demand yet", func() {
		report, known, services, ok := stream.Pass(nil, true, 7)
		Expect(ok).To(BeTrue())
		Expect(report).NotTo(BeNil())
		Expect(known).To(Equal(int64(7)))
		Expect(services).To(BeEmpty())
	})
})
