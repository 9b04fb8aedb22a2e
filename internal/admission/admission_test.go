package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func always(*Item) bool { return true }

func newItem(org string, tokens int64) *Item {
	return &Item{Organisation: org, Tokens: tokens, Deadline: t0.Add(time.Hour)}
}

func offer(q *Queue, items ...*Item) {
	GinkgoHelper()
	for _, i := range items {
		_, err := q.Offer(t0, i, 1)
		Expect(err).NotTo(HaveOccurred())
	}
}

var _ = Describe("the queue", func() {
	It("serves the worst-served organisation first, so that a large organisation does not starve a small one", func() {
		q := New(Options{Policy: Fair, MaxQueue: 200})
		for range 100 {
			offer(q, newItem("large", 100))
		}
		for range 10 {
			offer(q, newItem("small", 100))
		}
		small := 0
		for range 22 {
			item := q.Next(1, always)
			if item.Organisation == "small" {
				small++
			}
			q.Done(item, item.Tokens, time.Second)
		}
		Expect(small).To(Equal(10))
	})

	It("lets a newly active organisation start at the current virtual time, without credit for idling", func() {
		q := New(Options{Policy: Fair, MaxQueue: 200})
		for range 60 {
			offer(q, newItem("old", 100))
		}
		for range 20 {
			q.Done(q.Next(1, always), 100, 0)
		}
		for range 40 {
			offer(q, newItem("new", 100))
		}
		served := map[string]int{}
		for range 20 {
			item := q.Next(1, always)
			served[item.Organisation]++
			q.Done(item, 100, 0)
		}
		Expect(served["new"]).To(BeNumerically("<=", 11))
	})

	It("gives no credit to an organisation that returns after idling", func() {
		q := New(Options{Policy: Fair, MaxQueue: 200})
		offer(q, newItem("old", 100), newItem("back", 500))
		for range 2 {
			item := q.Next(1, always)
			q.Done(item, item.Tokens, 0)
			offer(q, newItem("old", 100))
		}
		for range 60 {
			offer(q, newItem("old", 100))
		}
		for range 40 {
			q.Done(q.Next(1, always), 100, 0)
		}
		for range 40 {
			offer(q, newItem("back", 100))
		}
		back := 0
		for range 20 {
			item := q.Next(1, always)
			if item.Organisation == "back" {
				back++
			}
			q.Done(item, 100, 0)
		}
		Expect(back).To(BeNumerically("<=", 11))
	})

	It("orders one organisation by deadline", func() {
		q := New(Options{Policy: Fair, MaxQueue: 10})
		late, early := newItem("a", 1), newItem("a", 1)
		early.Deadline = t0.Add(time.Minute)
		offer(q, late, early)
		Expect(q.Next(1, always)).To(BeIdenticalTo(early))
	})

	It("starts late requests of an organisation last, so that an overload does not make all of them late", func() {
		q := New(Options{Policy: Fair, MaxQueue: 10})
		late, timely, other := newItem("a", 1), newItem("a", 1), newItem("b", 1)
		late.Deadline = t0.Add(time.Minute)
		late.StartBy, timely.StartBy = t0.Add(time.Second), StartBy(t0, 10*time.Second)
		offer(q, late, timely, other)
		q.MarkLate(t0.Add(2 * time.Second))
		Expect(q.Next(9, always)).To(BeIdenticalTo(timely))
		q.MarkLate(t0.Add(2 * time.Second))
		Expect(q.Next(9, always)).To(BeIdenticalTo(other))
		Expect(q.Next(9, always)).To(BeIdenticalTo(late))
	})

	It("orders by priority and by arrival under the other policies", func() {
		for policy, want := range map[Policy]int{Priority: 1, FIFO: 0} {
			q := New(Options{Policy: policy, MaxQueue: 10})
			items := []*Item{newItem("a", 1), newItem("b", 1)}
			items[1].Priority = 5
			offer(q, items...)
			Expect(q.Next(1, always)).To(BeIdenticalTo(items[want]), string(policy))
		}
	})

	It("starts interactive requests first and still lets batch requests progress", func() {
		q := New(Options{Policy: Fair, MaxQueue: 100, BatchConcurrency: 1})
		batch := newItem("b", 1)
		batch.Batch = true
		offer(q, batch)
		for range 20 {
			offer(q, newItem("a", 1))
		}
		started := 0
		for item := q.Next(1, always); item != batch; item = q.Next(1, always) {
			q.Done(item, 1, 0)
			started++
		}
		Expect(started).To(Equal(maxInteractiveStreak))
	})

	It("limits the batch requests beside running interactive requests", func() {
		q := New(Options{Policy: Fair, MaxQueue: 100, BatchConcurrency: 1})
		offer(q, newItem("a", 1))
		Expect(q.Next(9, always)).NotTo(BeNil())
		for range 3 {
			batch := newItem("b", 1)
			batch.Batch = true
			offer(q, batch)
		}
		Expect(q.Next(9, always)).NotTo(BeNil())
		Expect(q.Next(9, always)).To(BeNil())
	})

	It("refuses requests that exceed a queue limit or cannot start in time", func() {
		q := New(Options{Policy: Fair, MaxQueue: 3, MaxQueueOrg: 2})
		offer(q, newItem("a", 1), newItem("a", 1))
		_, err := q.Offer(t0, newItem("a", 1), 1)
		Expect(errkind.Of(err)).To(Equal(errkind.Overloaded))
		q.Done(q.Next(1, always), 1, 10*time.Second)
		Expect(q.Next(1, always)).NotTo(BeNil())
		urgent := newItem("b", 1)
		urgent.Deadline = t0.Add(5 * time.Second)
		_, err = q.Offer(t0, urgent, 1)
		Expect(errkind.Of(err)).To(Equal(errkind.DeadlineUnreachable))
		offer(q, newItem("b", 1), newItem("c", 1), newItem("d", 1))
		_, err = q.Offer(t0, newItem("e", 1), 1)
		Expect(errkind.Of(err)).To(Equal(errkind.Overloaded))
	})
})

