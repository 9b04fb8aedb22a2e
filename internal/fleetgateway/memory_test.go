package fleetgateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetgateway"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
)

// Guards against bodies of callers that take the gateway over its memory, which ends all requests in progress.
var _ = Describe("a gateway whose memory for bodies is used up", func() {
	const long = 1 << 20
	var s *testGateway
	var bodies, short *memorybudget.Budget
	BeforeEach(func() {
		bodies, short = memorybudget.New(2*long), memorybudget.New(256<<10)
		s = newTestGatewayWithOptions("1", func(o *fleetgateway.Options) { o.Bodies, o.ShortBodies = bodies, short }, route(once, 5*time.Second))
		s.add("i-1", fake.ReplicaOptions{}, fake.ReplicaFaults{Slow: 300 * time.Millisecond})
	})

	It("refuses long bodies as not run, serves short ones, and takes long ones again afterwards", func() {
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() {
				defer GinkgoRecover()
				a := s.sendAs(fmt.Sprint("first-", i), http.MethodPost, "/a/", nil, strings.Repeat("x", long))
				Expect(a.status).To(Equal(http.StatusOK))
			})
		}
		Eventually(bodies.Held).Should(BeNumerically(">", long))
		id, refused := s.send(http.MethodPost, "/a/", nil, strings.Repeat("x", long))
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.body).To(ContainSubstring("gateway_full"))
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty(), id)
		_, served := s.send(http.MethodPost, "/a/", nil, "short")
		Expect(served.status).To(Equal(http.StatusOK))
		wg.Wait()
		_, served = s.send(http.MethodPost, "/a/", nil, strings.Repeat("x", long))
		Expect(served.status).To(Equal(http.StatusOK))
		Eventually(bodies.Held).Should(BeZero())
		Eventually(short.Held).Should(BeZero())
	})

	It("takes short bodies beyond their own budget from that of long ones, whether their length is stated or not", func() {
		var wg sync.WaitGroup
		for i := range 8 { // of 60 KB each; their own budget holds four
			wg.Go(func() {
				defer GinkgoRecover()
				request, err := http.NewRequest(http.MethodPost, s.url+"/a/", io.MultiReader(strings.NewReader(strings.Repeat("x", 60_000))))
				Expect(err).NotTo(HaveOccurred())
				if i%2 == 0 {
					request.ContentLength = 60_000
				}
				request.Host = "crew.example"
				request.Header.Set("Authorization", "Bearer key")
				request.Header.Set("X-Request-Id", fmt.Sprint("short-", i))
				response, err := http.DefaultClient.Do(request)
				Expect(err).NotTo(HaveOccurred())
				_ = response.Body.Close()
				Expect(response.StatusCode).To(Equal(http.StatusOK))
			})
		}
		wg.Wait()
	})

	It("counts bodies whose length is not stated", func() {
		request, err := http.NewRequest(http.MethodPost, s.url+"/a/", io.MultiReader(strings.NewReader(strings.Repeat("x", 3*long))))
		Expect(err).NotTo(HaveOccurred())
		request.Host = "crew.example"
		request.Header.Set("Authorization", "Bearer key")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Eventually(bodies.Held).Should(BeZero())
	})
})
