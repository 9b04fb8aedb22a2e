package configsync

import "time"

// Decision says what a process does with its copy of the configuration.
type Decision int

// The decisions.
const (
	Use      Decision = iota // the copy is fresh
	Ask                      // the copy must be confirmed with the table service or a peer first
	Continue                 // the table service is away for everyone; the copy is used as it is
	Refuse                   // the copy cannot be confirmed: config_stale
	NotReady                 // there is no configuration: not_ready
)

// String returns the name of d.
func (d Decision) String() string {
	return [...]string{"use", "ask", "continue", "refuse", "not_ready"}[d]
}

// View is all that a decision depends on.
type View struct {
	HasConfig bool
	Confirmed bool          // the copy was confirmed at least once
	Age       time.Duration // since the confirmation
	FreshFor  time.Duration

	Asked      bool // the table service and peers were asked; the fields below are their answers
	HasStore   bool // the process has a client of the table service
	StoreHeard bool // the table service answered
	PeersKnown int
	PeersHeard int  // peers that answered
	PeersAway  int  // peers that answered and cannot reach the table service
	AwayFor    bool // an earlier Continue is still valid
}

// Decide returns the decision for v. A copy older than FreshFor is used without a confirmation only if
// the outage of the table service has a witness: a peer that sees it too, or nobody but this process
// and the table service exists.
func Decide(v View) Decision {
	fresh := v.Confirmed && v.Age <= v.FreshFor
	switch {
	case v.HasConfig && fresh:
		return Use
	case v.HasConfig && v.AwayFor:
		return Continue
	case !v.Asked:
		return Ask
	case !v.HasConfig:
		return NotReady
	case v.StoreHeard:
		return Refuse // the answer came too late to be fresh, so there is no outage
	case v.PeersAway > 0:
		return Continue
	case v.HasStore && v.PeersKnown == 0:
		return Continue
	default:
		return Refuse
	}
}
