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

// reloadInterval is the shortest time between two looks at the certificate files.
const reloadInterval = 5 * time.Second

// TLSFiles names the certificate of a process and the rules for its peers.
type TLSFiles struct {
	CertFile string
	KeyFile  string
	CAFile   string   // CA of the peers; empty on the edge towards callers
	Allowed  []string // DNS names of which a peer's certificate carries at least one
}

// Certificates holds a certificate that is read again when its files change, so that a renewal needs no
// restart. A new pair that does not load is left aside and tried again at the next look.
type Certificates struct {
	files TLSFiles
	now   func() time.Time

	mu       sync.Mutex
	checked  time.Time
	stamp    [3]time.Time
	pair     *tls.Certificate
	roots    *x509.CertPool
	failures int64
}

// LoadCertificates reads the files. It returns nil and no error if no certificate is configured.
func LoadCertificates(files TLSFiles) (*Certificates, error) {
	if files.CertFile == "" {
		return nil, nil
	}
	c := &Certificates{files: files, now: time.Now}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.checked = c.now()
	return c, nil
}

func (c *Certificates) stamps() [3]time.Time {
	var stamps [3]time.Time
	for i, name := range []string{c.files.CertFile, c.files.KeyFile, c.files.CAFile} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

func (c *Certificates) load() error {
	stamp := c.stamps()
	pair, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	var roots *x509.CertPool
	if c.files.CAFile != "" {
		text, err := os.ReadFile(c.files.CAFile)
		if err != nil {
			return fmt.Errorf("load CA: %w", err)
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(text) {
			return fmt.Errorf("load CA: %s holds no certificate", c.files.CAFile)
		}
	}
	c.stamp, c.pair, c.roots = stamp, &pair, roots
	return nil
}

// current returns the certificate and the CA pool after a look at the files, at most once an interval.
func (c *Certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.now(); now.Sub(c.checked) >= reloadInterval {
		c.checked = now
		if c.stamps() != c.stamp && c.load() != nil {
			c.failures++
		}
	}
	return c.pair, c.roots
}

// Failures returns how many times changed files did not load.
func (c *Certificates) Failures() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures
}

// Edge returns the configuration of a server towards callers, or nil for a nil c.
func (c *Certificates) Edge() *tls.Config {
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

// Peers returns a configuration for both ends of a session between processes, or nil for a nil c. Each
// end demands a certificate of the CA that carries an allowed name. Peers are dialled by IP address, so
// the address is not compared with the certificate.
func (c *Certificates) Peers() *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// The library's own check compares the dialled name. VerifyConnection checks the chain and the
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
		return errors.New("the peer has no certificate")
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
		return fmt.Errorf("verify the peer: %w", err)
	}
	for _, name := range leaf.DNSNames {
		if slices.Contains(c.files.Allowed, name) {
			return nil
		}
	}
	return fmt.Errorf("the peer's certificate names %q are not allowed", leaf.DNSNames)
}
