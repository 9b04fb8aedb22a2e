package soak

import "time"

// Plan names the faults of a run.
type Plan string

const (
	// PlanDisruptions draws from all faults: kills, pauses, faults of the network, the store and servers, and planned work.
	PlanDisruptions Plan = "disruptions"
	// PlanPlanned draws from planned work and what sound servers do: silence, leaving, rejections for a stated time. No
	// request may end without a complete answer in it.
	PlanPlanned Plan = "planned"
)

// Plans are the known plans.
var Plans = []Plan{PlanDisruptions, PlanPlanned}

// plan is how a Plan is run.
type plan struct {
	faults        []fault // chosen with equal probability
	maxConcurrent int     // number of faults that may affect the system at the same time
	recoveryTime  time.Duration
}

func (p Plan) plan() plan {
	if p == PlanPlanned {
		return plan{faults: plannedWork, maxConcurrent: 7, recoveryTime: 4 * time.Second}
	}
	return plan{faults: disruptions, maxConcurrent: 3, recoveryTime: 8 * time.Second}
}

// eventPause returns the engines' delay before each event of a stream.
func (p Plan) eventPause() time.Duration {
	if p == PlanPlanned {
		return 40 * time.Millisecond
	}
	return 5 * time.Millisecond
}
