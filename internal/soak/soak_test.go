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

// seeds are played in every run of the tests: a short one, and each seed that ever broke a promise, with its cause.
var seeds = []uint64{1}

// Guards against broken promises of the real programs under faults: executions, whole answers, limits, keys,
// configuration, orders, recovery.
func TestSoak(t *testing.T) {
	bin := t.TempDir()
	for _, program := range []string{"pomelo-fleet-gateway", "pomelo-fleet-agent", "fake-fleet"} {
		build := exec.Command("go", "build", "-race", "-o", filepath.Join(bin, program), "github.com/pomelowheel/pomelowheel/cmd/"+program)
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", program, err, out)
		}
	}
	for _, seed := range seeds {
		r, err := soak.Run(context.Background(), soak.Options{
			Bin: bin, Dir: t.TempDir(), Seed: seed, Faults: 6 * time.Second, Gateways: 3, Engines: 3, Plain: 2, Rate: 30, Base: 11,
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
