package soak

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

// history are the records of a run that are put together by hand. Times are in milliseconds since start.
type history struct {
	start    time.Time
	requests []*sent
	records  *serverRecords
	gateway  gatewayTimes
}

func newHistory() *history {
	return &history{
		start:   time.Now().Truncate(time.Second),
		records: &serverRecords{runs: make(map[string][]fake.Run), rejections: make(map[string][]fake.Rejection)},
	}
}

func (h *history) at(ms int) time.Time { return h.start.Add(time.Duration(ms) * time.Millisecond) }

// request adds a request to gateway 0 that is sent at and answered completely within 10 ms.
func (h *history) request(at int) *sent {
	q := &sent{id: fmt.Sprint(len(h.requests)), kind: kindBook, at: h.at(at), ended: h.at(at + 10)}
	q.answer = answer{written: h.at(at), begun: true, headAt: h.at(at + 10), status: 200, complete: true}
	h.requests = append(h.requests, q)
	return q
}

// ran records that a server worked on a request from its sending until ms.
func (h *history) ran(q *sent, ms int, leaving bool) *sent {
	h.records.runs[q.id] = append(h.records.runs[q.id], fake.Run{
		ID: q.id, Server: "i-1", AtMS: q.at.UnixMilli(), EndMS: h.at(ms).UnixMilli(), Leaving: leaving})
	return q
}

func (h *history) rejected(q *sent, status int, retryAfter time.Duration) {
	h.records.rejections[q.id] = append(h.records.rejections[q.id], fake.Rejection{
		ID: q.id, Server: "i-1", AtMS: q.at.UnixMilli(), Status: status, RetryAfterMS: retryAfter.Milliseconds()})
}

// cut makes a request end without a complete answer at ms. begun says that a part of the answer arrived.
func (h *history) cut(q *sent, ms int, begun bool) *sent {
	q.ended = h.at(ms)
	q.answer = answer{written: q.at, begun: begun, err: errors.New("EOF")}
	return q
}

// failures returns the number of failures that a check reports.
func (h *history) failures(check func(requests []*sent, records *serverRecords, history []gatewayTimes, fail func(string, ...any))) int {
	n := 0
	check(h.requests, h.records, []gatewayTimes{h.gateway}, func(string, ...any) { n++ })
	return n
}

// Guards against a process that SIGHUP ends because the run sends it before the process has set its handlers.
func TestHangupOfAProcessThatStarts(t *testing.T) {
	RegisterTestingT(t)
	p := &program{name: "p", path: "/bin/sh", logDir: t.TempDir(), args: []string{"-c",
		"sleep 0.3; trap 'echo hung up' HUP; echo started; while :; do sleep 0.02; done"}}
	Expect(p.start()).To(Succeed())
	defer func() {
		p.signal(syscall.SIGKILL, true)
		<-p.exited
	}()
	p.hangup()
	Eventually(func() (string, error) {
		log, err := os.ReadFile(p.logFile(1))
		return string(log), err
	}, startTimeout).Should(Equal("started\nhung up\n"))
	Expect(p.recordedFailures()).To(BeEmpty())
}

// Guards against a check of losses that excuses more than the rule does, or less.
func TestCheckLosses(t *testing.T) {
	cases := map[string]struct {
		prepare func(h *history)
		lost    int
	}{
		"complete refusal":           {func(h *history) { h.request(0).answer.status = 503 }, 0},
		"cut within its answer":      {func(h *history) { h.cut(h.request(0), 100, true) }, 1},
		"closed at once, not passed": {func(h *history) { h.cut(h.request(0), 100, false) }, 0},
		"closed at once, but passed": {func(h *history) { h.ran(h.cut(h.request(0), 100, false), 90, false) }, 1},
		"closed later, not passed":   {func(h *history) { h.cut(h.request(0), 300, false) }, 1},
		"not sent whole":             {func(h *history) { h.cut(h.request(0), 300, false).answer.written = time.Time{} }, 0},
		"cut at the route's timeout": {func(h *history) { h.ran(h.cut(h.request(0), 2500, true), 2500, false) }, 0},
		"server at work near the end of the grace period": {func(h *history) {
			h.gateway.terminatedAt = []time.Time{h.at(0)}
			h.ran(h.cut(h.request(2000), 3600, true), 3600, false)
		}, 0},
		"cut before the end of the grace period": {func(h *history) {
			h.gateway.terminatedAt = []time.Time{h.at(0)}
			h.ran(h.cut(h.request(2000), 3200, true), 3200, false)
		}, 1},
		"server done before the end of the grace period": {func(h *history) {
			h.gateway.terminatedAt = []time.Time{h.at(0)}
			h.ran(h.cut(h.request(2000), 3600, true), 2500, false)
		}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			c.prepare(h)
			r := &Result{}
			lost := h.failures(func(q []*sent, records *serverRecords, g []gatewayTimes, fail func(string, ...any)) {
				r.checkLosses(q, records, g, t.TempDir(), h.start, fail)
			})
			NewWithT(t).Expect(lost).To(Equal(c.lost))
			NewWithT(t).Expect(r.Losses).To(HaveLen(c.lost))
		})
	}
}

