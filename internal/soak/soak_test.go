package soak_test

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/soak"
)

// seeds are run by every test run: one for a short run, and each seed that ever violated a guarantee, with its cause.
var seeds = []uint64{1}

// Checks the guarantees of the real programs under faults: number of executions, complete answers, limits, keys,
// configuration, orders and recovery.
func TestSoak(t *testing.T) {
	bin := t.TempDir()
	for _, program := range []string{"pomelo-fleet-gateway", "pomelo-fleet-agent", "fake-fleet"} {
		build := exec.Command("go", "build", "-race", "-o", filepath.Join(bin, program),
			"github.com/pomelowheel/pomelowheel/cmd/"+program)
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", program, err, out)
		}
	}
	for _, seed := range seeds {
		r, err := soak.Run(context.Background(), soak.Options{
			BinDir: bin, WorkDir: t.TempDir(), Seed: seed, FaultDuration: 6 * time.Second,
			Gateways: 3, Engines: 3, PlainServers: 2, Rate: 30, AddressBase: 11,
		})
		if err != nil {
			t.Fatal(err)
		}
		var report bytes.Buffer
		r.Write(&report, true)
		if len(r.Failures) > 0 {
			t.Errorf("%s", report.String())
		}
	}
}
