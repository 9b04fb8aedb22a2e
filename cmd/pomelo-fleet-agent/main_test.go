package main

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/descriptors"
	"github.com/pomelowheel/pomelowheel/internal/fleetprocess"
	"github.com/pomelowheel/pomelowheel/internal/logsink"
	"github.com/pomelowheel/pomelowheel/internal/process"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
	"github.com/pomelowheel/pomelowheel/internal/vardoc"
	"github.com/pomelowheel/pomelowheel/platform"
)

// Guards against metrics that are missing from the operations page, or named differently there.
func TestMetricsAreDocumented(t *testing.T) {
	g := NewWithT(t)
	sink, _ := logsink.New(io.Discard, slog.LevelInfo)
	documented, err := vardoc.Documented("../../docs/OPERATIONS.md", "Metrics of the fleet agent")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(slices.Collect(maps.Keys(vars(sink, platform.NewStore("127.0.0.1:1", nil), descriptors.NewReclaimer(slog.New(slog.DiscardHandler)), new(refusals.Set))))).To(ConsistOf(documented))
}

// Guards against a process that opens sockets although its settings are invalid or although it was started with -check.
func TestSettingsAreCheckedBeforeAnythingRuns(t *testing.T) {
	g := NewWithT(t)
	main := func(settings string, args ...string) (code int, stderr string) {
		path := filepath.Join(t.TempDir(), "settings.json")
		g.Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
		var out bytes.Buffer
		code = fleetprocess.Main("agent", append([]string{"-config", path}, args...), io.Discard, &out,
			func(context.Context, *fleetprocess.Settings, *slog.Logger) error {
				t.Error("the process runs")
				return nil
			})
		return code, out.String()
	}
	code, text := main(`{"node_name":"side-1"}`)
	g.Expect(code).To(Equal(process.ExitSettings))
	g.Expect(text).To(ContainSubstring("provider.address is missing"))
	code, _ = main(`{"node_name":"side-1","provider":{"address":"127.0.0.1:1"},"port_range":[1,2],"app":"127.0.0.1:3"}`, "-check")
	g.Expect(code).To(Equal(process.ExitDone))
	code, _ = main(`{}`, "-unknown")
	g.Expect(code).To(Equal(process.ExitSettings))
}
