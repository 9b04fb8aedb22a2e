package peers_test

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/peers"
	"github.com/pomelowheel/pomelowheel/internal/usage"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// Guards against counts that a holder of the duties lacks because they were sent to it, or were not, while it was the standby or
// neither, on this stream or one before.
func TestTheHolderGetsAllCountsWhateverItWasBefore(t *testing.T) {
	const length = time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_767_225_600, 0)
		from, to := usage.NewLedger(length, "from"), usage.NewLedger(length, "to")
		stream := peers.NewUsageStream("from")
		update := func(senderHolds, peerHolds, standby bool) *wirepb.UsageReport {
			received := stream.Next(from.Report(now), senderHolds, peerHolds, standby)
			if received != nil {
				to.Receive("from", received, now)
			}
			return received
		}
		others := make(map[string]int64)
		first := usage.WindowAt(now, length)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause ms")) * time.Millisecond)
			organisation := rapid.SampledFrom([]string{"o", "p"}).Draw(t, "organisation")
			switch rapid.SampledFrom([]string{"count", "receive", "send", "reconnect"}).Draw(t, "step") {
			case "count":
				from.Count(organisation, now)
			case "receive":
				other := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "other")
				others[other+organisation]++
				from.Receive(other, &wirepb.UsageReport{Counts: []*wirepb.UsageCount{
					{Window: first, Organisation: organisation, Count: others[other+organisation]},
				}}, now)
			case "send":
				holds, standby := rapid.Bool().Draw(t, "holds"), rapid.Bool().Draw(t, "standby")
				if received := update(false, holds, standby); received != nil && !holds && !standby {
					t.Fatalf("a gateway that is neither holder nor standby got %v", received)
				}
			case "reconnect":
				stream = peers.NewUsageStream("from")
			}
		}
		last := usage.WindowAt(now, length)
		now = now.Add(2 * length)
		update(false, true, false)
		for w := first; w <= last; w++ {
			if got, expected := to.Totals(w), from.Totals(w); !maps.Equal(got, expected) {
				t.Fatalf("window %d: the holder has %v, expected %v", w, got, expected)
			}
		}
		if again := update(false, true, false); again != nil {
			t.Fatalf("sent again without a change: %v", again)
		}
		from.Settle(last)
		if update(true, false, false); len(to.Totals(first)) != 0 {
			t.Fatal("the counts of a settled window are kept")
		}
		if again := update(true, false, false); again != nil {
			t.Fatalf("sent again without a change: %v", again)
		}
	})
}
