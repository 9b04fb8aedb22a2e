package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/fleetprocess"
	"github.com/pomelowheel/pomelowheel/internal/process"
	"github.com/pomelowheel/pomelowheel/internal/vardoc"
)

// Guards against metrics that the operations page does not list, or lists under a wrong name.
func TestMetricsAreDocumented(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	path := filepath.Join(t.TempDir(), "settings.json")
	g.Expect(os.WriteFile(path, fmt.Appendf(nil, `{"node_name":"edge-1","ip":"127.0.0.1","port_range":[1,2],
		"provider":{"address":"127.0.0.1:1"},"listen":{"front":"127.0.0.1:3","control":%q}}`, address), 0o600)).To(Succeed())
	code := fleetprocess.Main("gateway", []string{"-config", path}, io.Discard, os.Stderr,
		func(_ context.Context, s *fleetprocess.Settings, log *slog.Logger) error {
			gateway, err := newGateway(s, log)
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = gateway.peerListener.Close() }()
			documented, err := vardoc.Documented("../../docs/OPERATIONS.md", "Metrics of the fleet gateway")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(slices.Collect(maps.Keys(gateway.vars()))).To(ConsistOf(documented))
			return nil
		})
	g.Expect(code).To(Equal(process.ExitDone))
}
