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

// faultyLog sends changes to a change log while injecting faults, and records the reported outcome of each
// change.
type faultyLog struct {
	store      *tablestore.Memory
	log        *config.Log
	changes    map[string]config.Change
	acceptedAt map[string]int64 // version reported for each accepted change
	rejected   map[string]bool  // changes reported as not accepted
	unknown    map[string]bool  // changes reported as unknown at least once
}

// accept sends a change and checks that the outcome does not contradict an earlier one of the same change.
func (s *faultyLog) accept(t *rapid.T, c config.Change) {
	// A rejection applies only to the attempts so far; this attempt may be accepted.
	delete(s.rejected, c.ID)
	version, err := s.log.Accept(context.Background(), c)
	before, known := s.acceptedAt[c.ID]
	switch {
	case err == nil && known && before != version:
		t.Fatalf("change %s: version %d, then %d", c.ID, before, version)
	case err == nil:
		s.acceptedAt[c.ID] = version
	case errors.Is(err, tablestore.ErrUnknown):
		s.unknown[c.ID] = true
	case errors.Is(err, tablestore.ErrUnavailable) && (known || s.unknown[c.ID]):
		// The error reports only that this attempt wrote nothing; an earlier one may have been accepted.
	case known:
		t.Fatalf("change %s: accepted as version %d, then %v", c.ID, before, err)
	default:
		s.rejected[c.ID] = true
		s.checkRefused(t, c.ID)
	}
}

// checkRefused fails if a change that was just rejected is in the log.
func (s *faultyLog) checkRefused(t *rapid.T, id string) {
	s.loadWithoutFaults(t)
	if version, err := s.log.Find(context.Background(), id); !errors.Is(err, tablestore.ErrNotFound) {
		t.Fatalf("change %s: rejected, but the log has it at version %d (error %v)", id, version, err)
	}
}

func (s *faultyLog) injectFaults(t *rapid.T) {
	if rapid.Bool().Draw(t, "lose") {
		s.store.LoseAnswers(rapid.IntRange(0, 3).Draw(t, "answers"))
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		err := rapid.SampledFrom([]error{tablestore.ErrUnavailable, tablestore.ErrUnknown}).Draw(t, "error")
		s.store.FailCall(rapid.IntRange(1, 14).Draw(t, "call"), err)
	}
}

func (s *faultyLog) loadWithoutFaults(t *rapid.T) *config.Snapshot {
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

func (s *faultyLog) step(t *rapid.T, n int) {
	if len(s.changes) > 0 && rapid.Bool().Draw(t, "repeat") {
		s.injectFaults(t)
		s.accept(t, s.changes[fmt.Sprint("c", rapid.IntRange(0, len(s.changes)-1).Draw(t, "which"))])
		return
	}
	view := s.loadWithoutFaults(t)
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	existing, _ := view.Entity(config.EntityID{Kind: config.KindOrganisation, Name: name})
	id := fmt.Sprint("c", len(s.changes))
	s.changes[id] = change(id, view.Version(), organisation(name, float64(n+1), existing.Version))
	s.injectFaults(t)
	s.accept(t, s.changes[id])
}

// check compares the reported outcomes with the log: it must contain every accepted change once, at the
// reported version, and no rejected change.
func (s *faultyLog) check(t *rapid.T) {
	head := s.loadWithoutFaults(t).Version()
	found := make(map[string]int64)
	for v := int64(1); v <= head; v++ {
		c, err := s.log.Change(context.Background(), v)
		if err != nil {
			t.Fatal(err)
		}
		if _, twice := found[c.ID]; twice || s.rejected[c.ID] {
			t.Fatalf("change %s at version %d: twice %t, rejected %t", c.ID, v, twice, s.rejected[c.ID])
		}
		found[c.ID] = v
	}
	for id, version := range s.acceptedAt {
		if found[id] != version {
			t.Fatalf("change %s: reported version %d, log has %d", id, version, found[id])
		}
	}
}

// Guards against wrong outcomes: a change reported as accepted that is missing, written twice or written at
// another version, and a change reported as rejected that is applied.
func TestOutcomeIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := tablestore.NewMemory()
		s := &faultyLog{
			store: store, changes: make(map[string]config.Change), acceptedAt: make(map[string]int64),
			log:      config.NewLog(store).WithSleep(func(context.Context, time.Duration) error { return nil }),
			rejected: make(map[string]bool), unknown: make(map[string]bool),
		}
		for n := range rapid.IntRange(1, 12).Draw(t, "steps") {
			s.step(t, n)
		}
		s.check(t)
	})
}
