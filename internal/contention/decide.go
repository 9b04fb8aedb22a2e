package contention

import (
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
)

// Engines that are never idle pause their streams for too long, and gateways that take the same room at the same time fill the engines
// again: load_test.go plays both, and docs/design/admission.md has the figures.
const (
	// urgentShare is the allowance of the most urgent requests, as a part of the shortest target. The rest covers the request's
	// own prompt and errors of the prediction.
	urgentShare = 0.6
	// rankFactor is the allowance of each rank, as a part of that of the rank before it.
	rankFactor = 0.65
	// minShare is the least allowance of a request that can be in time, as a part of the shortest target.
	minShare = 0.15
	// lateShare is the allowance of requests that can't be in time any longer, as a part of the shortest target: with so short a
	// queue the requests that can be in time are sent all the same.
	lateShare = 0.15
	// gapShare is the part of the longest pause between events that outstanding prompts may take. The rest covers the steps
	// of the running streams and the prompts that other gateways send before they learn of this one.
	gapShare = 0.4
	// largeGapShare is the part that the prompts ahead may take if the request alone takes more than gapShare.
	largeGapShare = 0.1
	// maxDeadlineShare is the part of the time left that the predicted time may take, as for requests of services that aren't
	// covered.
	maxDeadlineShare = 0.8
	// maxTargets is the longest time to the first token for which a request is held, in targets. Callers abandon a stream that
	// has not begun after about four.
	maxTargets = 3
	// PollInterval is the time between two checks whether the first waiting requests of a queue may be sent.
	PollInterval = 15 * time.Millisecond
	// loadDelay is the time in which gateways learn of each other's loads.
	loadDelay = 250 * time.Millisecond
	// pace is the work that the waiting requests of one level in all gateways send to a server while they don't know of each
	// other's, as a part of what it can process meanwhile. The rest is for the other levels and for requests that don't wait, and
	// leaves the server idle at times, so that its streams go on.
	pace = 0.4
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
	OthersFirst  Reason = "order"      // waiting requests go first
	Paced        Reason = "pace"       // the room is left to another gateway's request
)

// Request is one request to a covered service.
type Request struct {
	Rank      int           // by Policy.Rank
	Target    time.Duration // of its route; zero if there is none
	Elapsed   time.Duration // since its arrival
	Left      time.Duration // until its deadline
	Served    float64       // work that the organisation got recently, by Shares
	FairShare float64       // factor of the allowance by Shares; 1 for an organisation within its fair share
	Returned  bool          // the caller was refused before and has returned at the advised time
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
	First     bool          // no waiting request goes before this one
	Others    float64       // requests that wait in other gateways for room at the same server
	Draw      float64       // random number, at least 0 and below 1
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
		return time.Duration(lateShare * r.FairShare * target)
	}
	return time.Duration(Share(r) * target)
}

// Share returns the allowance of a request that can be in time, as a part of the shortest target. It depends on the rank, grows
// with the time waited to that of the most urgent, so that no kind of request is starved, and is lower beyond the fair share. A request
// whose caller has returned at the advised time has that of the most urgent at once.
func Share(r Request) float64 {
	if r.Returned {
		return urgentShare * r.FairShare
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
	if scale > 0 {
		share += (urgentShare - share) * min(1, float64(r.Elapsed)/float64(scale))
	}
	return share * r.FairShare
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
	switch {
	case reason == Allowed && !load.First:
		reason = OthersFirst
	case reason == Allowed && load.Draw >= Chance(s, allowance, load.Others):
		reason = Paced
	}
	v := Verdict{Action: Send, Reason: reason, Allowance: allowance, Late: !r.CanMeetTarget(s.own())}
	inTime := s.Predicted <= time.Duration(maxDeadlineShare*float64(r.Left))
	if reason == Allowed && inTime {
		return v
	}
	v.Action = Wait
	room := max(0, s.WaitAhead-allowance) + load.Backlog
	v.RetryAfter = room
	limit := time.Duration(maxDeadlineShare*float64(r.Left)) - s.own()
	v.WaitFor = limit
	if r.Target > 0 {
		limit = min(limit, maxTargets*r.Target-r.Elapsed-s.own())
		v.WaitFor = limit
	}
	expectedLate := r.Target > 0 && r.Elapsed+room+s.own() > r.Target
	if !v.Late && r.Target > 0 {
		v.WaitFor = min(limit, r.Target-r.Elapsed-s.own()+time.Millisecond)
	}
	if !inTime || (v.Late || expectedLate) && max(room, load.NoRoomFor) > limit {
		v.Action, v.Reason = Refuse, NoRoom
	}
	return v
}

// Chance returns the probability with which a waiting request takes room at a server in one check, given the number of requests that
// wait for the same room in other gateways. All gateways see the room at about the same time, and learn of each other's requests only
// after loadDelay.
func Chance(s Server, allowance time.Duration, others float64) float64 {
	room := float64(max(0, allowance-s.WaitAhead)) / float64(loadDelay)
	return 1 / (1 + others*float64(s.own())/(pace*float64(PollInterval)*(1+room)))
}

// ServerOf returns the state of a candidate.
func ServerOf(c *fleetroute.Candidate) Server {
	s := Server{Predicted: c.Predicted(), WaitAhead: c.WaitAhead(), Running: c.InFlight > 0}
	if c.PrefillRate > 0 {
		s.Queued = time.Duration(c.QueuedTokens / c.PrefillRate * float64(time.Millisecond))
		s.Own = time.Duration(c.UncachedTokens / c.PrefillRate * float64(time.Millisecond))
	}
	return s
}
