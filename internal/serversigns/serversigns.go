// Package serversigns keeps what backend servers say about themselves in their responses: that they leave, and until when they want
// no requests. Use it in a gateway, which must obey both from the moment at which the response arrives, whatever the server
// list says. It has no side effects, and times are passed in as readings of one clock.
package serversigns

import "time"

const (
	// Retention is how long it is remembered that a server leaves after it was last listed. Its entry may return meanwhile,
	// because entries also expire while the store, or the server's way to the store, is disrupted.
	Retention = 10 * time.Minute
	// maxServers bounds the servers whose signs are kept, far above the number of those that are listed.
	maxServers = 4096
)

// Server identifies one incarnation of a backend server.
type Server struct {
	ID   string
	Born int64 // start of the incarnation in Unix milliseconds; zero if unknown
}

// Signs holds the signs of backend servers. Those of an incarnation do not bind a later one with the same ID. It is not safe for
// concurrent use.
type Signs struct{ servers map[string]*signs }

// signs are those of the newest incarnation of a server that gave one.
type signs struct {
	born        int64
	leaving     bool
	pausedUntil time.Duration
	listedAt    time.Duration // when the server was last known to be listed
}

// New returns Signs of no server.
func New() *Signs { return &Signs{servers: make(map[string]*signs)} }

// SetLeaving records that a server leaves, and reports whether this was unknown.
func (s *Signs) SetLeaving(server Server, now time.Duration) bool {
	r := s.record(server, now)
	if r == nil || r.leaving {
		return false
	}
	r.leaving = true
	return true
}

// SetPause records that a server wants no requests for a time. An earlier request of the server for a longer time stays in
// force. It reports whether a pause begins: the server was in none.
func (s *Signs) SetPause(server Server, pause, now time.Duration) bool {
	if pause <= 0 {
		return false
	}
	r := s.record(server, now)
	if r == nil {
		return false
	}
	begins := r.pausedUntil <= now
	r.pausedUntil = max(r.pausedUntil, now+pause)
	return begins
}

// Leaving reports whether a server has said that it leaves.
func (s *Signs) Leaving(server Server) bool {
	r := s.of(server)
	return r != nil && r.leaving
}

// Pause returns how long a server goes on to want no requests, or zero.
func (s *Signs) Pause(server Server, now time.Duration) time.Duration {
	r := s.of(server)
	if r == nil {
		return 0
	}
	return max(0, r.pausedUntil-now)
}

// Prune removes the signs that can no longer bind. Call it periodically; listed reports whether a server is listed now.
func (s *Signs) Prune(now time.Duration, listed func(id string) bool) {
	for id, r := range s.servers {
		if listed(id) {
			r.listedAt = now
		}
		if r.pausedUntil <= now && (!r.leaving || now-r.listedAt > Retention) {
			delete(s.servers, id)
		}
	}
}

// of returns the signs that bind an incarnation, or nil. An incarnation that is older than the signs is bound, too: its list
// entry is behind the server's response.
func (s *Signs) of(server Server) *signs {
	r := s.servers[server.ID]
	switch {
	case r == nil, r.born != 0 && server.Born > r.born:
		return nil
	case r.born == 0:
		r.born = server.Born
	}
	return r
}

// record returns the signs of an incarnation to be changed, or nil if a later incarnation has given some.
func (s *Signs) record(server Server, now time.Duration) *signs {
	r := s.servers[server.ID]
	if r != nil && r.born != 0 && server.Born != 0 && server.Born < r.born {
		return nil
	}
	if r = s.of(server); r == nil {
		r = &signs{born: server.Born}
		s.servers[server.ID] = r
		s.evict(server.ID)
	}
	r.listedAt = now
	return r
}

// evict removes the signs of the server that was last listed the longest ago if there are too many, except those of keep.
func (s *Signs) evict(keep string) {
	if len(s.servers) <= maxServers {
		return
	}
	oldest := ""
	for id, r := range s.servers {
		if id != keep && (oldest == "" || r.listedAt < s.servers[oldest].listedAt) {
			oldest = id
		}
	}
	delete(s.servers, oldest)
}
