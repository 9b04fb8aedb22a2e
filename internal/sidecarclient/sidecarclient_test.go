package sidecarclient_test

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/route"
	"github.com/pomelowheel/pomelowheel/internal/sidecarclient"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

func TestSidecars(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sidecars")
}

type hostList []string

func (l hostList) Sidecars() []string { return l }

// fakeSidecar starts a server that answers polls until hanging is set and then leaves every stream open without an answer.
// It closes requestEnded when the stream of a request ends, and returns its address.
func fakeSidecar(hanging *atomic.Bool, requestEnded chan<- struct{}) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := transport.NewServer(listener, nil, func(_ context.Context, s *transport.Stream) {
		e, err := s.Recv()
		if err != nil {
			return
		}
		if e.GetStatusRequest() == nil || hanging.Load() {
			_, _ = s.Recv()
			if e.GetSubmit() != nil {
				close(requestEnded)
			}
			return
		}
		_ = s.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Status{Status: &wirepb.Status{
			Service: "s", Kind: "model", Resident: []string{"m"}, Ready: true, Limit: 4}}})
	}, slog.New(slog.DiscardHandler))
	go func() { _ = server.Serve(context.Background()) }()
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

var _ = Describe("status polls", func() {
	It("gets the statuses of listed sidecars, and closes the session to one that hangs so that its streams fail", func() {
		var hanging atomic.Bool
		requestEnded := make(chan struct{})
		address := fakeSidecar(&hanging, requestEnded)
		pool := transport.NewPool(nil)
		DeferCleanup(pool.Close)
		c := sidecarclient.New(sidecarclient.Options{Pool: pool, HostList: hostList{address}, Policy: route.PolicyLoad,
			StatusInterval: 20 * time.Millisecond, StatusMaxAge: time.Second, Log: slog.New(slog.DiscardHandler)})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		DeferCleanup(func() {
			cancel()
			Eventually(ended).WithTimeout(5 * time.Second).Should(Receive())
		})
		choice := func() string { return c.Choose(route.Request{Service: "s", Model: "m"}).Chosen() }
		Eventually(choice).WithTimeout(10 * time.Second).Should(Equal(address))
		v, err := c.Submit(context.Background(), address, &wirepb.Submit{RequestId: "r", Attempt: 1})
		Expect(err).NotTo(HaveOccurred())
		defer v.Close()
		hanging.Store(true)
		Eventually(requestEnded).WithTimeout(10 * time.Second).Should(BeClosed())
		Eventually(choice).WithTimeout(10 * time.Second).Should(BeEmpty())
	})
})
