package systemtest

import (
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// load sends chat requests in closed loops until end is called.
type load struct {
	sent   atomic.Int64
	failed atomic.Value // body of the last answer that was not 200
	stop   chan struct{}
	done   chan struct{}
	loops  int
}

func (s *System) startLoad(loops int, gateways ...string) *load {
	l := &load{stop: make(chan struct{}), done: make(chan struct{}, loops), loops: loops}
	for i := range loops {
		go func() {
			defer GinkgoRecover()
			defer func() { l.done <- struct{}{} }()
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				if r := s.Chat(gateways[i%len(gateways)], "clerks-1", "load, tokens:20"); r.status != http.StatusOK {
					l.failed.Store(r.body)
				}
				l.sent.Add(1)
			}
		}()
	}
	return l
}

// end stops the loops and waits until their last answers have arrived.
func (l *load) end() {
	GinkgoHelper()
	close(l.stop)
	for range l.loops {
		Eventually(l.done, processTimeout).Should(Receive())
	}
}

// takeOutAndBringBack takes walled-city out of service and brings it back while it is under load.
func takeOutAndBringBack(s *System) *load {
	GinkgoHelper()
	l := s.startLoad(4, s.gateways...)
	Eventually(func() int { return s.chatRequests("brush-1") }, processTimeout).Should(BeNumerically(">", 10))
	s.Ctl("datacentre", "out", "walled-city", "-reason", "switch replaced")
	accepted := time.Now()
	Eventually(func() time.Duration { return time.Since(accepted) }, inForceLimit+processTimeout, "20ms").
		Should(BeNumerically(">", inForceLimit))
	before, sent := s.chatRequests("brush-1"), l.sent.Load()
	Eventually(l.sent.Load, processTimeout).Should(BeNumerically(">", sent+20))
	Expect(s.chatRequests("brush-1")).To(Equal(before), "new work 10 s after the data centre was taken out")
	s.Ctl("datacentre", "in", "walled-city", "-reason", "switch works")
	Eventually(func() int { return s.chatRequests("brush-1") }, inForceLimit).Should(BeNumerically(">", before))
	l.end()
	Expect(l.sent.Load()).To(BeNumerically(">", 20))
	return l
}

var _ = Describe("a data centre", func() {
	twoDataCentres := layout{gateways: 2, backendServers: engines}

	// Guards against requests that are still sent to a data centre after it was taken out.
	It("gets no new work 10 s after it was taken out, and work again after it is back", func() {
		takeOutAndBringBack(NewSystem(twoDataCentres))
	})

	// Guards against requests lost while gateways and sidecars have different versions of the configuration.
	It("is taken out and brought back without a lost request", func() {
		Expect(takeOutAndBringBack(NewSystem(twoDataCentres)).failed.Load()).To(BeNil())
	})
})
