package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

// Guards against a request that is cut off because more signals come while the gateway stops.
func TestFurtherSignalsDoNotCutRequestsDuringAStop(t *testing.T) {
	g := NewWithT(t)
	binary := filepath.Join(t.TempDir(), "gateway")
	build, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(build))
	store := fake.NewStore()
	configure(store, 1, "/a/")
	storeServer := httptest.NewServer(store.Handler())
	t.Cleanup(storeServer.CloseClientConnections)
	replica := fake.NewReplica(fake.ReplicaOptions{ID: "i-1", Service: "s", Slots: 32})
	replica.SetFaults(fake.ReplicaFaults{SilentHead: 1, Silence: 1500 * time.Millisecond})
	backend := httptest.NewServer(replica.Handler())
	t.Cleanup(backend.Close)
	store.Put("servers", "i-1", fmt.Appendf(nil,
		`{"service":"s","address":%q,"zone":"a","state":"ready","slots":32}`, backend.Listener.Addr()))
	front, ready := unusedAddress(g), unusedAddress(g)
	_, port, err := net.SplitHostPort(unusedAddress(g))
	g.Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(t.TempDir(), "settings.json")
	g.Expect(os.WriteFile(path, fmt.Appendf(nil, `{"node_name":"edge-1","ip":"127.0.0.1","port_range":[%s,%s],"zone":"a",
		"provider":{"address":%q},"listen":{"front":%q,"control":%q,"readiness":%q}}`, port, port,
		storeServer.Listener.Addr(), front, unusedAddress(g), ready), 0o600)).To(Succeed())
	gateway := exec.Command(binary, "-config", path)
	gateway.Stderr = os.Stderr
	g.Expect(gateway.Start()).To(Succeed())
	exited := make(chan error, 1)
	go func() { exited <- gateway.Wait() }()
	t.Cleanup(func() { _ = gateway.Process.Kill() }) // it has ended if the test passed
	g.Eventually(func() int {
		resp, err := http.Get("http://" + ready + "/api/readiness")
		if err != nil {
			return 0
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode
	}, setupTimeout, "20ms").Should(Equal(http.StatusOK))

	const requests = 12
	statuses := make(chan int, requests)
	signals := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}
	for i := range requests {
		go func() { statuses <- statusOf("http://" + front + "/a/") }()
		time.Sleep(150 * time.Millisecond)
		if i < len(signals) {
			g.Expect(gateway.Process.Signal(signals[i])).To(Succeed())
		}
	}
	for range requests {
		var status int
		g.Eventually(statuses, setupTimeout).Should(Receive(&status))
		g.Expect(status).To(Equal(http.StatusOK))
	}
	g.Eventually(exited, setupTimeout).Should(Receive(BeNil()))
}

// statusOf sends a request on a new connection and returns the status of the response, or zero without one.
func statusOf(url string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	r.Host = "crew.example"
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}
