package freshness_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/freshness"
	"github.com/pomelowheel/pomelowheel/internal/rowversion"
)

const tolerance = 10 * time.Millisecond

// inEra returns a version of the store in an era.
func inEra(t *testing.T, era, number int64) int64 {
	t.Helper()
	v, err := rowversion.Join(era, number)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Guards against confirmations that count for ever because the store's clock went back, and against rows that count as too old because
// it went forward, when the store is restored from a copy.
func TestAgesGoOnCountingOnTheClockOfANewEra(t *testing.T) {
	for name, clock := range map[string]time.Duration{"same": time.Hour + second, "went back": time.Minute, "went forward": 2 * time.Hour} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tracker := freshness.New(bound)
			tracker.ConfirmRead(time.Minute, inEra(t, 1, 70), time.Hour)
			tracker.Receive(time.Minute+second, "peer", freshness.Report{Era: 2, SentAt: clock})
			age, known := tracker.Age(time.Minute + second)
			g.Expect(known).To(BeTrue())
			g.Expect(age).To(BeNumerically("~", second, tolerance))
			tracker.ConfirmRead(time.Minute+2*second, inEra(t, 2, 30), clock+second)
			age, _ = tracker.Age(time.Minute + 2*second + second/2)
			g.Expect(age).To(BeNumerically("~", second/2, tolerance))
			g.Expect(tracker.ConfirmedVersion()).To(Equal(inEra(t, 2, 30)))
		})
	}
}

func TestConfirmationsOfAnEarlierEraSayNothing(t *testing.T) {
	g := NewWithT(t)
	tracker := freshness.New(bound)
	tracker.ConfirmRead(0, inEra(t, 2, 30), time.Minute)
	tracker.ConfirmRead(second, inEra(t, 1, 90), time.Hour) // an answer that was under way
	tracker.Receive(second, "paused", freshness.Report{
		Era: 1, SentAt: time.Hour, Latest: freshness.Confirmation{Version: inEra(t, 1, 99), Hash: 5, At: time.Hour},
	})
	g.Expect(tracker.ConfirmedVersion()).To(Equal(inEra(t, 2, 30)))
	g.Expect(tracker.Behind()).To(BeFalse())
	age, _ := tracker.Age(second)
	g.Expect(age).To(BeNumerically("~", second, tolerance))
}

func TestAPeerOfAnEarlierEraShowsThatOthersAreCutOffToo(t *testing.T) {
	g := NewWithT(t)
	tracker := freshness.New(bound)
	tracker.ConfirmRead(0, inEra(t, 2, 30), time.Minute)
	const now = 10 * second
	g.Expect(tracker.Check(now, freshness.PeerHeard)).NotTo(Succeed())
	tracker.Receive(now, "peer", freshness.Report{Era: 1, SentAt: time.Hour})
	g.Expect(tracker.Check(now, freshness.PeerHeard)).To(Succeed())
	g.Expect(tracker.Check(now+2*bound, freshness.PeerHeard)).NotTo(Succeed())
}
