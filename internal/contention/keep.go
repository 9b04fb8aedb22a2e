package contention

import "time"

// keptShare is the part of a request's allowance that room kept for returning callers may take. It is small because kept room costs
// new requests more than returning callers gain, by a little in the load of internal/appointment.
const keptShare = 0.25

// KeepRoom returns the time that counts as wait ahead of a request because room is kept for callers that return, given the time that
// the servers need for these. It is at most a part of the allowance, and doesn't put the target, if it can be met, or the deadline at
// risk.
func (p *Policy) KeepRoom(r Request, best Server, due time.Duration) time.Duration {
	if r.Returned {
		return 0
	}
	due = min(due, max(0, time.Duration(maxDeadlineShare*float64(r.Left))-best.Predicted))
	if r.Target > 0 && r.CanMeetTarget(best.own()) {
		due = min(due, max(0, r.Target-r.Elapsed-best.Predicted))
	}
	return min(due, time.Duration(keptShare*float64(p.Allowance(r, best.own()))))
}
