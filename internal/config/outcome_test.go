package config_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// sequence drives a change log through faults and remembers what it said about each change.
type sequence struct {
	store   *tablestore.Memory
	log     *config.Log
	changes map[string]config.Change
	said    map[string]int64 // version of each change reported as accepted
	refused map[string]bool  // changes reported as not accepted
	unknown map[string]bool  // changes reported as unknown at least once
}

// accept sends a change and checks that its outcome does not contradict an earlier one.
func (s *sequence) accept(t *rapid.T, c config.Change) {
	// A refusal speaks of the attempts so far; this attempt may be accepted.
	delete(s.refused, c.ID)
	version, err := s.log.Accept(context.Background(), c)
	before, known := s.said[c.ID]
	switch {
	case err == nil && known && before != version:
		t.Fatalf("change %s: version %d, then %d", c.ID, before, version)
	case err == nil:
		s.said[c.ID] = version
	case errors.Is(err, tablestore.ErrUnknown):
		s.unknown[c.ID] = true
	case errors.Is(err, tablestore.ErrUnavailable) && (known || s.unknown[c.ID]):
		// It only says that this attempt wrote nothing.
	case known:
		t.Fatalf("change %s: accepted as version %d, then %v", c.ID, before, err)
	default:
		s.refused[c.ID] = true
		s.checkRefused(t, c.ID)
	}
}

// checkRefused fails if a change that was just refused stands in the log.
func (s *sequence) checkRefused(t *rapid.T, id string) {
	s.quiet(t)
	if version, err := s.log.Find(context.Background(), id); !errors.Is(err, tablestore.ErrNotFound) {
		t.Fatalf("change %s: refused, but the log has it at version %d (error %v)", id, version, err)
	}
}

func (s *sequence) faults(t *rapid.T) {
	if rapid.Bool().Draw(t, "lose") {
		s.store.LoseAnswers(rapid.IntRange(0, 3).Draw(t, "answers"))
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		err := rapid.SampledFrom([]error{tablestore.ErrUnavailable, tablestore.ErrUnknown}).Draw(t, "error")
		s.store.FailCall(rapid.IntRange(1, 14).Draw(t, "call"), err)
	}
}

func (s *sequence) quiet(t *rapid.T) *config.Snapshot {
	s.store.LoseAnswers(0)
	for range 20 {
		_, _ = s.log.Head(context.Background())
	}
	snapshot, err := s.log.Load(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func (s *sequence) step(t *rapid.T, n int) {
	if len(s.changes) > 0 && rapid.Bool().Draw(t, "repeat") {
		s.faults(t)
		s.accept(t, s.changes[fmt.Sprint("c", rapid.IntRange(0, len(s.changes)-1).Draw(t, "which"))])
		return
	}
	view := s.quiet(t)
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	held, _ := view.Entity(config.EntityID{Kind: config.KindOrganisation, Name: name})
	id := fmt.Sprint("c", len(s.changes))
	s.changes[id] = change(id, view.Version(), organisation(name, float64(n+1), held.Version))
	s.faults(t)
	s.accept(t, s.changes[id])
}

// check compares what was said with the log: every accepted change stands in it once, at its version, and
// no refused change does.
func (s *sequence) check(t *rapid.T) {
	head := s.quiet(t).Version()
	found := make(map[string]int64)
	for v := int64(1); v <= head; v++ {
		c, err := s.log.Change(context.Background(), v)
		if err != nil {
			t.Fatal(err)
		}
		if _, twice := found[c.ID]; twice || s.refused[c.ID] {
			t.Fatalf("change %s at version %d: twice %t, refused %t", c.ID, v, twice, s.refused[c.ID])
		}
		found[c.ID] = v
	}
	for id, version := range s.said {
		if found[id] != version {
			t.Fatalf("change %s: said version %d, log has %d", id, version, found[id])
		}
	}
}

// Guards against a final word that is not true: a change reported as accepted that is lost, written twice
// or under another version, and a change reported as refused that takes effect.
func TestOutcomeIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := tablestore.NewMemory()
		s := &sequence{
			store: store, changes: make(map[string]config.Change), said: make(map[string]int64),
			log:     config.NewLog(store).WithPause(func(context.Context, time.Duration) error { return nil }),
			refused: make(map[string]bool), unknown: make(map[string]bool),
		}
		for n := range rapid.IntRange(1, 12).Draw(t, "steps") {
			s.step(t, n)
		}
		s.check(t)
	})
}
