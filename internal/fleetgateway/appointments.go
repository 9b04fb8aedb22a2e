package fleetgateway

import (
	"log/slog"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/appointment"
	"github.com/pomelowheel/pomelowheel/internal/contention"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
)

// appointmentState is what a request to a covered service knows about the return of its caller.
type appointmentState struct {
	key      appointment.Key // zero until it is needed
	redeemed bool            // the caller has returned at the advised time
	early    bool            // the caller has an appointment and returned before its time
	due      time.Duration   // time that the servers need for other callers that return soon

	// For an appointment if the request is refused.
	tokens, rate float64 // uncached prompt tokens, and those that all candidates process together per millisecond
	capacityIn   time.Duration
}

// appointmentKey returns the key of the caller's appointment, or false if the request has none because its prompt isn't described.
func (q *request) appointmentKey() (appointment.Key, bool) {
	parts := q.caller.Prompt
	if q.server.opts.Appointments == nil || q.model == "" || len(parts) == 0 {
		return 0, false
	}
	if q.appointment.key == 0 {
		q.appointment.key = appointment.NewKey(q.organisationName(), q.service, q.modelKey, parts[len(parts)-1].ID)
	}
	return q.appointment.key, true
}

func (q *request) organisationName() string {
	if q.org == nil {
		return ""
	}
	return q.org.Name
}

// redeemAppointment checks whether the caller has returned at the advised time. The request's arrival decides, so that one that
// comes early and waits has no advantage.
func (q *request) redeemAppointment() {
	s, state := q.server, &q.appointment
	if book := s.opts.Appointments; book == nil || book.Known() == 0 || state.redeemed || state.early {
		return
	}
	key, ok := q.appointmentKey()
	if !ok {
		return
	}
	returnAt, id, outcome := s.opts.Appointments.Redeem(s.opts.Clock(), q.arrivedAt, key)
	state.redeemed, state.early = outcome == appointment.Redeemed, outcome == appointment.Early
	if state.redeemed {
		s.opts.Log.LogAttrs(q.http.Context(), slog.LevelInfo, "appointment redeemed",
			slog.String("request_id", q.caller.ID), slog.Uint64("appointment", id), slog.String("service", q.service),
			slog.String("model", q.modelKey), slog.String("organisation", q.organisationName()), slog.Duration("after", q.arrivedAt-returnAt))
	}
}

// findRoomDue sets the time that the servers need for callers that return soon, given the best candidate.
func (q *request) findRoomDue(c *fleetroute.Candidate, best contention.Server, servers int, now time.Duration) {
	q.appointment.due = 0
	if book := q.server.opts.Appointments; book != nil && book.Known() > 0 {
		q.appointment.due = book.Due(now, appointment.NewQueue(q.service, q.model), fleetRate(c, best, servers))
	}
}

// withRoomKept returns the state of the best candidate with the room that is kept for callers that return.
func (q *request) withRoomKept(p *contention.Policy, a contention.Request, best contention.Server) contention.Server {
	if q.appointment.due > 0 {
		kept := p.KeepRoom(a, best, q.appointment.due)
		best.Predicted += kept
		best.WaitAhead += kept
	}
	return best
}

// minFleetRate is the least rate of processing prompts, in tokens per millisecond, that is reckoned with.
const minFleetRate = 0.1

// fleetRate returns the prompt tokens per millisecond that the given number of servers process together, if each is as fast for the
// request's prompt as the given one.
func fleetRate(c *fleetroute.Candidate, state contention.Server, servers int) float64 {
	rate := c.PrefillRate
	if own := float64(state.Predicted-state.WaitAhead) / float64(time.Millisecond); own > 0 && c.UncachedTokens > 0 {
		rate = c.UncachedTokens / own // less than PrefillRate at a busy server
	}
	return max(minFleetRate, rate*float64(servers))
}

// describeRefusal records what the request's appointment depends on if it is refused. capacityIn is the time after which room is
// expected.
func (q *request) describeRefusal(c *fleetroute.Candidate, best contention.Server, servers int, capacityIn time.Duration) {
	state := &q.appointment
	state.tokens, state.rate, state.capacityIn = c.UncachedTokens, fleetRate(c, best, servers), capacityIn
}

// appoint returns the Retry-After of a request that is refused for lack of room, and makes an appointment for its caller's return.
// Callers that can't have one get the given time.
func (q *request) appoint(without time.Duration) time.Duration {
	s, state := q.server, &q.appointment
	key, ok := q.appointmentKey()
	if !ok {
		return without
	}
	_, gateways := s.opts.Gateways()
	returnIn, id, outcome := s.opts.Appointments.Make(s.opts.Clock(), appointment.Request{
		Key: key, Queue: appointment.NewQueue(q.service, q.model), Organisation: appointment.NewOrganisation(q.organisationName()),
		Tokens: state.tokens, CapacityIn: state.capacityIn, Rate: state.rate, Left: q.timeLeft(), Peers: gateways - 1,
	})
	if outcome == appointment.Made {
		s.opts.Log.LogAttrs(q.http.Context(), slog.LevelInfo, "appointment made",
			slog.String("request_id", q.caller.ID), slog.Uint64("appointment", id), slog.String("service", q.service),
			slog.String("model", q.modelKey), slog.String("organisation", q.organisationName()), slog.Duration("return_in", returnIn),
			slog.Float64("tokens", state.tokens), slog.Int("known", s.opts.Appointments.Known()))
	}
	if outcome == appointment.None {
		returnIn = retryAfter(returnIn)
	}
	return returnIn
}

// cancelAppointment ends the appointment of a caller that came before its time and was served.
func (q *request) cancelAppointment() {
	if q.appointment.early {
		q.server.opts.Appointments.Cancel(q.server.opts.Clock(), q.appointment.key)
	}
}
