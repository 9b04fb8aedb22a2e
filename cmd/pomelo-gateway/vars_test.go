package main

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/process"
	"github.com/pomelowheel/pomelowheel/internal/settings"
	"github.com/pomelowheel/pomelowheel/internal/vardoc"
)

// Guards against a metric that is missing from the operators' documentation and a documented one that does not exist.
func TestDocumentedVars(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.LoadGateway("../../internal/settings/testdata/gateway.yml")
	g.Expect(err).NotTo(HaveOccurred())
	s.Callers.Listen, s.Peers.Listen = "127.0.0.1:0", "127.0.0.1:0"
	p := &components{settings: s, log: process.NewLogger(s.Log)}
	g.Expect(p.build()).To(Succeed())
	t.Cleanup(func() {
		p.pool.Close()
		_ = p.callerListener.Close()
		_ = p.peers.Close()
	})
	documented, err := vardoc.Documented("../../docs/OPERATIONS.md", "Gateway")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(vardoc.Published(p.vars())).To(ConsistOf(documented))
}
