package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/arrivals"
	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

// Guards against a planned stop that closes the connection of a request instead of saying what became of it.
func TestARequestInProgressAtTheEndOfTheGracePeriodIsAnswered(t *testing.T) {
	for _, storeDelay := range []time.Duration{0, 400 * time.Millisecond} {
		t.Run("store delay "+storeDelay.String(), func(t *testing.T) { drainWithARequestInProgress(t, storeDelay) })
	}
}

// drainWithARequestInProgress drains the planning gateway, which releases its lease in a store that answers after the given delay.
func drainWithARequestInProgress(t *testing.T, storeDelay time.Duration) {
	g := NewWithT(t)
	store := fake.NewStore()
	configure(store, 1, "/a/")
	replica := fake.NewReplica(fake.ReplicaOptions{ID: "i-1", Service: "s", Slots: 8})
	replica.SetFaults(fake.ReplicaFaults{Hang: 1})
	backend := httptest.NewServer(replica.Handler())
	t.Cleanup(backend.Close)
	store.Put("servers", "i-1", fmt.Appendf(nil,
		`{"service":"s","address":%q,"zone":"a","state":"ready","slots":8}`, backend.Listener.Addr()))
	m := startFleetMember(t, g, "gateway", store)
	g.Eventually(m.gateway.server.Ready, setupTimeout).Should(BeTrue())
	g.Eventually(m.gateway.lease.Epoch, setupTimeout).ShouldNot(BeZero())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	tracker := arrivals.New(arrivals.Options{})
	server := &http.Server{Handler: m.gateway.server}
	tracker.Attach(server)
	go func() { _ = server.Serve(tracker.Listener(listener)) }() // returns when the server is closed

	statuses := make(chan int, 1)
	go func() {
		defer close(statuses)
		r, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/a/", nil)
		if err != nil {
			return
		}
		r.Host = "crew.example"
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_ = resp.Body.Close()
			statuses <- resp.StatusCode
		}
	}()
	g.Eventually(replica.Active, setupTimeout).Should(Equal(1))
	store.SetFaults(fake.StoreFaults{Delay: storeDelay})
	start := time.Now()
	m.gateway.drain(context.Background(), server, tracker, 2*time.Second)
	g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
	var status int
	g.Eventually(statuses, setupTimeout).Should(Receive(&status), "no answer")
	g.Expect(status).To(Equal(http.StatusBadGateway))
	g.Eventually(replica.Active, setupTimeout).Should(BeZero())
}
