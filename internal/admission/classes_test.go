package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/admission"
)

// Guards against queue lengths by class that differ from the content of the queue.
func TestCountsByClass(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	q := admission.New(admission.Options{Policy: admission.Fair, MaxQueue: 9})
	counts := func() [4]int { return [4]int{q.Queued(), q.QueuedBatch(), q.Running(), q.RunningBatch()} }
	for _, batch := range []bool{true, false, true} {
		_, err := q.Offer(now, &admission.Item{Organisation: "o", Batch: batch, Deadline: now.Add(time.Hour)}, 4)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(counts()).To(Equal([4]int{3, 2, 0, 0}))
	always := func(*admission.Item) bool { return true }
	g.Expect(q.Next(4, always).Batch).To(BeFalse())
	batch := q.Next(4, always)
	g.Expect(counts()).To(Equal([4]int{1, 1, 2, 1}))
	q.Done(batch, 1, time.Second)
	g.Expect(counts()).To(Equal([4]int{1, 1, 1, 0}))
}
