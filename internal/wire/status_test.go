package wire_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

func drawStatus(t *rapid.T) *wirepb.Status {
	names := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3)
	return &wirepb.Status{
		Identity: &wirepb.Identity{Incarnation: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "incarnation")},
		Service:  "s", Resident: names.Draw(t, "resident"), Adapters: names.Draw(t, "adapters"),
		Prefixes: names.Draw(t, "prefixes"), Running: rapid.Int64Range(0, 9).Draw(t, "running"),
		ModelLoads: []*wirepb.ModelLoad{{Model: "a", Requests: rapid.Int64Range(0, 9).Draw(t, "requests")}},
	}
}

// TestTrimmedStatusIsWhole guards against routing by an outdated status of a sidecar: the status that the receiver
// completes must equal the one that the sidecar had before trimming, also after a restart of the sidecar.
func TestTrimmedStatusIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var known *wirepb.Status
		for range 5 {
			sent := drawStatus(t)
			trimmed := wire.TrimStatus(proto.CloneOf(sent), &wirepb.StatusRequest{
				KnownLists: known.GetListsVersion(), KnownPrefixes: known.GetPrefixesVersion()})
			if !wire.CompleteStatus(trimmed, known) {
				t.Fatal("list fields were removed that the receiver does not have")
			}
			known = proto.CloneOf(trimmed)
			trimmed.ListsVersion, trimmed.PrefixesVersion = 0, 0
			if !proto.Equal(trimmed, sent) {
				t.Fatalf("received %v, sent %v", trimmed, sent)
			}
		}
	})
}

// TestTrimmedStatusNeedsKnown guards against a routing candidate without list fields after the receiver discarded the
// sidecar's status.
func TestTrimmedStatusNeedsKnown(t *testing.T) {
	if wire.CompleteStatus(&wirepb.Status{SameLists: true}, nil) {
		t.Fatal("a status without list fields was accepted")
	}
}
