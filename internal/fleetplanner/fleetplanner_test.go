package fleetplanner_test

import (
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleetplanner"
)

// Guards against copies that stay allocated to a model whose demand ended, and against a shift of demand that is
// detected late.
func TestDemandFollowsAShiftWithinSeconds(t *testing.T) {
	a := fleetplanner.NewDemandEstimator(0)
	now := time.Duration(0)
	run := func(d time.Duration, model string) {
		for end := now + d; now < end; {
			now += 100 * time.Millisecond
			a.Add(model, 1000)
			a.Advance(now)
		}
	}
	run(10*time.Second, "old")
	if rate := a.Rate("old"); rate < 9000 || rate > 11000 {
		t.Fatalf("estimated rate %.0f, expected about 10000", rate)
	}
	run(1500*time.Millisecond, "new")
	if a.Rate("new") < 7000 {
		t.Fatalf("after 1.5 s the rate of the new model is %.0f, expected at least 7000 of 10000", a.Rate("new"))
	}
	if a.Rate("old") > 5000 {
		t.Fatalf("after 1.5 s the rate of the old model is %.0f, expected at most 5000", a.Rate("old"))
	}
}

// Guards against a new planner that loses the demand handed over to it, or whose estimate of it never decays.
func TestAssumedDemandDecays(t *testing.T) {
	a := fleetplanner.NewDemandEstimator(0)
	a.InheritDemand(map[string]float64{"m": 5000})
	if a.Rate("m") != 5000 {
		t.Fatalf("rate %.0f, expected 5000", a.Rate("m"))
	}
	for now := time.Second; now <= 30*time.Second; now += time.Second {
		a.Advance(now)
	}
	if a.Rate("m") > 50 {
		t.Fatalf("rate after 30 s without requests %.0f, expected at most 50", a.Rate("m"))
	}
}