var _ = Describe("the ramp", func() {
	var r *Ramp
	now := t0
	serve := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			r.RecordSuccess(now)
		}
	}
	BeforeEach(func() {
		now = t0
		r = NewRamp(RampOptions{Cold: 2, Max: 8, Step: 2 * time.Second})
		r.SetIncarnation("first")
	})

	It("doubles after each step of good service up to the maximum", func() {
		Expect(r.Limit()).To(Equal(2))
		serve(2200 * time.Millisecond)
		Expect(r.Limit()).To(Equal(4))
		serve(10 * time.Second)
		Expect(r.Limit()).To(Equal(8))
	})

	It("does not count idle time as good service", func() {
		r.RecordSuccess(now)
		r.RecordSuccess(now.Add(time.Hour))
		Expect(r.Limit()).To(Equal(2))
	})

	// Guards against a burst at the warm limit on a backend server that restarted while it received no
	// requests.
	It("limits an idle backend server to the cold limit until a good answer", func() {
		r = NewRamp(RampOptions{Cold: 2, Max: 8, Step: 2 * time.Second, IdleAfter: 5 * time.Second})
		serve(20 * time.Second)
		Expect(r.LimitAt(now)).To(Equal(8))
		now = now.Add(6 * time.Second)
		Expect(r.LimitAt(now)).To(Equal(2))
		r.RecordFirstTokenLatency(now, 100*time.Millisecond, time.Second)
		Expect(r.LimitAt(now)).To(Equal(8))
	})

	// Guards against a restarted backend server that receives the full load after its first good answer.
	It("requires a confirmed incarnation after a gap, because a good answer does not rule out a restart", func() {
		r = NewRamp(RampOptions{Cold: 2, Max: 8, Step: 2 * time.Second, ConfirmAfter: time.Second})
		r.SetIncarnation("first")
		serve(20 * time.Second)
		Expect(r.LimitAt(now)).To(Equal(8))
		asked := now.Add(500 * time.Millisecond)
		r.ConfirmIncarnation("first", asked)
		Expect(r.LimitAt(asked.Add(time.Second))).To(Equal(8))
		now = asked.Add(1100 * time.Millisecond)
		Expect(r.LimitAt(now)).To(Equal(2))
		r.RecordFirstTokenLatency(now, 100*time.Millisecond, time.Second)
		Expect(r.LimitAt(now)).To(Equal(2))
		r.ConfirmIncarnation("first", now.Add(-time.Millisecond))
		Expect(r.LimitAt(now)).To(Equal(2), "the report was requested before the gap was detected")
		r.ConfirmIncarnation("first", now)
		Expect(r.LimitAt(now)).To(Equal(8))
		now = now.Add(2 * time.Second)
		r.RecordFirstTokenLatency(now, 100*time.Millisecond, time.Second)
		r.ConfirmIncarnation("second", now)
		Expect(r.LimitAt(now)).To(Equal(2))
		Expect(r.NeedsConfirmation()).To(BeFalse())
	})

	// Guards against the warm limit on an idle backend server that restarted between a report and its first answer, in
	// less than ConfirmAfter.
	It("requires a confirmed incarnation after an idle time even if the last report is recent", func() {
		r = NewRamp(RampOptions{
			Cold: 2, Max: 8, Step: 2 * time.Second, IdleAfter: 5 * time.Second, ConfirmAfter: 100 * time.Millisecond,
		})
		r.SetIncarnation("first")
		serve(20 * time.Second)
		now = now.Add(6 * time.Second)
		r.ConfirmIncarnation("first", now.Add(-50*time.Millisecond))
		Expect(r.LimitAt(now)).To(Equal(2))
		answered := now.Add(30 * time.Millisecond)
		r.RecordFirstTokenLatency(answered, 30*time.Millisecond, time.Second)
		Expect(r.LimitAt(answered)).To(Equal(2), "the server may have restarted after the report")
		r.ConfirmIncarnation("first", now)
		Expect(r.LimitAt(answered)).To(Equal(2), "the report was requested before the answer")
		r.ConfirmIncarnation("first", answered)
		Expect(r.LimitAt(answered)).To(Equal(8))
	})

	It("falls back to the cold limit at one slow answer after an idle time", func() {
		r = NewRamp(RampOptions{Cold: 2, Max: 8, Step: 2 * time.Second, IdleAfter: 5 * time.Second})
		serve(20 * time.Second)
		r.RecordFirstTokenLatency(now.Add(time.Second), 5*time.Second, time.Second)
		Expect(r.Limit()).To(Equal(8))
		r.RecordFirstTokenLatency(now.Add(7*time.Second), 5*time.Second, time.Second)
		Expect(r.Limit()).To(Equal(2))
	})

	DescribeTable("falls back to the cold limit, since a cold backend server fails under full load", func(turnCold func()) {
		serve(20 * time.Second)
		Expect(r.Limit()).To(Equal(8))
		turnCold()
		Expect(r.Limit()).To(Equal(2))
	},
		Entry("new incarnation", func() { r.SetIncarnation("second") }),
		Entry("failure", func() { r.RecordFailure() }),
		Entry("consecutive slow answers", func() {
			for range slowStreakLimit {
				r.RecordFirstTokenLatency(now, 5*time.Second, time.Second)
			}
		}),
	)
})

