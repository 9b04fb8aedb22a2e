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

// renewalClock is a clock that advances by two reload intervals with each renewal. The modification times of renewed
// files follow it.
type renewalClock struct {
	testCA   *testCA
	start    time.Time
	renewals atomic.Int64
}

func (r *renewalClock) now() time.Time {
	return r.start.Add(time.Duration(r.renewals.Load()) * 2 * transport.ReloadInterval)
}

func (r *renewalClock) loadTLS(owner, name string, allowed ...string) *transport.Certificates {
	c := loadTLS(r.testCA.issue(owner, name, allowed...))
	c.SetClock(r.now)
	return c
}

// renew replaces the certificate of owner and advances the clock past the next check of the files.
func (r *renewalClock) renew(owner, name string) {
	GinkgoHelper()
	r.renewals.Add(1)
	files := r.testCA.issue(owner, name)
	for _, f := range []string{files.CertFile, files.KeyFile} {
		Expect(os.Chtimes(f, r.now(), r.now())).To(Succeed())
	}
}

// Guards against a renewed certificate that takes effect only after a restart of the gateway or of the sidecar, and
// against a peer that is still accepted or refused because of the name in its previous certificate.
var _ = It("uses a renewed certificate at either end without a restart", func() {
	r := &renewalClock{testCA: newTestCA(), start: time.Now()}
	sidecar := r.loadTLS("sidecar", "pomelo-sidecar", "pomelo-gateway")
	gateway := r.loadTLS("gateway", "stranger", "pomelo-sidecar")
	address := startTLSEchoServer(sidecar)
	pool := transport.NewPool(gateway.PeerTLSConfig())
	DeferCleanup(pool.Close)
	connect := func() error {
		// An open session is not affected by a renewed certificate, so each attempt starts a new session.
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
	Expect(connect()).NotTo(Succeed())
	r.renew("gateway", "pomelo-gateway")
	Expect(connect()).To(Succeed())
	r.renew("sidecar", "stranger")
	Expect(connect()).To(MatchError(ContainSubstring("not allowed")))
	r.renew("sidecar", "pomelo-sidecar")
	Expect(connect()).To(Succeed())
	Expect(gateway.ReloadFailures() + sidecar.ReloadFailures()).To(BeZero())
})
