package callerapi_test

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

var _ = Describe("counters and logs of requests", func() {
	attainment := func(f *fixture) gateway.Outcomes {
		var report gateway.AttainmentReport
		Expect(json.Unmarshal([]byte(f.gateway.Vars().Get("attainment").String()), &report)).To(Succeed())
		var sum gateway.Outcomes
		for _, classes := range report.Organisations {
			sum = classes[config.Class("")]
		}
		return sum
	}

	// Guards against responses that reach the caller without being counted.
	It("counts complete responses, streams, plain calls, refusals and failed responses", func() {
		kinds := []errkind.Kind{errkind.None, errkind.None, errkind.None, errkind.RequestTooLarge, errkind.BackendFailed}
		var next atomic.Int64 // advanced before the response is sent, because the next request may follow at once
		f := startFixture(defaultProfile, 1, 1, func(t *conversation) {
			kind := kinds[next.Add(1)-1]
			t.accept()
			t.chunk("red", 1)
			t.end(kind)
		})
		f.do(bg, "POST", chatPath, completeBody)
		f.do(bg, "POST", chatPath, strings.Replace(completeBody, "{", `{"stream":true,`, 1))
		f.do(bg, "GET", "/services/lantern-ledger/jobs/1", "")
		Expect(attainment(f)).To(Equal(gateway.Outcomes{Met: 3}))
		f.do(bg, "POST", chatPath, "{")
		f.do(bg, "POST", chatPath, completeBody)
		f.do(bg, "POST", chatPath, completeBody)
		f.limiter.refusal = errkind.New(errkind.RateLimited, "empty")
		f.do(bg, "POST", chatPath, completeBody)
		f.limiter.refusal = errkind.New(errkind.LimitsUnavailable, "no holder")
		f.do(bg, "POST", chatPath, completeBody)
		Expect(attainment(f)).To(Equal(gateway.Outcomes{Met: 3, Failed: 2, RateLimited: 1, Refused: 1}))
	})

	// Guards against a decision that "pomeloctl explain" cannot find at the default log level.
	It("logs each refusal with the request ID and the reason", func() {
		f := startFixture(defaultProfile, 1, 1, func(t *conversation) { t.refuse(errkind.MemoryFull) })
		r, _ := f.do(bg, "POST", chatPath, completeBody)
		f.log.mu.Lock()
		lines := strings.Split(f.log.text.String(), "\n")
		f.log.mu.Unlock()
		id := "request_id=" + r.Header.Get("X-Request-Id")
		lines = slices.DeleteFunc(lines, func(l string) bool { return !strings.Contains(l, id) })
		Expect(lines).To(HaveLen(2))
		Expect(lines[0]).To(MatchRegexp(
			`level=INFO msg="routing decision".* organisation=\S+ profile=dawn model=colour-7b .*choice=\S+ reason=`))
		Expect(lines[1]).To(MatchRegexp(`level=INFO msg="request failed".* kind=memory_full ran=no attempts=1 reason=`))
	})
})
