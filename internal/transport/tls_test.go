package transport_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/pomelowheel/pomelowheel/internal/transport"
)

// testCA is a certificate authority for tests. Its files are in dir.
type testCA struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newTestCA() *testCA {
	a := &testCA{dir: GinkgoT().TempDir()}
	a.key, a.cert = a.sign("ca", true, nil)
	writePEM(filepath.Join(a.dir, "ca.pem"), "CERTIFICATE", a.cert.Raw)
	return a
}

func (a *testCA) sign(name string, isCA bool, parent *x509.Certificate) (*ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IsCA: isCA,
		BasicConstraintsValid: true, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	signer := a.key
	if parent == nil {
		parent, signer = t, key
	}
	raw, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, signer)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(raw)
	Expect(err).NotTo(HaveOccurred())
	return key, cert
}

func writePEM(path, kind string, raw []byte) {
	Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600)).To(Succeed())
}

// issue writes a new key and a certificate with the given DNS name to the files of owner.
func (a *testCA) issue(owner, name string, allowed ...string) transport.TLSFiles {
	key, cert := a.sign(name, false, a.cert)
	files := transport.TLSFiles{
		CertFile: filepath.Join(a.dir, owner+".pem"), KeyFile: filepath.Join(a.dir, owner+".key"),
		CAFile: filepath.Join(a.dir, "ca.pem"), Allowed: allowed,
	}
	raw, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	writePEM(files.KeyFile, "EC PRIVATE KEY", raw)
	writePEM(files.CertFile, "CERTIFICATE", cert.Raw)
	return files
}

func loadTLS(files transport.TLSFiles) *transport.Certificates {
	c, err := transport.LoadCertificates(files)
	Expect(err).NotTo(HaveOccurred())
	return c
}

func startTLSEchoServer(c *transport.Certificates) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := transport.NewServer(listener, c.PeerTLSConfig(), func(_ context.Context, s *transport.Stream) {
		if e, err := s.Recv(); err == nil {
			_ = s.Send(e)
		}
	}, slog.New(slog.DiscardHandler))
	go func() { _ = server.Serve(context.Background()) }()
	DeferCleanup(server.Close)
	return server.Addr().String()
}

// echo sends a frame to an echo server and waits for the reply. It returns nil if the peers accepted each other.
func echo(c *transport.Certificates, address string) error {
	pool := transport.NewPool(c.PeerTLSConfig())
	defer pool.Close()
	s, err := pool.Open(context.Background(), address)
	if err != nil {
		return err
	}
	if err := s.Send(cancelFrame("x")); err != nil {
		return err
	}
	_, err = s.Recv()
	return err
}

var _ = Describe("TLS between processes", func() {
	It("accepts a peer with an allowed name", func() {
		a := newTestCA()
		address := startTLSEchoServer(loadTLS(a.issue("server", "pomelo-sidecar", "pomelo-gateway")))
		Expect(echo(loadTLS(a.issue("client", "pomelo-gateway", "pomelo-sidecar")), address)).To(Succeed())
	})

	It("refuses a peer with a certificate of the CA whose name is not allowed, at either end", func() {
		a := newTestCA()
		address := startTLSEchoServer(loadTLS(a.issue("server", "pomelo-sidecar", "pomelo-gateway")))
		Expect(echo(loadTLS(a.issue("client", "stranger", "pomelo-sidecar")), address)).NotTo(Succeed())
		Expect(echo(loadTLS(a.issue("client", "pomelo-gateway", "pomelo-other")), address)).
			To(MatchError(ContainSubstring("not allowed")))
	})

	// Guards against peers that are refused without a log line.
	It("logs a refused peer", func() {
		a := newTestCA()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		lines := gbytes.NewBuffer()
		server := transport.NewServer(listener, loadTLS(a.issue("server", "pomelo-sidecar", "pomelo-gateway")).PeerTLSConfig(),
			func(context.Context, *transport.Stream) {}, slog.New(slog.NewTextHandler(lines, nil)))
		go func() { _ = server.Serve(context.Background()) }()
		DeferCleanup(server.Close)
		Expect(echo(loadTLS(a.issue("client", "stranger", "pomelo-sidecar")), server.Addr().String())).NotTo(Succeed())
		Eventually(lines).Should(gbytes.Say(`peer session refused.*stranger.*not allowed`))
	})

	It("refuses a peer with an allowed name whose certificate is from another CA", func() {
		address := startTLSEchoServer(loadTLS(newTestCA().issue("server", "pomelo-sidecar", "pomelo-gateway")))
		Expect(echo(loadTLS(newTestCA().issue("client", "pomelo-gateway", "pomelo-sidecar")), address)).NotTo(Succeed())
	})
})
