package systemtest

import (
	"fmt"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var bookingBackendServers = []backendServer{
	{name: "brush-1", dataCentre: "walled-city", service: modelService},
	{name: "ledger-1", dataCentre: "walled-city", service: ledgerService},
	{name: "ledger-2", dataCentre: "gulberg", service: ledgerService},
}

var _ = Describe("a booking", Ordered, func() {
	var s *System
	services := []string{"ledger-1", "ledger-2"}
	BeforeAll(func() { s = NewSystem(layout{gateways: 2, backendServers: bookingBackendServers}) })

	injectAll := func(fault string) {
		GinkgoHelper()
		for _, name := range services {
			s.Control(s.backendServers[name], fault)
		}
	}
	clearFaults := func() {
		injectAll(`{"delay_answers":0,"cut_before_read":0,"cut_before_answer":0,"cut_in_answer":0}`)
		s.Control("http://"+s.platform, `{"away":false,"hang":false,"lose_answers":0}`)
	}
	executions := func(id string) int {
		GinkgoHelper()
		total := 0
		for _, name := range services {
			var stats struct{ Executions map[string]int }
			getJSON(s.backendServers[name]+"/stats", &stats)
			total += stats.Executions[id]
		}
		return total
	}
	// checkExecutions compares a reply with the execution counters of the services.
	checkExecutions := func(r reply, id string) {
		GinkgoHelper()
		n := executions(id)
		Expect(n).To(BeNumerically("<=", 1), "executed twice")
		if r.ran() == "no" {
			Expect(n).To(BeZero(), "executed although Pomelo-Ran is no: "+r.body)
		}
		if r.err == nil && r.status < 300 {
			Expect(n).To(Equal(1), "answered as done but not executed")
		}
	}
	BeforeEach(clearFaults)
	AfterEach(clearFaults)

	// Guards against a second dispatch after a lost connection, with and without an idempotency key, and against a
	// repeat through the other gateway that runs the booking again.
	DescribeTable("runs at most once when the service's connection is cut", func(fault string, ran int) {
		for _, keyed := range []bool{false, true} {
			id, idempotencyKey := fmt.Sprintf("cut-%t-%s", keyed, fault), ""
			if keyed {
				idempotencyKey = "key-of-" + fault
			}
			injectAll(fmt.Sprintf(`{%q:1}`, fault))
			r := s.Book(s.gateways[0], idempotencyKey, id)
			clearFaults()
			checkExecutions(r, id)
			Expect(executions(id)).To(Equal(ran), r.body)
			if r.err == nil && r.status >= 300 {
				Expect(r.ran()).To(Equal("unknown"))
			}
			if !keyed {
				continue
			}
			for _, g := range s.gateways {
				checkExecutions(s.Book(g, idempotencyKey, id), id)
				Expect(executions(id)).To(Equal(ran), "a claim without an outcome was run again")
			}
		}
	},
		Entry("before it read the call", "cut_before_read", 0),
		Entry("after the execution", "cut_before_answer", 1),
		Entry("in the middle of the answer", "cut_in_answer", 1),
	)

	// Guards against two executions when a caller repeats a call before the first one has ended.
	It("runs once when two gateways get the same key at once", func() {
		injectAll(`{"delay_answers":8,"delay_ms":300}`)
		var wg sync.WaitGroup
		replies := make([]reply, 8)
		for i := range replies {
			wg.Go(func() {
				defer GinkgoRecover()
				replies[i] = s.Book(s.gateways[i%2], "same-key", "at-once")
			})
		}
		wg.Wait()
		done := 0
		for _, r := range replies {
			if r.status == http.StatusCreated {
				done++
				continue
			}
			Expect(r.code()).To(Equal("idempotency_in_progress"), r.body)
			Expect(r.ran()).NotTo(Equal("no"))
		}
		Expect(done).To(BeNumerically(">=", 1))
		Expect(executions("at-once")).To(Equal(1))
		Expect(s.Book(s.gateways[1], "same-key", "at-once").status).To(Equal(http.StatusCreated))
		Expect(executions("at-once")).To(Equal(1))
	})

	// Guards against a gateway that takes its own claim for that of another call because the answer to its write was lost.
	It("runs once when the answer of the claim write is lost", func() {
		s.Control("http://"+s.platform, `{"lose_answers":1}`)
		r := s.Book(s.gateways[0], "lost-claim", "lost-claim")
		checkExecutions(r, "lost-claim")
		Expect(r.status).To(Equal(http.StatusCreated), r.body)
		Expect(s.Book(s.gateways[1], "lost-claim", "lost-claim").body).To(Equal(r.body))
		Expect(executions("lost-claim")).To(Equal(1))
	})

	// Guards against a booking with a key that runs without a claim, and against an outage that stops calls without a key.
	It("is refused as not run with a key and runs without one while the table service is unavailable", func() {
		s.Control("http://"+s.platform, `{"away":true}`)
		r := s.Book(s.gateways[0], "while-away", "while-away")
		Expect(r.code()).To(Equal("store_unavailable"), r.body)
		Expect(r.ran()).To(Equal("no"))
		Expect(executions("while-away")).To(BeZero())
		Expect(s.Book(s.gateways[0], "", "away-no-key").status).To(Equal(http.StatusCreated))
		Expect(executions("away-no-key")).To(Equal(1))
	})

	// Guards against answering a booking with the recorded outcome of another one.
	It("answers idempotency_mismatch to another body", func() {
		Expect(s.Book(s.gateways[0], "mismatch", "lantern-1").status).To(Equal(http.StatusCreated))
		r := s.Book(s.gateways[1], "mismatch", "lantern-2")
		Expect(r.code()).To(Equal("idempotency_mismatch"), r.body)
		Expect(r.ran()).To(Equal("no"))
		Expect(executions("lantern-2")).To(BeZero())
	})

	// Guards against a repeat that runs a booking again that the killed process had handed over to the service.
	DescribeTable("runs at most once when a process is killed after hand-over", func(victim string, keyed bool) {
		id, idempotencyKey := "kill-"+victim+fmt.Sprint(keyed), ""
		if keyed {
			idempotencyKey = id
		}
		injectAll(`{"delay_answers":1,"delay_ms":1000}`)
		first := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			first <- s.Book(s.gateways[0], idempotencyKey, id)
		}()
		Eventually(func() int { return executions(id) }, processTimeout, "10ms").Should(Equal(1))
		s.procs[victim].Kill()
		var r reply
		Eventually(first, processTimeout).Should(Receive(&r))
		Expect(r.status).NotTo(Equal(http.StatusCreated))
		checkExecutions(r, id)
		clearFaults()
		if keyed {
			checkExecutions(s.Book(s.gateways[1], idempotencyKey, id), id)
		}
		s.procs[victim].Restart()
		s.awaitOK(s.gateways[0] + "/readyz")
		for _, b := range bookingBackendServers {
			s.AwaitServing(b)
		}
		if keyed && victim == "gateway-1" {
			// The sidecar kept running, so it recorded the outcome.
			Eventually(func() int { return s.Book(s.gateways[1], idempotencyKey, id).status }, processTimeout).
				Should(Equal(http.StatusCreated))
		}
		if keyed {
			checkExecutions(s.Book(s.gateways[0], idempotencyKey, id), id)
		}
		Expect(executions(id)).To(Equal(1))
	},
		Entry("sidecar, with a key", "sidecar-ledger-1", true),
		Entry("sidecar, without a key", "sidecar-ledger-1", false),
		Entry("gateway, with a key", "gateway-1", true),
		Entry("gateway, without a key", "gateway-1", false),
	)
})
