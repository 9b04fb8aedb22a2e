package systemtest

import (
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// load sends chat requests without a pause until it is stopped.
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

// end stops the load and waits until the last answer has arrived.
func (l *load) end() {
	GinkgoHelper()
	close(l.stop)
	for range l.loops {
		Eventually(l.done, startTime).Should(Receive())
	}
}

// outAndBack takes walled-city out of service and brings it back, under load.
func outAndBack(s *System) *load {
	GinkgoHelper()
	l := s.startLoad(4, s.gateways...)
	Eventually(func() int { return s.chatCalls("brush-1") }, startTime).Should(BeNumerically(">", 10))
	s.Ctl("datacentre", "out", "walled-city", "-reason", "switch replaced")
	accepted := time.Now()
	Eventually(func() time.Duration { return time.Since(accepted) }, inForce+startTime, "20ms").Should(BeNumerically(">", inForce))
	before, sent := s.chatCalls("brush-1"), l.sent.Load()
	Eventually(l.sent.Load, startTime).Should(BeNumerically(">", sent+20))
	Expect(s.chatCalls("brush-1")).To(Equal(before), "new work 10 s after the data centre was taken out")
	s.Ctl("datacentre", "in", "walled-city", "-reason", "switch works")
	Eventually(func() int { return s.chatCalls("brush-1") }, inForce).Should(BeNumerically(">", before))
	l.end()
	Expect(l.sent.Load()).To(BeNumerically(">", 20))
	return l
}

var _ = Describe("a data centre", func() {
	two := layout{gateways: 2, backends: engines}

	// Guards against work that still goes to a data centre after it was taken out.
	It("gets no new work 10 s after it was taken out, and work again after it is back", func() {
		outAndBack(NewSystem(two))
	})

	// Guards against requests lost while gateways and sidecars hold different configurations.
	It("leaves and returns without a lost request", Label(knownRed), func() {
		Expect(outAndBack(NewSystem(two)).failed.Load()).To(BeNil())
	})
})
