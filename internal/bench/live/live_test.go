package live

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/bench/scenario"
)

func TestLive(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "live")
}

func demo() *scenario.Scenario {
	GinkgoHelper()
	s, err := scenario.Load("../../../examples/scenarios/demo-live.yml")
	Expect(err).NotTo(HaveOccurred())
	return s
}

var _ = Describe("the load generator", func() {
	It("sends to loopback addresses only, and only a limited load", func() {
		for _, url := range []string{"http://192.0.2.1:80", "http://localhost:80", "https://127.0.0.1:1", "127.0.0.1:80"} {
			_, err := Run(context.Background(), demo(), Options{URL: url, MaxCalls: 1, RunTime: time.Second})
			Expect(err).To(HaveOccurred(), url)
		}
		_, err := Run(context.Background(), demo(), Options{URL: "http://127.0.0.1:1", MaxCalls: 1, RunTime: time.Hour})
		Expect(err).To(HaveOccurred())
	})

	It("plans the same calls for the same seed", func() {
		opts := Options{Seed: 7, MaxCalls: 50, RunTime: time.Minute}
		Expect(plan(demo(), opts)).To(Equal(plan(demo(), opts)))
		Expect(plan(demo(), opts)).To(HaveLen(50))
	})

	It("counts a stream without its end as lost and a refusal by its kind", func() {
		var calls atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasSuffix(r.URL.Path, "/chat/completions") {
				w.Header().Set("Pomelo-Ran", "no")
				w.WriteHeader(http.StatusTooManyRequests)
				fmt.Fprint(w, `{"error":{"code":"rate_limited"}}`)
				return
			}
			fmt.Fprint(w, "data: {}\n\n")
			if calls.Add(1) > 1 {
				fmt.Fprint(w, "data: [DONE]\n\n")
			}
		}))
		defer server.Close()
		r, err := Run(context.Background(), demo(), Options{URL: server.URL, Seed: 1, MaxCalls: 12, RunTime: 10 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Offered).To(Equal(12))
		Expect(r.FailuresByCause).To(Equal(map[string]int{"outcome_unknown": 1}))
		Expect(r.RefusedWithinRateByCause["rate_limited"]).To(Equal(r.Bookings.Offered))
		Expect(r.Served).To(Equal(12 - 1 - r.Bookings.Offered))
	})
})
