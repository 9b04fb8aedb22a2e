package fleetgateway

import (
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/serversigns"
	"github.com/pomelowheel/pomelowheel/platform"
)

// The keys of the metric server_signs.
const (
	signLeaving    = "leaving"
	signPause      = "pause"
	signUnreadable = "unreadable"
)

// signs holds what servers said about themselves in their responses. It is safe for concurrent use.
type signs struct {
	mu    sync.Mutex
	known *serversigns.Signs
}

func newSigns() *signs { return &signs{known: serversigns.New()} }

// incarnation returns the incarnation of a listed server that gets requests now. The agent's report may be newer than the list.
func (s *Server) incarnation(r *fleet.Replica) serversigns.Server {
	born := r.Born
	if u, fresh := s.opts.Agents.Report(r, s.opts.Clock()); fresh {
		born = max(born, u.GetBorn())
	}
	return serversigns.Server{ID: r.ID, Born: born}
}

// observeSigns records what a response says about its server. sentTo got the request; the response may come from another server,
// which has its address.
func (s *Server) observeSigns(requestID string, sentTo serversigns.Server, r platform.Response) {
	if !r.Leaving && r.RetryAfter == 0 && len(r.Unreadable) == 0 {
		return
	}
	from := sentTo
	if r.Instance != "" && r.Instance != sentTo.ID {
		from = serversigns.Server{ID: r.Instance, Born: time.Now().UnixMilli()} // it started before now
		if listed := s.opts.View.Snapshot().Replicas[r.Instance]; listed != nil {
			from = s.incarnation(listed)
		}
	}
	log, now := s.opts.Log.With("request_id", requestID, "server", from.ID, "sent_to", sentTo.ID), s.opts.Clock()
	for _, h := range r.Unreadable {
		s.opts.Metrics.signs.Add(signUnreadable, 1)
		log.Warn("header of the server's response not readable; ignoring it", "header", h.Name, "value", h.Value)
	}
	s.signs.mu.Lock()
	leaves := r.Leaving && s.signs.known.SetLeaving(from, now)
	pauses := s.signs.known.SetPause(from, r.RetryAfter, now)
	s.signs.mu.Unlock()
	if leaves {
		s.opts.Metrics.signs.Add(signLeaving, 1)
		s.opts.Pool.Forget(from.ID)
		log.Info("server says that it leaves; no more requests are sent to it", "born", from.Born)
	}
	if pauses {
		s.opts.Metrics.signs.Add(signPause, 1)
		log.Info("server asks for a pause; no requests are sent to it until it ends",
			"pause", r.RetryAfter, "until", time.Now().Add(r.RetryAfter))
	}
	if leaves || pauses {
		s.FleetChanged()
	}
}

// PruneSigns removes what servers said that cannot bind any longer. Call it periodically.
func (s *Server) PruneSigns() {
	replicas := s.opts.View.Snapshot().Replicas
	s.signs.mu.Lock()
	defer s.signs.mu.Unlock()
	s.signs.known.Prune(s.opts.Clock(), func(id string) bool { return replicas[id] != nil })
}

// leaving reports whether the list, the server's report or one of its responses says that the server leaves.
func (s *Server) leaving(r *fleet.Replica, now time.Duration) bool {
	if u, fresh := s.opts.Agents.Report(r, now); r.Draining || fresh && u.GetDraining() {
		return true
	}
	s.signs.mu.Lock()
	defer s.signs.mu.Unlock()
	return s.signs.known.Leaving(s.incarnation(r))
}

// pause returns the rest of the server's Retry-After, or zero.
func (s *Server) pause(r *fleet.Replica, now time.Duration) time.Duration {
	s.signs.mu.Lock()
	defer s.signs.mu.Unlock()
	return s.signs.known.Pause(s.incarnation(r), now)
}

// pausedRefusal returns the error with which to refuse the request if all servers that could serve it asked for a pause: those that
// hold its model or, without one that may load it, all in service. Otherwise it returns nil. The caller may return when the
// first pause ends.
func (q *request) pausedRefusal(now time.Duration, cause error) error {
	s := q.server
	snapshot := s.opts.View.Snapshot()
	var holders, others time.Duration // until the first pause ends
	first := func(earliest *time.Duration, pause time.Duration) {
		if *earliest == 0 || pause < *earliest {
			*earliest = pause
		}
	}
	mayLoad := false
	for _, r := range snapshot.Services[q.service] {
		if snapshot.OutOfService[r.DataCentre] || s.leaving(r, now) || s.excluded.isReplaced(r, now) {
			continue
		}
		_, holds := q.holdsModel(r, now)
		pause := s.pause(r, now)
		switch {
		case holds && pause == 0:
			return nil
		case holds:
			first(&holders, pause)
		case pause == 0:
			mayLoad = true
		default:
			first(&others, pause)
		}
	}
	wait := holders
	if wait == 0 && !mayLoad {
		wait = others
	}
	if wait == 0 {
		return nil
	}
	err := errkind.Wrap(errkind.Overloaded, cause, "all servers of service %s that could serve the request asked for a pause", q.service)
	return &refusal{err, max(wait, minRetryAfter)}
}

// lastError returns the error of the last attempt for the caller.
func (q *request) lastError(r result) error {
	if r.notRun {
		if err := q.pausedRefusal(q.server.opts.Clock(), r.err); err != nil {
			return err
		}
	}
	return r.err
}
