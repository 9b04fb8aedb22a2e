package transport

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// reloadInterval is the minimum time between two checks of the certificate files.
const reloadInterval = 5 * time.Second

// TLSFiles holds the paths of the PEM files with the certificate, key and CA of a process, and the peer names that it
// accepts.
type TLSFiles struct {
	CertFile string
	KeyFile  string
	CAFile   string   // CA that issues the peers' certificates; empty for the listener for callers
	Allowed  []string // DNS names; a peer's certificate must carry at least one of them
}

// Certificates holds a certificate that is reloaded when its files change, so that a renewal needs no restart. If
// changed files cannot be loaded, the previous certificate stays in use and the load is retried at the next check.
type Certificates struct {
	files TLSFiles
	now   func() time.Time

	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [3]time.Time
	pair      *tls.Certificate
	roots     *x509.CertPool
	failures  int64
}

// LoadCertificates reads the files. It returns nil and no error if files.CertFile is empty.
func LoadCertificates(files TLSFiles) (*Certificates, error) {
	if files.CertFile == "" {
		return nil, nil
	}
	c := &Certificates{files: files, now: time.Now}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.lastCheck = c.now()
	return c, nil
}

func (c *Certificates) fileModTimes() [3]time.Time {
	var fileModTimes [3]time.Time
	for i, name := range []string{c.files.CertFile, c.files.KeyFile, c.files.CAFile} {
		if info, err := os.Stat(name); err == nil {
			fileModTimes[i] = info.ModTime()
		}
	}
	return fileModTimes
}

func (c *Certificates) load() error {
	modTimes := c.fileModTimes()
	pair, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	var roots *x509.CertPool
	if c.files.CAFile != "" {
		pemData, err := os.ReadFile(c.files.CAFile)
		if err != nil {
			return fmt.Errorf("load CA: %w", err)
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pemData) {
			return fmt.Errorf("load CA: %s holds no certificate", c.files.CAFile)
		}
	}
	c.modTimes, c.pair, c.roots = modTimes, &pair, roots
	return nil
}

// current returns the certificate and the CA pool. It checks the files for changes at most once per reloadInterval.
func (c *Certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.now(); now.Sub(c.lastCheck) >= reloadInterval {
		c.lastCheck = now
		if c.fileModTimes() != c.modTimes && c.load() != nil {
			c.failures++
		}
	}
	return c.pair, c.roots
}

// ReloadFailures returns how many reloads of changed files failed.
func (c *Certificates) ReloadFailures() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures
}

// CallerTLSConfig returns the TLS configuration of the server for callers, or nil if c is nil. Callers need no certificate.
func (c *Certificates) CallerTLSConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
	}
}

// PeerTLSConfig returns the TLS configuration for both ends of a session between processes, or nil if c is nil. Each end
// requires a certificate that was issued by the CA and carries an allowed name. PeerTLSConfig are dialled by IP address, so the
// address is not compared with the certificate.
func (c *Certificates) PeerTLSConfig() *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// The verification of crypto/tls compares the dialled name. VerifyConnection verifies the chain and the
		// allowed names instead, also for resumed sessions.
		InsecureSkipVerify: true, //nolint:gosec // verified below
		VerifyConnection:   c.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
	}
}

func (c *Certificates) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	_, roots := c.current()
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, CurrentTime: c.now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("verify the peer's certificate: %w", err)
	}
	for _, name := range leaf.DNSNames {
		if slices.Contains(c.files.Allowed, name) {
			return nil
		}
	}
	return fmt.Errorf("the peer's certificate names %q are not allowed", leaf.DNSNames)
}
