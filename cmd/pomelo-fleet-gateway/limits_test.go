package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/arrivals"
	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

// Guards against a gateway that cuts or refuses what the configuration allows callers.
func TestTheLimitsOfTheServerAreNotBelowTheConfiguredOnes(t *testing.T) {
	g := NewWithT(t)
	store := fake.NewStore()
	const headerBytes, headerTime, idle = 128 << 10, 8 * time.Second, 100 * time.Second
	store.Put("op", "config", fmt.Appendf(nil, `{"version":1,"services":[{"name":"s"}],"limits":{"max_header_bytes":%d,
		"header_timeout_ms":%d,"idle_timeout_ms":%d},"routes":[{"name":"r","hostname":"crew.example","path_prefix":"/a/",
		"type":"safe","public":true,"service":"s"}]}`, headerBytes, headerTime.Milliseconds(), idle.Milliseconds()))
	m := startFleetMember(t, g, "gateway", store)
	g.Eventually(func() any { return m.gateway.view.Snapshot().Config }, setupTimeout).ShouldNot(BeNil())
	g.Expect(m.gateway.callerIdleTimeout(minCallerIdleTimeout)).To(Equal(idle))
	g.Expect(m.gateway.callerIdleTimeout(2 * idle)).To(Equal(2 * idle))

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	tracker := arrivals.New(arrivals.Options{})
	server := m.gateway.newCallerServer(tracker)
	go func() { _ = server.Serve(tracker.Listener(listener)) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "GET /unknown/ HTTP/1.1\r\nHost: crew.example\r\nX-Long: %s\r\n", strings.Repeat("x", headerBytes-100))
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(headerTime * 9 / 10)
	_, err = fmt.Fprint(c, "\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
}
