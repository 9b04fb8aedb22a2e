package contention

import "time"

const (
	// urgentShare is the allowance of the most urgent requests, as a part of the shortest target. The rest covers the request's
	// own prompt and errors of the prediction.
	urgentShare = 0.6
	// rankFactor is the allowance of each rank, as a part of that of the rank before it.
	rankFactor = 0.65
	// minShare is the least allowance of a request that can be in time, as a part of the shortest target.
	minShare = 0.15
	// lateShare is the allowance of requests that can't be in time any longer, as a part of the shortest target: such a short
	// wait means that nobody else needs the room.
	lateShare = 0.06
	// gapShare is the part of the longest pause between events that outstanding prompts may take. The rest covers the steps
	// of the running streams and the prompts that other gateways send before they learn of this one.
	gapShare = 0.6
	// largeGapShare is the part that the prompts ahead may take if the request alone takes more than gapShare.
	largeGapShare = 0.1
	// maxDeadlineShare is the part of the time left that a request's wait and prompt may take, as for requests of services
	// that aren't covered.
	maxDeadlineShare = 0.8
)

// Action is what is done with a request.
type Action int

// The actions.
const (
	Send Action = iota
	Wait
	Refuse
)

// Reason says why a request isn't sent at once. It is used in metrics and log lines.
type Reason string

// The reasons.
const (
	Allowed      Reason = ""
	OverAllowed  Reason = "wait_ahead" // the wait ahead is above the allowance
	OverGap      Reason = "prompts"    // outstanding prompts would delay the running streams for too long
	TargetAtRisk Reason = "target"     // the predicted time exceeds the target, but may fall
	LateWork     Reason = "late"       // the target can't be met any longer
	NoRoom       Reason = "no_room"    // no room is expected before the deadline
	QueueFull    Reason = "queue_full" // the queue of waiting requests is full
)

// Request is one request to a covered service.
type Request struct {
	Rank      int           // by Policy.Rank
	Target    time.Duration // of its route; zero if there is none
	Elapsed   time.Duration // since its arrival
	Left      time.Duration // until its deadline
	FairShare float64       // factor of the allowance by Shares; 1 for an organisation within its fair share
	Returned  bool          // the caller was refused before and has returned when it was told to
}

// Server is the state of one server that may get the request.
type Server struct {
	Predicted time.Duration // time to the request's first token
	WaitAhead time.Duration // Predicted without the request's own prompt
	Queued    time.Duration // time to process the prompts that the server has been sent
	Own       time.Duration // time to process the request's prompt
	Running   bool          // the server has requests in flight
}

// own returns the predicted time from the end of the wait to the first token.
func (s Server) own() time.Duration { return s.Predicted - s.WaitAhead }

// Load is the contention for a model as a gateway knows it.
type Load struct {
	NoRoomFor time.Duration // since there was last room for late work
	Backlog   time.Duration // time in which the servers process the requests that wait in all gateways
	Full      bool          // the queue of waiting requests takes no more
}

// Verdict is a decision and the figures that it was made by.
type Verdict struct {
	Action     Action
	Reason     Reason
	Allowance  time.Duration // for the wait ahead
	Late       bool          // the request can't meet its target any longer
	WaitFor    time.Duration // after which the request has to be decided on again at the latest, if it waits
	RetryAfter time.Duration // after which room is expected, if it is refused
}

// CanMeetTarget reports whether the request would meet its target if it were sent now to an idle server that takes the given
// time for it.
func (r Request) CanMeetTarget(own time.Duration) bool {
	return r.Target <= 0 || r.Elapsed+own <= r.Target
}

// Allowance returns the longest wait ahead with which the request may be sent. own is the time that its prompt takes.
func (p *Policy) Allowance(r Request, own time.Duration) time.Duration {
	target := float64(p.ShortestTarget)
	if !r.CanMeetTarget(own) {
		return time.Duration(lateShare * target)
	}
	return time.Duration(max(lateShare, Share(r)*r.FairShare) * target)
}

// Share returns the allowance of a request that can be in time, as a part of the shortest target. It depends on the rank, and grows
// with the time waited to that of the most urgent, so that no kind of request is starved. A request whose caller has returned as told has
// that one at once.
func Share(r Request) float64 {
	if r.Returned {
		return urgentShare
	}
	share := urgentShare
	for range r.Rank {
		share *= rankFactor
	}
	share = max(share, minShare)
	scale := r.Target
	if scale <= 0 {
		scale = r.Elapsed + r.Left
	}
	if scale <= 0 {
		return share
	}
	return share + (urgentShare-share)*min(1, float64(r.Elapsed)/float64(scale))
}

// MaySend reports whether the request may be sent to the server now, and if not, why.
func (p *Policy) MaySend(r Request, s Server) (Reason, time.Duration) {
	allowance := p.Allowance(r, s.own())
	late := !r.CanMeetTarget(s.own())
	switch {
	case s.WaitAhead > allowance && late:
		return LateWork, allowance
	case s.WaitAhead > allowance:
		return OverAllowed, allowance
	case !p.withinGap(s):
		return OverGap, allowance
	case !late && r.Target > 0 && r.Elapsed+s.Predicted > r.Target && s.WaitAhead > time.Duration(lateShare*float64(p.ShortestTarget)):
		return TargetAtRisk, allowance
	}
	return Allowed, allowance
}

// MaySendInstead reports whether the request may be sent to a server that isn't the best one. What its prompt takes longer there,
// because less of it is cached, counts as wait ahead: it delays the requests that come later.
func (p *Policy) MaySendInstead(r Request, s, best Server) bool {
	if s.WaitAhead+max(0, s.own()-best.own()) > p.Allowance(r, s.own()) {
		return false
	}
	reason, _ := p.MaySend(r, s)
	return reason == Allowed
}

// HasRoom reports whether the server has room that nobody else needs: for late work.
func (p *Policy) HasRoom(s Server) bool {
	return s.WaitAhead <= time.Duration(lateShare*float64(p.ShortestTarget))
}

// withinGap reports whether the request's prompt and those ahead of it keep the pauses of the running streams short.
func (p *Policy) withinGap(s Server) bool {
	if p.MaxGap <= 0 || !s.Running {
		return true
	}
	gap := float64(p.MaxGap)
	return float64(s.Queued+s.Own) <= gapShare*gap || float64(s.Own) > gapShare*gap && float64(s.Queued) <= largeGapShare*gap
}

// Decide decides on a request that has the given best server.
func (p *Policy) Decide(r Request, s Server, load Load) Verdict {
	reason, allowance := p.MaySend(r, s)
	v := Verdict{Action: Send, Reason: reason, Allowance: allowance, Late: !r.CanMeetTarget(s.own())}
	if reason == Allowed {
		return v
	}
	v.Action = Wait
	room := max(0, s.WaitAhead-allowance) + load.Backlog
	v.RetryAfter = room
	limit := time.Duration(maxDeadlineShare*float64(r.Left)) - s.own()
	v.WaitFor = limit
	if !v.Late && r.Target > 0 {
		v.WaitFor = min(limit, r.Target-r.Elapsed-s.own()+time.Millisecond)
	}
	switch {
	case load.Full:
		v.Action, v.Reason = Refuse, QueueFull
	case limit <= 0, v.Late && max(room, load.NoRoomFor) > limit:
		v.Action, v.Reason = Refuse, NoRoom
	}
	return v
}
