package contention

import "time"

// keptShare is the part of a request's allowance that room kept for returning callers may take. With more, they could stop urgent
// new requests.
const keptShare = 0.5

// KeepRoom returns the time that counts as wait ahead of a request because room is kept for callers that return, given the time that
// the servers need for these. For a request that can be in time it is at most a part of the allowance, and doesn't put the target at
// risk. Late work leaves all the room.
func (p *Policy) KeepRoom(r Request, best Server, due time.Duration) time.Duration {
	allowance := p.Allowance(r, best.own())
	switch {
	case r.Returned:
		return 0
	case !r.CanMeetTarget(best.own()):
		return min(due, allowance)
	case r.Target > 0:
		due = min(due, max(0, r.Target-r.Elapsed-best.Predicted))
	}
	return min(due, time.Duration(keptShare*float64(allowance)))
}
