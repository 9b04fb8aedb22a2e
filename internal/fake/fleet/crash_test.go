package fleet_test

import (
	"io"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

var _ = Describe("an emulated backend server that a prompt crashes", func() {
	get := func(opts fleet.ReplicaOptions, prompt string) (resp *http.Response, body string, err error, ended bool) {
		GinkgoHelper()
		opts.ID, opts.Slots, opts.End = "i-1", 4, func() { ended = true }
		server := httptest.NewServer(fleet.NewReplica(opts).Handler())
		defer server.Close()
		q, err := http.NewRequest(http.MethodGet, server.URL+"/chat/1", nil)
		Expect(err).NotTo(HaveOccurred())
		q.Header.Set("X-Expect-Instance", "i-1")
		q.Header.Set("X-Request-Id", "a")
		q.Header.Set("X-Prompt-Prefix", prompt)
		resp, err = http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		return resp, string(data), err, ended
	}

	// Guards against a soak whose crashes are not those of the platform.
	It("ends as it begins its answer, by any part but the last", func() {
		crash := fleet.PromptCrash{Part: "f00d", Events: 1, Inside: true}
		for _, prompt := range []string{"f00d:5,aa:5", "aa:5, f00d:5,bb:1"} {
			_, body, err, ended := get(fleet.ReplicaOptions{Events: 4, Crash: crash}, prompt)
			Expect(err).To(HaveOccurred())
			Expect(ended).To(BeTrue())
			Expect(body).To(HavePrefix(fleet.Event("a", 0)))
			Expect(len(body)).To(BeNumerically("<", 2*len(fleet.Event("a", 0))))
		}
		_, body, err, ended := get(fleet.ReplicaOptions{Events: 4, Crash: crash}, "aa:5,f00d:5")
		Expect(err).NotTo(HaveOccurred())
		Expect(ended).To(BeFalse())
		Expect(body).To(Equal(fleet.Body("a", 0, 4)))
	})

	// Guards against an answer that says how long it is.
	It("sends answers with neither a length nor chunks, which end with the connection", func() {
		for _, events := range []int{0, 3} {
			resp, body, err, _ := get(fleet.ReplicaOptions{Events: events, Unframed: 1}, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.ContentLength).To(Equal(int64(-1)))
			Expect(resp.TransferEncoding).To(BeEmpty())
			Expect(body).To(Equal(fleet.Body("a", 0, events)))
		}
	})
})
