package freshness_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/freshness"
)

const (
	bound  = 2 * time.Second
	second = time.Second
)

// A tracker whose clock is 50 s behind the store's, with rows of version 7 that were confirmed at 0 s on its own clock.
func confirmed() *freshness.Tracker {
	t := freshness.New(bound)
	t.SetOwn(freshness.State{Newest: 7, Hash: 70})
	t.ConfirmRead(0, 9, 50*second)
	return t
}

func report(sentAt, at time.Duration, version int64, hash uint64) freshness.Report {
	return freshness.Report{SentAt: 50*second + sentAt, Latest: freshness.Confirmation{Version: version, Hash: hash, At: 50*second + at}}
}

func TestCheck(t *testing.T) {
	cases := map[string]struct {
		prepare func(*freshness.Tracker)
		at      time.Duration
		others  freshness.Others // Silence by default
		refused bool
	}{
		"confirmed within the bound":                {at: 1 * second},
		"nothing heard since":                       {at: 3 * second, refused: true},
		"nothing heard since, and no other gateway": {at: 3 * second, others: freshness.NoOther},
		"peers of an earlier release are heard":     {at: 3 * second, others: freshness.EarlierPeersHeard},
		"peers of an earlier release are heard, a lost one knew newer rows": {at: 3 * second, others: freshness.EarlierPeersHeard,
			refused: true, prepare: func(t *freshness.Tracker) { t.Receive(3*second, "p", report(3*second, 2*second, 11, 110)) }},
		"a peer confirms the same rows": {at: 3 * second, prepare: func(t *freshness.Tracker) {
			t.Receive(2*second, "p", report(2*second, 2*second, 12, 70))
		}},
		"a peer is as old": {at: 3 * second, prepare: func(t *freshness.Tracker) {
			t.Receive(3*second, "p", report(3*second, 0, 9, 70))
		}},
		"a peer was as old when it sent its report": {at: 5 * second, refused: true, prepare: func(t *freshness.Tracker) {
			t.Receive(5*second, "p", report(2*second, 0, 9, 70))
		}},
		"a peer knows newer rows, the own ones are young": {at: 1 * second, prepare: func(t *freshness.Tracker) {
			t.Receive(1*second, "p", report(1*second, 1*second, 11, 110))
		}},
		"a peer knows newer rows": {at: 3 * second, refused: true, prepare: func(t *freshness.Tracker) {
			t.Receive(3*second, "p", report(3*second, 2*second, 11, 110))
		}},
		"a peer knows newer rows, and no other gateway counts": {at: 3 * second, others: freshness.NoOther, refused: true,
			prepare: func(t *freshness.Tracker) { t.Receive(3*second, "p", report(3*second, 2*second, 11, 110)) }},
		"the newer rows arrived": {at: 3 * second, prepare: func(t *freshness.Tracker) {
			t.Receive(3*second, "p", report(3*second, 2*second, 11, 110))
			t.SetOwn(freshness.State{Newest: 10, Hash: 110})
		}},
		"own rows are newer than those of a peer": {at: 3 * second, prepare: func(t *freshness.Tracker) {
			t.SetOwn(freshness.State{Newest: 12, Hash: 120})
			t.Receive(3*second, "p", report(3*second, 1*second, 11, 110))
		}},
		"a row is missing that is older than the newest": {at: 3 * second, refused: true, prepare: func(t *freshness.Tracker) {
			t.SetOwn(freshness.State{Newest: 12, Hash: 120})
			t.Receive(3*second, "p", report(3*second, 2*second, 12, 121))
		}},
		"a lost peer": {at: 3 * second, refused: true, prepare: func(t *freshness.Tracker) {
			t.Receive(3*second, "p", report(3*second, 0, 9, 70))
			t.Forget("p")
		}},
		"the host was frozen": {at: 60 * second, refused: true},
		"the host was frozen and read what had arrived before": {at: 60 * second, refused: true, prepare: func(t *freshness.Tracker) {
			t.Receive(60*second, "p", report(2*second, 2*second, 12, 70))
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tracker := confirmed()
			if c.prepare != nil {
				c.prepare(tracker)
			}
			if err := tracker.Check(c.at, c.others); (err != nil) != c.refused {
				t.Fatalf("check returned %v", err)
			}
		})
	}
}

// Guards against rows that are used for ever because the gateway was cut off before the first report, which gives their age.
func TestRowsOfUnknownAgeAreUsedWhileAPeerIsHeard(t *testing.T) {
	g := NewWithT(t)
	tracker := freshness.New(bound)
	tracker.SetOwn(freshness.State{Newest: 7, Hash: 70})
	g.Expect(tracker.Check(50*second, freshness.PeerHeard)).To(Succeed())
	g.Expect(tracker.Check(50*second, freshness.NoOther)).To(Succeed())
	g.Expect(tracker.Check(50*second, freshness.Silence)).NotTo(Succeed())
	tracker.Receive(53*second, "p", report(3*second, 3*second, 9, 70))
	g.Expect(tracker.Check(53*second, freshness.Silence)).To(Succeed())
}

func TestAGatewayReadsBeforeItRefuses(t *testing.T) {
	g := NewWithT(t)
	tracker := confirmed()
	g.Expect(tracker.NeedsRead(second)).To(BeFalse())
	g.Expect(tracker.NeedsRead(1700 * time.Millisecond)).To(BeTrue())
	g.Expect(tracker.Check(1700*time.Millisecond, freshness.Silence)).To(Succeed())
	tracker.ConfirmRead(1700*time.Millisecond, 9, 51700*time.Millisecond)
	g.Expect(tracker.NeedsRead(2 * second)).To(BeFalse())
}

// Guards against confirmations that seem older with each hour because a host's clock runs faster than the store's.
func TestAFastClockDoesNotAgeConfirmations(t *testing.T) {
	g := NewWithT(t)
	tracker := confirmed()
	const day = 24 * time.Hour
	for at := time.Duration(0); at < day; at += 10 * second {
		storeTime := 50*second + at - at/10_000
		tracker.ConfirmRead(at, 9, storeTime)
		age, _ := tracker.Age(at)
		g.Expect(age).To(BeNumerically("<", 100*time.Millisecond))
	}
}

// Rows that were replaced are used for the bound at most, whatever arrives late, twice or in another order.
func TestReplacedRowsAreNotUsedBeyondTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replacedAt := time.Duration(rapid.IntRange(0, 3000).Draw(t, "replaced_ms")) * time.Millisecond
		state := func(at time.Duration) (int64, uint64) { // of the store
			if at < replacedAt {
				return 9, 70
			}
			return 11, 110
		}
		tracker := freshness.New(bound)
		tracker.SetOwn(freshness.State{Newest: 7, Hash: 70})
		tracker.ConfirmRead(0, 9, 50*second)
		now := time.Duration(0)
		newestHeard := false
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			now += time.Duration(rapid.IntRange(0, 600).Draw(t, "pause_ms")) * time.Millisecond
			late := time.Duration(rapid.IntRange(0, 4000).Draw(t, "late_ms")) * time.Millisecond
			old := time.Duration(rapid.IntRange(0, 4000).Draw(t, "old_ms")) * time.Millisecond
			sentAt := max(0, now-late)
			at := max(0, sentAt-old)
			version, hash := state(at)
			newestHeard = newestHeard || hash == 110
			tracker.Receive(now, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "peer"), report(sentAt, at, version, hash))
			if newestHeard && now > replacedAt+bound && tracker.Check(now, freshness.Silence) == nil {
				t.Fatalf("rows replaced at %v used at %v", replacedAt, now)
			}
		}
	})
}
