package operator_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/operator"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// testCA issues certificates and writes them to files in a directory.
type testCA struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newTestCA() *testCA {
	ca := &testCA{dir: GinkgoT().TempDir()}
	ca.cert, ca.key = ca.issue("ca")
	return ca
}

func (ca *testCA) file(name string) string { return filepath.Join(ca.dir, name) }

// issue creates a certificate with the DNS name name and writes NAME.pem and NAME.key. The first one is the CA.
func (ca *testCA) issue(name string) (*x509.Certificate, *ecdsa.PrivateKey) {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{name}, IsCA: ca.cert == nil, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	parent, signer := ca.cert, ca.key
	if parent == nil {
		parent, signer = template, key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	Expect(err).NotTo(HaveOccurred())
	rawKey, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	for suffix, block := range map[string]*pem.Block{
		".pem": {Type: "CERTIFICATE", Bytes: raw}, ".key": {Type: "EC PRIVATE KEY", Bytes: rawKey},
	} {
		Expect(os.WriteFile(ca.file(name+suffix), pem.EncodeToMemory(block), 0o600)).To(Succeed())
	}
	cert, err := x509.ParseCertificate(raw)
	Expect(err).NotTo(HaveOccurred())
	return cert, key
}

// Processes are dialled by IP address, but their certificates carry DNS names. Guards against a pomeloctl that therefore
// cannot connect, and against processes that accept it with any certificate of the CA.
var _ = It("asks processes over mutual TLS", func() {
	ca := newTestCA()
	for _, name := range []string{"pomelo-sidecar", "pomelo-operator", "stranger"} {
		ca.issue(name)
	}
	certificates, err := transport.LoadCertificates(transport.TLSFiles{
		CertFile: ca.file("pomelo-sidecar.pem"), KeyFile: ca.file("pomelo-sidecar.key"), CAFile: ca.file("ca.pem"),
		Allowed: []string{"pomelo-gateway", "pomelo-operator"},
	})
	Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := transport.NewServer(listener, certificates.PeerTLSConfig(), func(_ context.Context, s *transport.Stream) {
		if e, err := s.Recv(); err == nil && e.GetStatusRequest() != nil {
			_ = s.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Status{Status: &wirepb.Status{ConfigVersion: 7}}})
		}
	}, slog.New(slog.DiscardHandler))
	go func() { _ = server.Serve(context.Background()) }()
	DeferCleanup(server.Close)

	c := &testCLI{store: tablestore.NewMemory()}
	status := func(name string, more ...string) int {
		return c.run(append([]string{"status", "-peers", listener.Addr().String(), "-tls-cert", ca.file(name + ".pem"),
			"-tls-key", ca.file(name + ".key"), "-tls-ca", ca.file("ca.pem")}, more...)...)
	}
	Expect(status("pomelo-operator")).To(Equal(operator.ExitAccepted), c.stderr)
	Expect(c.stdout).To(ContainSubstring("sidecar  version 7"))
	Expect(status("stranger")).To(Equal(operator.ExitAccepted))
	Expect(c.stdout).To(ContainSubstring("not heard from: 1"))
	Expect(status("pomelo-operator", "-tls-allowed", "pomelo-gateway")).To(Equal(operator.ExitAccepted))
	Expect(c.stdout).To(ContainSubstring("are not allowed"))
	Expect(status("pomelo-operator", "-tls-ca", "")).To(Equal(operator.ExitUsage))
	Expect(c.run("status", "-peers", listener.Addr().String())).To(Equal(operator.ExitAccepted))
	Expect(c.stdout).To(ContainSubstring("not heard from: 1"))
})
