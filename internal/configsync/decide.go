package configsync

import "time"

// Decision states whether and how a process may use its copy of the configuration.
type Decision int

// The decisions.
const (
	Use      Decision = iota // the copy is fresh
	Ask                      // the copy must first be confirmed by the table service or a peer
	Continue                 // the table service is unavailable to all processes; the copy is used unconfirmed
	Refuse                   // the copy could not be confirmed: config_stale
	NotReady                 // no configuration has been read yet: not_ready
)

// String returns the decision as it is logged, such as "use".
func (d Decision) String() string {
	return [...]string{"use", "ask", "continue", "refuse", "not_ready"}[d]
}

// DecisionInput holds everything that Decide depends on.
type DecisionInput struct {
	HasConfig bool
	Confirmed bool          // the copy has been confirmed at least once
	Age       time.Duration // time since the copy was confirmed
	FreshFor  time.Duration

	Asked                bool // a round was run; StoreAnswered and the Peers fields hold its results
	HasStore             bool // the process has a table service client
	StoreAnswered        bool // the table service answered
	PeersKnown           int  // peers that could be asked
	PeersAnswered        int  // peers that answered
	PeersReportingOutage int  // peers that answered and cannot reach the table service
	ContinueValid        bool // an earlier Continue decision is still valid
}

// Decide returns the decision for v. A copy whose confirmation is older than FreshFor is used only if the table
// service is unavailable to others too, not just to this process: at least one peer reports the outage, or the
// process is a client of the table service and knows no peers.
func Decide(v DecisionInput) Decision {
	fresh := v.Confirmed && v.Age <= v.FreshFor
	switch {
	case v.HasConfig && fresh:
		return Use
	case v.HasConfig && v.ContinueValid:
		return Continue
	case !v.Asked:
		return Ask
	case !v.HasConfig:
		return NotReady
	case v.StoreAnswered:
		return Refuse // the table service answered, so there is no outage, but too late for the copy to be fresh
	case v.PeersReportingOutage > 0:
		return Continue
	case v.HasStore && v.PeersKnown == 0:
		return Continue
	default:
		return Refuse
	}
}
