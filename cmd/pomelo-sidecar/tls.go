package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"slices"

	"github.com/pomelowheel/pomelowheel/internal/settings"
)

// peerTLS returns the mutual TLS configuration of the edge towards gateways, or nil for plain TCP.
func peerTLS(t settings.TLS) (*tls.Config, error) {
	if t.CertFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("load peer certificate: %w", err)
	}
	authority, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, fmt.Errorf("read CA of the peers: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("no certificate in %s", t.CAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		MinVersion: tls.VersionTLS13,
		VerifyConnection: func(state tls.ConnectionState) error {
			for _, name := range state.PeerCertificates[0].DNSNames {
				if slices.Contains(t.Allowed, name) {
					return nil
				}
			}
			return fmt.Errorf("the peer's certificate carries none of the allowed names")
		},
	}, nil
}
