package serversigns_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/serversigns"
)

type server = serversigns.Server

// Guards against a sign that is forgotten too early, or that binds a server which has started again.
func TestWhomASignBinds(t *testing.T) {
	for _, c := range []struct {
		name           string
		signer, asked  server
		unlistedFor    time.Duration
		leaving, pause bool
	}{
		{"the server", server{"i", 5}, server{"i", 5}, 0, true, true},
		{"another server", server{"i", 5}, server{"j", 5}, 0, false, false},
		{"a later incarnation", server{"i", 5}, server{"i", 6}, 0, false, false},
		{"a list entry from before the incarnation", server{"i", 5}, server{"i", 4}, 0, true, true},
		{"an entry that does not state the incarnation", server{"i", 5}, server{"i", 0}, 0, true, true},
		{"an unknown incarnation that is listed later", server{"i", 0}, server{"i", 5}, 0, true, true},
		{"an entry that returns", server{"i", 5}, server{"i", 5}, serversigns.Retention, true, true},
		{"an entry that returns late", server{"i", 5}, server{"i", 5}, serversigns.Retention + 1, false, true},
	} {
		leaving, pausing := serversigns.New(), serversigns.New()
		leaving.SetLeaving(c.signer, 0)
		pausing.SetPause(c.signer, time.Hour, 0)
		leaving.Prune(c.unlistedFor, func(string) bool { return c.unlistedFor == 0 })
		pausing.Prune(c.unlistedFor, func(string) bool { return c.unlistedFor == 0 })
		if got := leaving.Leaving(c.asked); got != c.leaving {
			t.Errorf("%s: leaving %v", c.name, got)
		}
		if got := pausing.Pause(c.asked, c.unlistedFor); got != 0 != c.pause {
			t.Errorf("%s: pause %v", c.name, got)
		}
	}
}

// Guards against a pause that a shorter one ends, that outlasts what the server asked for, or that a restart does not end.
func TestPausesAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := serversigns.New()
		var now, end time.Duration
		born, leaving := int64(1), false
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			current := server{ID: "i", Born: born}
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				pause := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "pause")) * time.Millisecond
				if begins := s.SetPause(current, pause, now); begins != (end <= now && pause > 0) {
					t.Fatalf("begins: %v at %v, the pause before ends at %v", begins, now, end)
				}
				end = max(end, now+pause)
			case 1:
				if s.SetLeaving(current, now) == leaving {
					t.Fatal("a sign is new twice, or never")
				}
				leaving = true
			case 2:
				born++
				end, leaving = 0, false
			case 3: // a late response of an earlier incarnation
				if s.SetLeaving(current, now); born > 1 && s.SetLeaving(server{ID: "i", Born: born - 1}, now) {
					t.Fatal("an earlier incarnation changed the signs")
				}
				leaving = true
			case 4:
				s.Prune(now, func(string) bool { return true })
			}
			if got := s.Pause(server{ID: "i", Born: born}, now); got != max(0, end-now) {
				t.Fatalf("pause %v at %v, the end is %v", got, now, end)
			}
			if got := s.Leaving(server{ID: "i", Born: born}); got != leaving {
				t.Fatalf("leaving %v, expected %v", got, leaving)
			}
		}
	})
}

// Guards against memory that grows with the servers that ever left, and against listed ones that are forgotten for them.
func TestTheNumberOfSignsIsBounded(t *testing.T) {
	s := serversigns.New()
	const listed, others = 100, 6000
	id := func(kind string, i int) server { return server{ID: fmt.Sprint(kind, i), Born: 1} }
	for i := range listed {
		s.SetLeaving(id("listed", i), 0)
	}
	for i := range others {
		now := time.Duration(i) * time.Second / 100
		s.SetLeaving(id("other", i), now)
		if i%100 == 0 {
			s.Prune(now, func(id string) bool { return id[0] == 'l' })
		}
	}
	kept := 0
	for i := range others {
		if s.Leaving(id("other", i)) {
			kept++
		}
	}
	for i := range listed {
		if !s.Leaving(id("listed", i)) {
			t.Fatalf("listed server %d is forgotten", i)
		}
	}
	if kept+listed > 4096 || kept < 3000 {
		t.Errorf("%d signs of servers that are not listed are kept", kept)
	}
}
