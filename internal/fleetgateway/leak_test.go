package fleetgateway_test

import (
	"context"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

// Guards against attempts whose goroutines or connections remain after their requests have ended.
var _ = Describe("attempts that are replaced, fail or are given up", func() {
	DescribeTable("leave nothing behind", func(kind int, faults fake.ReplicaFaults, callerTime time.Duration) {
		s := newTestGateway(route(kind, 1500*time.Millisecond))
		events := fake.ReplicaOptions{Events: 6, Slots: 64}
		servers := []*fake.Replica{s.add("i-1", events, faults), s.add("i-2", events, faults)}
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		send := func() {
			ctx, cancel := context.WithTimeout(context.Background(), callerTime)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url+"/a/", strings.NewReader("body"))
			Expect(err).NotTo(HaveOccurred())
			r.Host = "crew.example"
			r.Header.Set("Authorization", "Bearer key")
			if resp, err := client.Do(r); err == nil { // an answer is not needed here
				_ = resp.Body.Close()
			}
		}
		before := runtime.NumGoroutine()
		var done sync.WaitGroup
		for range 40 {
			done.Go(func() { defer GinkgoRecover(); send() })
		}
		done.Wait()
		for _, server := range servers {
			Eventually(server.Active, "2s", "5ms").Should(BeZero())
		}
		Eventually(s.server.Active, "2s", "5ms").Should(BeZero())
		// Idle connections to the servers remain, at most 4 for each, with two goroutines at the server.
		Eventually(runtime.NumGoroutine, "5s", "20ms").Should(BeNumerically("<=", before+2*2*4+4))
	},
		Entry("silent servers", resumable, fake.ReplicaFaults{SilentHead: 0.7, SilentBody: 0.7, Silence: 1200 * time.Millisecond}, 3*time.Second),
		Entry("servers that never answer", idempotent, fake.ReplicaFaults{Hang: 0.7}, 3*time.Second),
		Entry("callers that leave", idempotent, fake.ReplicaFaults{Hang: 0.7, SilentHead: 0.5, Silence: time.Second}, 600*time.Millisecond),
		Entry("servers that break off", idempotent, fake.ReplicaFaults{Drop: 0.5, Truncate: 0.5, Fail: 0.3, Shed: 0.3}, 3*time.Second),
	)
})
