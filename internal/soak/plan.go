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
	// PlanCrashingPrompt sends requests whose prompts hold a part that crashes each engine as it begins to answer, beside sound
	// requests and a few disruptions of the system's own processes.
	PlanCrashingPrompt Plan = "crashing-prompt"
	// PlanScarce draws from what uses up the descriptors of processes, and from kills of all gateways beside failing servers.
	PlanScarce Plan = "scarce"
	// PlanStoreRestores draws from restores of the store from an earlier copy, in series, beside ends and pauses of processes, changes of
	// the configuration, data centres out of service and servers that leave.
	PlanStoreRestores Plan = "store-restores"
)

// Plans are the known plans.
var Plans = []Plan{PlanDisruptions, PlanPlanned, PlanCrashingPrompt, PlanScarce, PlanStoreRestores}

// plan is how a Plan is run.
type plan struct {
	faults        []fault // chosen with equal probability
	maxConcurrent int     // number of faults that may affect the system at the same time
	recoveryTime  time.Duration
	loadBefore    time.Duration // period of fault-free load at the start
	pause         time.Duration // longest additional pause between the starts of two faults
}

func (p Plan) plan() plan {
	switch p {
	case PlanPlanned:
		return plan{faults: plannedWork, maxConcurrent: 7, recoveryTime: 4 * time.Second, loadBefore: loadBeforeFaults}
	case PlanCrashingPrompt:
		return plan{faults: besideCrashes, maxConcurrent: 2, recoveryTime: 8 * time.Second, loadBefore: 2 * loadBeforeFaults, pause: 4 * time.Second}
	case PlanScarce:
		return plan{faults: scarce, maxConcurrent: 3, recoveryTime: 8 * time.Second, loadBefore: loadBeforeFaults}
	case PlanStoreRestores:
		return plan{faults: besideRestores, maxConcurrent: 4, recoveryTime: 8 * time.Second, loadBefore: loadBeforeFaults}
	}
	return plan{faults: disruptions, maxConcurrent: 3, recoveryTime: 8 * time.Second, loadBefore: loadBeforeFaults}
}

// openFiles returns the number of descriptors that a gateway or an agent may have, or 0 if they are not scarce.
func (p Plan) openFiles() int {
	if p == PlanScarce {
		return openFiles
	}
	return 0
}

// eventPause returns the engines' delay before each event of a stream.
func (p Plan) eventPause() time.Duration {
	if p == PlanPlanned || p == PlanCrashingPrompt {
		return 40 * time.Millisecond
	}
	return 5 * time.Millisecond
}
