package fleetgateway

import (
	"context"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/coldstart"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
)

const (
	// maxTurnWait bounds the wait for a turn at a cold server. A server is cold for some seconds, and a request that
	// waits longer is late anyway.
	maxTurnWait = 1500 * time.Millisecond
	// agentBackoff is the time for which an agent that did not reply is not asked for turns.
	agentBackoff = time.Second
	// unreachableAgentShare is the fraction of its own part of a cold server's rate that a gateway uses if it does
	// not reach the server's agent. Other gateways may reach the agent, which then grants them the server's whole
	// rate.
	unreachableAgentShare = 0.5
)

// coldWait returns the time until the server may take another request of this gateway, as far as the gateway knows.
// ok is false if the server may not get one now: it is cold, its agent grants no turns, and this gateway's part is
// used up.
func (s *Server) coldWait(r *fleet.Replica, service *fleet.Service, now time.Duration) (wait time.Duration, ok bool) {
	if service == nil || service.ColdPerSecond <= 0 {
		return 0, true
	}
	u, reporting := s.opts.Agents.Report(r, now)
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	s.cold.Notice(r.ID, r.ListVersion, r.Cold, now)
	if reporting && r.Born != 0 && u.GetBorn() > r.Born {
		// The server restarted with the same ID, and its list entry does not show it yet.
		s.cold.Notice(r.ID, -u.GetBorn(), service.ColdStart, now)
	}
	if !s.cold.Cold(r.ID, now) {
		return 0, true
	}
	if reporting && now >= s.agentRetryAt[r.ID] {
		return max(0, s.coldNextTurn[r.ID]-now), true
	}
	_, gateways := s.opts.Gateways()
	rate := coldstart.Part(service.ColdPerSecond, gateways, s.opts.Rank(r.ID))
	if heard, _ := s.opts.Agents.Counts(now); heard > 0 {
		rate *= unreachableAgentShare
	}
	return 0, s.cold.Free(r.ID, rate, now)
}

// turnWaitLimit returns the longest time that the request may wait for a turn at a cold server.
func (q *request) turnWaitLimit() time.Duration { return min(maxTurnWait, q.timeLeft()/2) }

// waitForTurn waits for the request's turn at the chosen server, if that is cold and its agent grants turns. It
// returns false if another server should be chosen.
func (q *request) waitForTurn(ctx context.Context, c *fleetroute.Candidate, r *fleet.Replica) bool {
	s := q.server
	service := q.config.Services[q.service]
	now := s.opts.Clock()
	if service == nil || service.ColdPerSecond <= 0 || !s.needsTurn(r, now) {
		return true
	}
	defer q.scaled.waitForRoom()()
	wait, granted, err := s.opts.Agents.AcquireColdTurn(ctx, r, q.caller.ID, service.ColdPerSecond, q.turnWaitLimit())
	if ctx.Err() != nil {
		return false
	}
	s.coldMu.Lock()
	switch {
	case err != nil:
		s.agentRetryAt[r.ID] = now + agentBackoff
	case granted:
		s.coldNextTurn[r.ID] = now + wait + time.Duration(float64(time.Second)/service.ColdPerSecond)
	default:
		s.coldNextTurn[r.ID] = now + wait
	}
	s.coldMu.Unlock()
	if err != nil {
		s.opts.Log.Warn("agent did not reply to a request for a turn at its cold server; choosing a server again",
			"request_id", q.caller.ID, "server", r.ID, "error", err)
		return false
	}
	c.TurnWaitMS = 0
	return granted && s.waitWhileWanted(ctx, r, wait)
}

// waitWhileWanted waits for the given time. It returns false at once if the server leaves or asks for a pause meanwhile, or if ctx
// ends.
func (s *Server) waitWhileWanted(ctx context.Context, r *fleet.Replica, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		change, now := s.fleetChange(), s.opts.Clock()
		if s.leaving(r, now) || s.pause(r, now) > 0 {
			return false
		}
		select {
		case <-timer.C:
			return true
		case <-change:
		case <-ctx.Done():
			return false
		}
	}
}

// needsTurn reports whether a request to the server needs a turn from its agent.
func (s *Server) needsTurn(r *fleet.Replica, now time.Duration) bool {
	_, reporting := s.opts.Agents.Report(r, now)
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	return reporting && s.cold.Cold(r.ID, now) && now >= s.agentRetryAt[r.ID]
}

// countColdRequest counts a request to a server against this gateway's part, if the server is cold.
func (s *Server) countColdRequest(id string) {
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	s.cold.Spend(id)
}

// ForgetServers removes the state of servers that are no longer listed, except their signs: they bind if an entry returns.
func (s *Server) ForgetServers(ids []string) {
	s.coldMu.Lock()
	defer s.coldMu.Unlock()
	for _, id := range ids {
		s.excluded.forget(id)
		s.cold.Forget(id)
		delete(s.coldNextTurn, id)
		delete(s.agentRetryAt, id)
	}
}
