package ingress

import (
	"context"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/coldshare"
	"github.com/pomelowheel/pomelowheel/internal/dispatch"
	"github.com/pomelowheel/pomelowheel/internal/duty"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

const (
	// mostTurnWait bounds the wait for a turn at a cold server. A server is cold for some seconds, and a request that
	// waits longer is late anyway.
	mostTurnWait = 1500 * time.Millisecond
	// aloneFor is the time for which an agent that did not answer is not asked for turns.
	aloneFor = time.Second
	// alonePart of its part is what a gateway uses of a cold server whose agent it does not reach. Others may reach the
	// agent, which then gives the server's whole rate to them.
	alonePart = 0.5
)

// coldTurn returns the time until the server bears another request of this gateway, as far as it knows. may is false if
// it may get none now: it is cold, its agent gives no turns, and this gateway's part is used up.
func (s *Server) coldTurn(r *fleet.Replica, service *fleet.Service, now time.Duration) (wait time.Duration, may bool) {
	if service == nil || service.ColdPerSecond <= 0 {
		return 0, true
	}
	u, reporting := s.opts.Agents.Status(r, now)
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	s.cold.Notice(r.ID, r.ListVersion, r.Cold, now)
	if reporting && r.Born != 0 && u.GetBorn() > r.Born {
		// The server started again under its ID, and the list does not say so yet.
		s.cold.Notice(r.ID, -u.GetBorn(), service.ColdStart, now)
	}
	if !s.cold.Cold(r.ID, now) {
		return 0, true
	}
	if reporting && now >= s.coldAlone[r.ID] {
		return max(0, s.coldFree[r.ID]-now), true
	}
	_, gateways := s.opts.Gateways()
	rate := coldshare.Part(service.ColdPerSecond, gateways, s.opts.Rank(r.ID))
	if heard, _ := s.opts.Agents.Watched(now); heard > 0 {
		rate *= alonePart
	}
	return 0, s.cold.Free(r.ID, rate, now)
}

// turnPatience returns how long the request waits for a turn at a cold server.
func (q *request) turnPatience() time.Duration { return min(mostTurnWait, time.Until(q.end)/2) }

// takeTurn waits for the request's turn at the chosen server if that is cold and its agent gives turns. It reports false
// if the request should choose again.
func (q *request) takeTurn(ctx context.Context, c *dispatch.Candidate, r *fleet.Replica) bool {
	s := q.server
	service := q.config.Services[q.service]
	now := s.opts.Clock()
	if service == nil || service.ColdPerSecond <= 0 || !s.asksForTurn(r, now) {
		return true
	}
	wait, granted, err := s.opts.Agents.ColdTurn(ctx, r, q.caller.ID, service.ColdPerSecond, q.turnPatience())
	s.coldMu.Lock()
	switch {
	case err != nil:
		s.coldAlone[r.ID] = now + aloneFor
	case granted:
		s.coldFree[r.ID] = now + wait + time.Duration(float64(time.Second)/service.ColdPerSecond)
	default:
		s.coldFree[r.ID] = now + wait
	}
	s.coldMu.Unlock()
	if err != nil {
		s.opts.Log.Warn("agent gives no turn at its cold server", "request_id", q.caller.ID, "server", r.ID, "error", err)
		return false
	}
	c.TurnWaitMS = 0
	return granted && duty.Sleep(ctx, wait) == nil
}

// asksForTurn reports whether a request to the server needs a turn from its agent.
func (s *Server) asksForTurn(r *fleet.Replica, now time.Duration) bool {
	_, reporting := s.opts.Agents.Status(r, now)
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	return reporting && s.cold.Cold(r.ID, now) && now >= s.coldAlone[r.ID]
}

// spendCold counts a request to a server in this gateway's part, if the server is cold.
func (s *Server) spendCold(id string) {
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	s.cold.Spend(id)
}

// ForgetServers drops what is known of servers that are gone.
func (s *Server) ForgetServers(ids []string) {
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	for _, id := range ids {
		s.absent.forget(id)
		s.cold.Forget(id)
		delete(s.coldFree, id)
		delete(s.coldAlone, id)
	}
}
