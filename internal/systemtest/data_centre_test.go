package systemtest

import (
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a data centre", func() {
	// Guards against work that still goes to a data centre after it was taken out, and against requests
	// lost on the way out and back.
	It("gets no new work 10 s after it was taken out, and loses no request", func() {
		backends := []backend{
			{name: "brush-1", dataCentre: "walled-city", service: models},
			{name: "brush-2", dataCentre: "gulberg", service: models},
		}
		s := NewSystem(layout{gateways: 2, backends: backends})
		var failed atomic.Value
		var sent atomic.Int64
		stop, done := make(chan struct{}), make(chan struct{}, 4)
		load := func(gateway string) {
			defer GinkgoRecover()
			defer func() { done <- struct{}{} }()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if r := s.Chat(gateway, "crews-1", "load, tokens:20"); r.status != http.StatusOK {
					failed.Store(r.body)
				}
				sent.Add(1)
			}
		}
		for i := range cap(done) {
			go load(s.gateways[i%2])
		}
		Eventually(func() int { return s.chatCalls("brush-1") }, startTime).Should(BeNumerically(">", 10))
		s.Ctl("datacentre", "out", "walled-city", "-reason", "switch replaced")
		accepted := time.Now()
		Eventually(func() time.Duration { return time.Since(accepted) }, inForce+startTime, "100ms").Should(BeNumerically(">", inForce))
		before, others := s.chatCalls("brush-1"), s.chatCalls("brush-2")
		Eventually(func() int { return s.chatCalls("brush-2") }, startTime).Should(BeNumerically(">", others+10))
		Expect(s.chatCalls("brush-1")).To(Equal(before), "new work 10 s after the data centre was taken out")
		s.Ctl("datacentre", "in", "walled-city", "-reason", "switch works")
		Eventually(func() int { return s.chatCalls("brush-1") }, inForce).Should(BeNumerically(">", before))
		close(stop)
		for range cap(done) {
			Eventually(done, startTime).Should(Receive())
		}
		Expect(failed.Load()).To(BeNil())
		Expect(sent.Load()).To(BeNumerically(">", 20))
	})
})
