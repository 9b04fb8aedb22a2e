package contention_test

import (
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/contention"
)

// Guards against room kept for returning callers that stops other requests: it may take a quarter of the allowance, also of late work,
// and must not make a request miss its target or its deadline.
func TestKeptRoomIsBounded(t *testing.T) {
	const ms = time.Millisecond
	p := &contention.Policy{ShortestTarget: time.Second}
	server := func(ahead, own time.Duration) contention.Server {
		return contention.Server{WaitAhead: ahead, Predicted: ahead + own}
	}
	chat := contention.Request{Target: time.Second, Left: 20 * time.Second, FairShare: 1}
	withElapsed, withLeft, withShare, returned, open := chat, chat, chat, chat, chat
	withElapsed.Elapsed, withLeft.Left, withShare.FairShare, returned.Returned = 2*time.Second, 500*ms, 0.5, true
	open.Target, open.Left = 0, 500*ms
	for _, c := range []struct {
		name    string
		request contention.Request
		server  contention.Server
		due     time.Duration
		most    time.Duration
		least   time.Duration
	}{
		{"little work", chat, server(0, 100*ms), 20 * ms, 20 * ms, 20 * ms},
		{"much work", chat, server(0, 100*ms), time.Hour, p.Allowance(chat, 100*ms) / 4, 100 * ms},
		{"late work", withElapsed, server(0, 100*ms), time.Hour, p.Allowance(withElapsed, 100*ms) / 4, 1},
		{"beyond the fair share", withShare, server(0, 100*ms), time.Hour, p.Allowance(withShare, 100*ms) / 4, 1},
		{"near the target", chat, server(500*ms, 450*ms), time.Hour, 50 * ms, 1},
		{"target at risk", chat, server(600*ms, 450*ms), time.Hour, 0, 0},
		{"near the deadline", open, server(200*ms, 190*ms), time.Hour, 10 * ms, 1},
		{"predicted beyond the deadline", withLeft, server(300*ms, 150*ms), time.Hour, 0, 0},
		{"returned as told", returned, server(0, 100*ms), time.Hour, 0, 0},
	} {
		if got := p.KeepRoom(c.request, c.server, c.due); got < c.least || got > c.most {
			t.Errorf("%s: %v is kept, not %v to %v", c.name, got, c.least, c.most)
		}
	}
}
