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

// Every test run runs these seeds of each plan: one for a short run, and each seed that ever violated a guarantee, with its cause.
var (
	seeds         = []uint64{1}
	plannedSeeds  = []uint64{11}
	crashingSeeds = []uint64{21}
	scarceSeeds   = []uint64{31}
	restoreSeeds  = []uint64{41}
)

// Checks the guarantees of the real programs under faults: number of executions, complete answers, limits, keys,
// configuration, orders and recovery.
func TestSoak(t *testing.T) {
	run(t, seeds, soak.Options{Plan: soak.PlanDisruptions, FaultDuration: 6 * time.Second, Rate: 30})
}

// Guards against requests that end without an answer around planned work, and against requests to servers that asked for none.
func TestSoakPlannedWork(t *testing.T) {
	run(t, plannedSeeds, soak.Options{Plan: soak.PlanPlanned, FaultDuration: 6 * time.Second, Rate: 40})
}

// Guards against processes that end when they are short of descriptors, and against gateways that spend the retry budget again
// after they were killed.
func TestSoakScarceDescriptorsAndKills(t *testing.T) {
	run(t, scarceSeeds, soak.Options{Plan: soak.PlanScarce, FaultDuration: 12 * time.Second, Rate: 200})
}

// Guards against configurations, keys, data centres and servers of before a restore of the store from a copy, against orders with a lower
// fencing token or of two planners, and against gateways that do not recover.
func TestSoakStoreRestores(t *testing.T) {
	run(t, restoreSeeds, soak.Options{Plan: soak.PlanStoreRestores, FaultDuration: 20 * time.Second, Rate: 40})
}

// run runs the real programs once with each seed.
func run(t *testing.T, seeds []uint64, o soak.Options) {
	o.BinDir = t.TempDir()
	for _, program := range []string{"pomelo-fleet-gateway", "pomelo-fleet-agent", "fake-fleet"} {
		build := exec.Command("go", "build", "-race", "-o", filepath.Join(o.BinDir, program),
			"github.com/pomelowheel/pomelowheel/cmd/"+program)
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", program, err, out)
		}
	}
	o.PlainServers, o.AddressBase = 2, 11
	if o.Gateways == 0 {
		o.Gateways, o.Engines = 3, 3
	}
	for _, seed := range seeds {
		o.Seed, o.WorkDir = seed, t.TempDir()
		r, err := soak.Run(context.Background(), o)
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

// Guards against a part of a prompt that ends server after server, and against the refusal of sound requests beside it.
func TestSoakPromptThatCrashesServers(t *testing.T) {
	run(t, crashingSeeds, soak.Options{Plan: soak.PlanCrashingPrompt, FaultDuration: 13 * time.Second, Rate: 40, Gateways: 4, Engines: 5})
}
