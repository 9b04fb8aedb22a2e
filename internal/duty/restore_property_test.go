package duty_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against windows that are reported twice with other counts, or never, because the store was restored from a copy without their
// rows, and against a lease that changes hands because of it. The store is away for no time; an outage may end the lease.
func TestReportsWhenTheStoreIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := startSimFleet(t, rapid.IntRange(1, 4), rapid.IntRange(4, 20))
		epoch := s.process(0).lease.Epoch()
		for range rapid.IntRange(1, 5).Draw(t, "restores") {
			s.advance(time.Duration(rapid.IntRange(40, 120).Draw(t, "pause ds")) * 100 * time.Millisecond) // longer than the lease's term
			s.restoreStore(time.Duration(rapid.IntRange(0, 100).Draw(t, "age ds")) * 100 * time.Millisecond)
		}
		const calm = 25 * time.Second
		s.advance(calm)
		if now := s.process(0).lease.Epoch(); now != epoch {
			t.Errorf("the lease changed hands: epoch %d, was %d", now, epoch)
		}
		s.check(t, calm)
	})
}

// Guards against tokens that fall or are shared, holders that alternate within the lease time, and windows that are reported twice with
// other counts, when processes end, freeze or are cut off around a restore of the store.
func TestHoldersWhenTheStoreIsRestoredBesideFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := startSimFleet(t, rapid.IntRange(1, 4), rapid.IntRange(1, 10))
		for range rapid.IntRange(1, 10).Draw(t, "faults") {
			s.advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause ds")) * 100 * time.Millisecond)
			length := time.Duration(rapid.IntRange(2, 90).Draw(t, "length ds")) * 100 * time.Millisecond
			p := s.process(rapid.IntRange(0, 7).Draw(t, "process"))
			fault := rapid.SampledFrom([]string{"restore", "restore", "restore", "freeze", "freeze", "freeze in call", "freeze before call",
				"cut store", "cut peers", "store down", "lose", "slow", "kill", "stop"}).Draw(t, "fault")
			if fault == "restore" {
				s.restoreStore(time.Duration(rapid.IntRange(0, 120).Draw(t, "age ds")) * 100 * time.Millisecond)
				continue
			}
			s.inject(fault, p, length, s.startAgain)
		}
		s.loseAnswers, s.storeSlow, s.storeDown = 0, 0, 0
		s.advance(30 * time.Second)
		s.checkCalls(t)
	})
}

// Guards against reports that are lost because the store was restored without their rows, and whose gateway ended when it had had time to
// write them again.
func TestReportsAreWholeWhenTheHolderEndsAfterARestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := startSimFleet(t, rapid.Just(3), rapid.Just(12))
		for range rapid.IntRange(1, 4).Draw(t, "restores") {
			s.advance(time.Duration(rapid.IntRange(40, 120).Draw(t, "pause ds")) * 100 * time.Millisecond)
			s.cloudDown = s.now + time.Duration(rapid.IntRange(0, 90).Draw(t, "cloud down ds"))*100*time.Millisecond
			s.advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "settling ds")) * 100 * time.Millisecond)
			s.restoreStore(time.Duration(rapid.IntRange(0, 120).Draw(t, "age ds")) * 100 * time.Millisecond)
			s.advance(2500 * time.Millisecond) // two renewals, a list and a write
			p := s.process(0)
			s.kill(p, 0)
			s.startAgain(p.host)
		}
		const calm = 45 * time.Second
		s.advance(calm)
		s.check(t, calm)
	})
}
