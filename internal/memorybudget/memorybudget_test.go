package memorybudget_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
)

// Guards against an account that loses bytes, lends more than its bound, or does not end at zero, whatever its holders do.
func TestTheAccountStaysWithinItsBoundAndEndsAtZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.Int64Range(1, 1<<22).Draw(t, "bound")
		b := memorybudget.New(bound)
		leases := make([]*memorybudget.Lease, 5)
		for i := range leases {
			leases[i] = b.Lease(rapid.IntRange(0, 1<<16).Draw(t, "exempt"))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			l := leases[rapid.IntRange(0, len(leases)-1).Draw(t, "lease")]
			size, before := rapid.Int64Range(0, 1<<21).Draw(t, "size"), b.Held()
			covered := true
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				l.Release()
				before = b.Held()
			case 1:
				covered = l.Exactly(size)
			default:
				covered = l.Cover(size)
			}
			if !covered && b.Held() != before {
				t.Fatalf("a refusal changed what is held from %d to %d", before, b.Held())
			}
			if b.Held() < 0 || b.Held() > bound {
				t.Fatalf("%d bytes held, bound %d", b.Held(), bound)
			}
		}
		for _, l := range leases {
			l.Release()
		}
		if b.Held() != 0 || !b.Lease(0).Exactly(bound) {
			t.Fatalf("%d bytes held at the end", b.Held())
		}
	})
}

// BenchmarkBody measures the account of one short request body.
func BenchmarkBody(b *testing.B) {
	budget := memorybudget.New(1 << 26)
	for b.Loop() {
		l := budget.Lease(0)
		l.Exactly(800)
		l.Release()
	}
}
