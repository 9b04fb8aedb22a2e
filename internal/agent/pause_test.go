package agent

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// Guards against agents that send every loaded adapter to a hundred gateways at once, and against pacing that delays the
// news that a model is there or that the engine drains.
func TestOnlyChangesOfAdaptersArePaced(t *testing.T) {
	last := &wirepb.AgentUpdate{Born: 1, Sequence: 4, Models: []*wirepb.EngineModel{{Model: "a", Adapters: []string{"x"}}}}
	change := func(f func(u *wirepb.AgentUpdate)) *wirepb.AgentUpdate {
		u := proto.Clone(last).(*wirepb.AgentUpdate)
		f(u)
		return u
	}
	adapter := change(func(u *wirepb.AgentUpdate) { u.Sequence, u.Models[0].Adapters = 5, []string{"x", "y"} })
	for _, c := range []struct {
		name        string
		next, last  *wirepb.AgentUpdate
		subscribers int
		want        time.Duration
	}{
		{"first report", last, nil, 103, 0},
		{"unchanged", change(func(*wirepb.AgentUpdate) {}), last, 103, maxReportInterval},
		{"adapter, small fleet", adapter, last, 27, minReportInterval},
		{"adapter, large fleet", adapter, last, 103, 395 * time.Millisecond},
		{"adapter, 400 gateways", adapter, last, 400, maxReportInterval},
		{"model", change(func(u *wirepb.AgentUpdate) { u.Models = append(u.Models, &wirepb.EngineModel{Model: "b"}) }), last, 400, 0},
		{"draining", change(func(u *wirepb.AgentUpdate) { u.Draining = true }), last, 400, 0},
		{"busy", change(func(u *wirepb.AgentUpdate) { u.Busy = true }), last, 400, 0},
		{"restart", change(func(u *wirepb.AgentUpdate) { u.Born = 2 }), last, 400, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := reportPause(c.next, c.last, c.subscribers); got != c.want {
				t.Fatalf("pause %v, expected %v", got, c.want)
			}
		})
	}
}
