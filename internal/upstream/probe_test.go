package upstream_test

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/upstream"
)

// Guards against a server that counts as ended because a connection was cut, or as running behind a forwarder that is left.
func TestEnded(t *testing.T) {
	g := NewWithT(t)
	pool := upstream.NewPool(upstream.Options{DialTimeout: time.Second, MaxIdle: 1})
	running := httptest.NewServer(nil)
	defer running.Close()
	g.Expect(pool.Ended(context.Background(), running.Listener.Addr().String())).To(BeFalse())

	forwarder, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			c, err := forwarder.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	address := forwarder.Addr().String()
	g.Expect(pool.Ended(context.Background(), address)).To(BeTrue())
	g.Expect(forwarder.Close()).To(Succeed())
	g.Expect(pool.Ended(context.Background(), address)).To(BeTrue())

	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = pool.Ended(cancelled, address)
	g.Expect(err).To(HaveOccurred())
}
