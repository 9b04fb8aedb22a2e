package systemtest

import (
	"fmt"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var clerks = []backend{
	{name: "brush-1", dataCentre: "walled-city", service: models},
	{name: "ledger-1", dataCentre: "walled-city", service: ledger},
	{name: "ledger-2", dataCentre: "gulberg", service: ledger},
}

var _ = Describe("a booking", Ordered, func() {
	var s *System
	services := []string{"ledger-1", "ledger-2"}
	BeforeAll(func() { s = NewSystem(layout{gateways: 2, backends: clerks}) })

	all := func(fault string) {
		GinkgoHelper()
		for _, name := range services {
			s.Control(s.backends[name], fault)
		}
	}
	noFaults := func() {
		all(`{"delay_answers":0,"cut_before_read":0,"cut_before_answer":0,"cut_in_answer":0}`)
		s.Control("http://"+s.platform, `{"away":false,"hang":false,"lose_answers":0}`)
	}
	executions := func(id string) int {
		GinkgoHelper()
		total := 0
		for _, name := range services {
			var stats struct{ Executions map[string]int }
			getJSON(s.backends[name]+"/stats", &stats)
			total += stats.Executions[id]
		}
		return total
	}
	// judge checks a reply against the counters of the services.
	judge := func(r reply, id string) {
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
	BeforeEach(noFaults)
	AfterEach(noFaults)

	// Guards against a second dispatch after a lost connection, with and without a key, and against a
	// repeat through the other gateway that runs again.
	DescribeTable("runs at most once when the service's connection is cut", func(fault string, ran int) {
		for _, keyed := range []bool{false, true} {
			id, idempotencyKey := fmt.Sprintf("cut-%t-%s", keyed, fault), ""
			if keyed {
				idempotencyKey = "key-of-" + fault
			}
			all(fmt.Sprintf(`{%q:1}`, fault))
			r := s.Book(s.gateways[0], idempotencyKey, id)
			noFaults()
			judge(r, id)
			Expect(executions(id)).To(Equal(ran), r.body)
			if r.err == nil && r.status >= 300 {
				Expect(r.ran()).To(Equal("unknown"))
			}
			if !keyed {
				continue
			}
			for _, g := range s.gateways {
				judge(s.Book(g, idempotencyKey, id), id)
				Expect(executions(id)).To(Equal(ran), "a claim without an outcome was run again")
			}
		}
	},
		Entry("before it read the call", "cut_before_read", 0),
		Entry("after the execution", "cut_before_answer", 1),
		Entry("in the middle of the answer", "cut_in_answer", 1),
	)

	// Guards against two executions when callers repeat faster than the first call ends.
	It("runs once when two gateways get the same key at once", func() {
		all(`{"delay_answers":8,"delay_ms":300}`)
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

	// Guards against a claim that is taken for someone else's because the answer of its write was lost.
	It("runs once when the answer of the claim write is lost", func() {
		s.Control("http://"+s.platform, `{"lose_answers":1}`)
		r := s.Book(s.gateways[0], "lost-claim", "lost-claim")
		judge(r, "lost-claim")
		Expect(r.status).To(Equal(http.StatusCreated), r.body)
		Expect(s.Book(s.gateways[1], "lost-claim", "lost-claim").body).To(Equal(r.body))
		Expect(executions("lost-claim")).To(Equal(1))
	})

	// Guards against a booking that runs without a claim, and against an outage that stops calls without one.
	It("is refused as not run with a key and runs without one while the table service is away", func() {
		s.Control("http://"+s.platform, `{"away":true}`)
		r := s.Book(s.gateways[0], "while-away", "while-away")
		Expect(r.code()).To(Equal("store_unavailable"), r.body)
		Expect(r.ran()).To(Equal("no"))
		Expect(executions("while-away")).To(BeZero())
		Expect(s.Book(s.gateways[0], "", "away-no-key").status).To(Equal(http.StatusCreated))
		Expect(executions("away-no-key")).To(Equal(1))
	})

	// Guards against the outcome of one booking that answers another.
	It("answers idempotency_mismatch to another body", func() {
		Expect(s.Book(s.gateways[0], "mismatch", "lantern-1").status).To(Equal(http.StatusCreated))
		r := s.Book(s.gateways[1], "mismatch", "lantern-2")
		Expect(r.code()).To(Equal("idempotency_mismatch"), r.body)
		Expect(r.ran()).To(Equal("no"))
		Expect(executions("lantern-2")).To(BeZero())
	})

	// Guards against a repeat that runs a booking again which the dead process had handed over.
	DescribeTable("runs at most once when a process is killed after hand-over", func(victim string, keyed bool) {
		id, idempotencyKey := "kill-"+victim+fmt.Sprint(keyed), ""
		if keyed {
			idempotencyKey = id
		}
		all(`{"delay_answers":1,"delay_ms":1000}`)
		first := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			first <- s.Book(s.gateways[0], idempotencyKey, id)
		}()
		Eventually(func() int { return executions(id) }, startTime, "10ms").Should(Equal(1))
		s.procs[victim].Kill()
		var r reply
		Eventually(first, startTime).Should(Receive(&r))
		Expect(r.status).NotTo(Equal(http.StatusCreated))
		judge(r, id)
		noFaults()
		if keyed {
			judge(s.Book(s.gateways[1], idempotencyKey, id), id)
		}
		s.procs[victim].Restart()
		s.awaitOK(s.gateways[0] + "/readyz")
		for _, b := range clerks {
			s.AwaitServing(b)
		}
		if keyed && victim == "gateway-1" {
			// The sidecar outlived the gateway, so it recorded the outcome.
			Eventually(func() int { return s.Book(s.gateways[1], idempotencyKey, id).status }, startTime).Should(Equal(http.StatusCreated))
		}
		if keyed {
			judge(s.Book(s.gateways[0], idempotencyKey, id), id)
		}
		Expect(executions(id)).To(Equal(1))
	},
		Entry("sidecar, with a key", "sidecar-ledger-1", true),
		Entry("sidecar, without a key", "sidecar-ledger-1", false),
		Entry("gateway, with a key", "gateway-1", true),
		Entry("gateway, without a key", "gateway-1", false),
	)
})
