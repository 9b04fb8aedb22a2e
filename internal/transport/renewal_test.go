package transport_test

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/transport"
)

// renewals is a clock and file times that move on with each renewal.
type renewals struct {
	authority *authority
	start     time.Time
	steps     atomic.Int64
}

func (r *renewals) now() time.Time {
	return r.start.Add(time.Duration(r.steps.Load()) * 2 * transport.ReloadInterval)
}

func (r *renewals) load(owner, name string, allowed ...string) *transport.Certificates {
	c := load(r.authority.issue(owner, name, allowed...))
	c.SetClock(r.now)
	return c
}

// renew replaces the certificate of owner and lets the time of the next look pass.
func (r *renewals) renew(owner, name string) {
	GinkgoHelper()
	r.steps.Add(1)
	files := r.authority.issue(owner, name)
	for _, f := range []string{files.CertFile, files.KeyFile} {
		Expect(os.Chtimes(f, r.now(), r.now())).To(Succeed())
	}
}

// Guards against a renewal that needs a restart of the gateway or of the sidecar, and against a name that is still
// accepted, or refused, by the certificate before.
var _ = It("uses a renewed certificate at either end without a restart", func() {
	r := &renewals{authority: newAuthority(), start: time.Now()}
	sidecar := r.load("sidecar", "pomelo-sidecar", "pomelo-gateway")
	gateway := r.load("gateway", "stranger", "pomelo-sidecar")
	address := startTLS(sidecar)
	pool := transport.NewPool(gateway.Peers())
	DeferCleanup(pool.Close)
	talk := func() error {
		// A session outlives the certificate with which it began, so each look starts a new one.
		pool.Drop(address)
		s, err := pool.Open(context.Background(), address)
		if err != nil {
			return err
		}
		defer func() { _ = s.Close() }()
		if err := s.Send(cancelFrame("x")); err != nil {
			return err
		}
		_, err = s.Recv()
		return err
	}
	Expect(talk()).NotTo(Succeed())
	r.renew("gateway", "pomelo-gateway")
	Expect(talk()).To(Succeed())
	r.renew("sidecar", "stranger")
	Expect(talk()).To(MatchError(ContainSubstring("not allowed")))
	r.renew("sidecar", "pomelo-sidecar")
	Expect(talk()).To(Succeed())
	Expect(gateway.Failures() + sidecar.Failures()).To(BeZero())
})