// Guards against wrong counts: for any order of calls, the counts match and the limits hold.
func TestQueueCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Options{Policy: Fair, MaxQueue: 8, MaxQueueOrg: 5, BatchConcurrency: 1})
		var queued, running []*Item
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				item := newItem(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "org")), rapid.Int64Range(1, 50).Draw(t, "tokens"))
				item.Batch = rapid.Bool().Draw(t, "batch")
				if _, err := q.Offer(t0, item, 3); err == nil {
					queued = append(queued, item)
				}
			case 2:
				if item := q.Next(3, always); item != nil {
					running = append(running, item)
				} else if len(running) == 0 && len(queued) > 0 {
					t.Fatalf("%d requests are queued and none may start on an idle backend server", q.Queued())
				}
			case 3:
				if len(running) > 0 {
					q.Done(running[0], 10, time.Millisecond)
					running = running[1:]
				} else if len(queued) > 0 {
					q.Remove(queued[len(queued)-1])
				}
			}
			waiting := queued[:0]
			for _, item := range queued {
				if item.queued {
					waiting = append(waiting, item)
				}
			}
			queued = waiting
			if q.Running() != len(running) || q.Queued() != len(queued) || len(running) > 3 {
				t.Fatalf("running %d, want %d; queued %d, want %d", q.Running(), len(running), q.Queued(), len(queued))
			}
		}
	})
}
