package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func writeKeyPair(t *testing.T, files TLSFiles, serial int64, at time.Time) {
	g := NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: at.Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	raw, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	for name, block := range map[string]*pem.Block{
		files.CertFile: {Type: "CERTIFICATE", Bytes: cert}, files.KeyFile: {Type: "EC PRIVATE KEY", Bytes: raw},
	} {
		g.Expect(os.WriteFile(name, pem.EncodeToMemory(block), 0o600)).To(Succeed())
		g.Expect(os.Chtimes(name, at, at)).To(Succeed())
	}
}

// Guards against a renewed certificate that takes effect only after a restart, and against an unreadable renewed file
// that discards the previous certificate.
func TestCertificateReload(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	files := TLSFiles{CertFile: filepath.Join(dir, "c.pem"), KeyFile: filepath.Join(dir, "k.pem")}
	start := time.Now()
	writeKeyPair(t, files, 1, start)
	c, err := LoadCertificates(files)
	g.Expect(err).NotTo(HaveOccurred())
	clock := start
	c.now = func() time.Time { return clock }
	serial := func() int64 {
		pair, err := c.CallerTLSConfig().GetCertificate(nil)
		g.Expect(err).NotTo(HaveOccurred())
		return pair.Leaf.SerialNumber.Int64()
	}
	g.Expect(serial()).To(BeEquivalentTo(1))
	writeKeyPair(t, files, 2, start.Add(time.Second))
	clock = clock.Add(2 * reloadInterval)
	g.Expect(serial()).To(BeEquivalentTo(2))
	g.Expect(os.WriteFile(files.CertFile, []byte("half a fi"), 0o600)).To(Succeed())
	g.Expect(os.Chtimes(files.CertFile, start.Add(2*time.Second), start.Add(2*time.Second))).To(Succeed())
	clock = clock.Add(2 * reloadInterval)
	g.Expect(serial()).To(BeEquivalentTo(2))
	g.Expect(c.ReloadFailures()).To(BeEquivalentTo(1))
}
