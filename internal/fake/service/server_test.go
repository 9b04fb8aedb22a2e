package service

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fake service")
}

var _ = Describe("the plain service", func() {
	var server *Server
	var url string

	BeforeEach(func() {
		server = New(Options{})
		listener := httptest.NewServer(server)
		DeferCleanup(listener.Close)
		url = listener.URL
	})

	send := func(path, body, key string) (status int, answer string, err error) {
		request, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set(idempotencyKeyHeader, key)
		// A client without keep-alive does not retry a request whose connection was closed.
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
		if err != nil {
			return 0, "", err
		}
		defer func() { _ = response.Body.Close() }()
		raw, err := io.ReadAll(response.Body)
		return response.StatusCode, string(raw), err
	}

	It("counts each execution, so that a repeated booking is detected", func() {
		for range 2 {
			status, _, err := send("/bookings", `{"booking":"b-1"}`, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusCreated))
		}
		_, _, err := send("/bookings", `{}`, "k-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(server.Stats()).To(Equal(Stats{Total: 3, Executions: map[string]int{"b-1": 2, "k-1": 1}}))
	})

	DescribeTable("a booking whose connection is closed is counted only if it ran, so that a report of not run can be checked",
		func(control string, executions int) {
			_, _, err := send("/control", control, "")
			Expect(err).NotTo(HaveOccurred())
			_, _, err = send("/bookings", `{"booking":"b-1"}`, "")
			Expect(err).To(HaveOccurred())
			Expect(server.Stats().Executions["b-1"]).To(Equal(executions))
			_, _, err = send("/bookings", `{"booking":"b-2"}`, "")
			Expect(err).NotTo(HaveOccurred(), "the fault applies once")
		},
		Entry("before reading", `{"cut_before_read":1}`, 0),
		Entry("before the answer", `{"cut_before_answer":1}`, 1),
		Entry("in the answer", `{"cut_in_answer":1}`, 1),
	)

	It("answers lookups only for executed bookings", func() {
		response, err := http.Get(url + "/bookings/b-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		Expect(server.Stats().Lookups).To(Equal(1))
	})
})