// Guards against a check of leaving servers that sees no late request, or one that is in time.
func TestCheckLeaving(t *testing.T) {
	cases := map[string]struct {
		late func(h *history)
		want int
	}{
		"in time":                        {func(h *history) { h.ran(h.request(2005), 2010, true) }, 0},
		"late":                           {func(h *history) { h.ran(h.request(2015), 2020, true) }, 1},
		"late and rejected":              {func(h *history) { h.rejected(h.request(2015), 503, 0) }, 1},
		"late to another at the address": {func(h *history) { h.rejected(h.request(2015), 421, 0) }, 0},
		"after a restart": {func(h *history) {
			h.gateway.startedAt = []time.Time{h.at(1000)}
			h.ran(h.request(2015), 2020, true)
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			h.ran(h.request(0), 5, true)
			c.late(h)
			NewWithT(t).Expect(h.failures(checkLeaving)).To(Equal(c.want))
		})
	}
}

// Guards against a check of Retry-After that counts requests outside the stated time, or misses some within it.
func TestCheckRetryAfter(t *testing.T) {
	cases := map[string]struct {
		arrivals []int
		restart  int
		want     int
	}{
		"just before and after": {arrivals: []int{100, 300, 500, 2000, 2100}},
		"two within":            {arrivals: []int{600, 1900}},
		"three within":          {arrivals: []int{501, 1000, 1999}, want: 1},
		"restarted":             {arrivals: []int{700, 1000, 1999}, restart: 600},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			h.rejected(h.request(0), 503, 2*time.Second)
			for _, ms := range c.arrivals {
				h.ran(h.request(ms), ms+5, false)
			}
			if c.restart > 0 {
				h.gateway.startedAt = []time.Time{h.at(c.restart)}
			}
			NewWithT(t).Expect(h.failures(checkRetryAfter)).To(Equal(c.want))
		})
	}
}

// crashing adds a request with the part that crashes engines, which arrives at an engine when it is sent.
func (h *history) crashing(at int, crashed bool) {
	q := h.request(at)
	q.crashing = true
	h.ran(q, at+5, false)
	h.records.runs[q.id][0].Crashed = crashed
}

// Guards against a check of arrivals that counts from the wrong crash, or counts gateways that were out of touch.
func TestCheckCrashArrivals(t *testing.T) {
	cases := map[string]struct {
		crashes, late int
		disturbed     int // when the gateway was disturbed, in milliseconds; 0 if never
		want          int
	}{
		"three late":               {crashes: 5, late: 3},
		"four late":                {crashes: 5, late: 4, want: 1},
		"four late, four crashes":  {crashes: 4, late: 4},
		"four late, disturbed":     {crashes: 5, late: 4, disturbed: 1100},
		"four late, long in touch": {crashes: 5, late: 4, disturbed: 300, want: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			for i := range c.crashes {
				h.crashing(100*i, true)
			}
			if c.disturbed > 0 {
				h.gateway.disturbedAt = []time.Time{h.at(c.disturbed)}
			}
			h.crashing(3390, false) // in time
			for i := range c.late {
				h.crashing(3500+100*i, false)
			}
			NewWithT(t).Expect(h.failures(func(q []*sent, r *serverRecords, g []gatewayTimes, fail func(string, ...any)) {
				checkCrashArrivals(q, r, g, fail)
			})).To(Equal(c.want))
		})
	}
}

// Guards against a check of sound requests that compares the wrong periods.
func TestCheckSoundRequests(t *testing.T) {
	for begun, want := range map[int]int{9: 1, 10: 0} {
		h := newHistory()
		h.crashing(3000, true)
		h.crashing(12000, false)
		for i := range 20 {
			h.request(100 * i).model = "m"
			h.request(9050 + 100*i).model = "m"
			h.request(5000 + 100*i).model = "m" // in between
		}
		for i, q := range h.requests { // two crashing ones, then one of each period in turn
			q.begun = q.at.Before(h.at(3000)) || q.at.After(h.at(9000)) && i < 2+3*begun
		}
		NewWithT(t).Expect(h.failures(func(q []*sent, r *serverRecords, g []gatewayTimes, fail func(string, ...any)) {
			checkSoundRequests(q, r, g, fail)
		})).To(Equal(want), "%d of 20", begun)
	}
}

// Guards against a check of retries that allows more than the bound, or counts first arrivals.
func TestCheckRetries(t *testing.T) {
	for _, c := range []struct{ requests, retried, failures int }{{300, 57, 0}, {300, 114, 0}, {300, 115, 1}, {500, 115, 0}, {0, 0, 0}} {
		h := newHistory()
		for i := range c.requests {
			q := h.request(i * 10)
			for range 1 + min(1, max(0, c.retried-i)) {
				h.rejected(q, 503, 0)
			}
		}
		failures := h.failures(func(requests []*sent, records *serverRecords, _ []gatewayTimes, fail func(string, ...any)) {
			checkRetries(requests, records, fail)
		})
		if failures != c.failures {
			t.Errorf("%d retries of %d requests: %d failures, expected %d", c.retried, c.requests, failures, c.failures)
		}
	}
}
