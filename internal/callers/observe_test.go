package callers_test

import (
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
)

var _ = Describe("what operators see of requests", func() {
	attainment := func(w *world) gateway.Outcomes {
		var report gateway.AttainmentReport
		Expect(json.Unmarshal([]byte(w.gateway.Vars().Get("attainment").String()), &report)).To(Succeed())
		var sum gateway.Outcomes
		for _, classes := range report.Organisations {
			sum = classes[config.Class("")]
		}
		return sum
	}

	// Guards against answers that reach the caller without being counted.
	It("counts whole answers, streams, plain calls, refusals and broken answers", func() {
		kinds := []errkind.Kind{errkind.None, errkind.None, errkind.None, errkind.RequestTooLarge, errkind.BackendFailed}
		var next atomic.Int64 // taken before the answer: the next request may come as soon as it is sent
		w := start(usual, 1, 1, func(t *talk) {
			kind := kinds[next.Add(1)-1]
			t.accept()
			t.chunk("red", 1)
			t.end(kind)
		})
		w.do(bg, "POST", chatPath, wholeBody)
		w.do(bg, "POST", chatPath, strings.Replace(wholeBody, "{", `{"stream":true,`, 1))
		w.do(bg, "GET", "/services/lantern-ledger/jobs/1", "")
		Expect(attainment(w)).To(Equal(gateway.Outcomes{Met: 3}))
		w.do(bg, "POST", chatPath, "{")
		w.do(bg, "POST", chatPath, wholeBody)
		w.do(bg, "POST", chatPath, wholeBody)
		w.limiter.refusal = errkind.New(errkind.RateLimited, "empty")
		w.do(bg, "POST", chatPath, wholeBody)
		w.limiter.refusal = errkind.New(errkind.LimitsUnavailable, "no holder")
		w.do(bg, "POST", chatPath, wholeBody)
		Expect(attainment(w)).To(Equal(gateway.Outcomes{Met: 3, Failed: 2, RateLimited: 1, Refused: 1}))
	})

	// Guards against a decision that "pomeloctl explain" cannot find at the default level.
	It("logs each refusal with the request ID and the reason", func() {
		w := start(usual, 1, 1, func(t *talk) { t.refuse(errkind.MemoryFull) })
		r, _ := w.do(bg, "POST", chatPath, wholeBody)
		w.log.mu.Lock()
		lines := strings.Split(w.log.text.String(), "\n")
		w.log.mu.Unlock()
		id := "request_id=" + r.Header.Get("X-Request-Id")
		lines = slices.DeleteFunc(lines, func(l string) bool { return !strings.Contains(l, id) })
		Expect(lines).To(HaveLen(2))
		Expect(lines[0]).To(MatchRegexp(`level=INFO msg="routing decision".* organisation=\S+ profile=dawn model=colour-7b .*choice=\S+ reason=`))
		Expect(lines[1]).To(MatchRegexp(`level=INFO msg="request failed".* kind=memory_full ran=no attempts=1 reason=`))
	})
})
