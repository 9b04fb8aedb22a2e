package memoryledger_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/memoryledger"
)

// Guards against memory that operators see counted twice or not at all: the parts always add up to the total.
func TestBreakdown(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	l := memoryledger.New(memoryledger.Options{TotalMB: 1000, ChecksOrders: true, OrderLifetime: time.Second})
	sum := func(f memoryledger.Breakdown) int64 {
		return f.Models + f.Loading + f.KV + f.Unconfirmed + f.Unknown + f.Free
	}
	_, err := l.Load(now, "m", 400)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Breakdown()).To(Equal(memoryledger.Breakdown{Total: 1000, Loading: 400, Free: 600}))
	l.Observe(l.BeginReport(now), memoryledger.EngineState{
		Incarnation: "a", TotalMB: 1000, UsedMB: 430, Models: map[string]int64{"m": 400},
	})
	g.Expect(l.LoadAdapter(now, "a", 20)).To(Succeed())
	g.Expect(l.StartRun("r1", 50)).To(Succeed())
	g.Expect(l.StartRun("r2", 60)).To(Succeed())
	l.RunProducedOutput("r1")
	l.EndRun("r1", false)
	want := memoryledger.Breakdown{Total: 1000, Models: 400, Loading: 20, KV: 60, Unconfirmed: 50, Unknown: 30, Free: 440}
	g.Expect(l.Breakdown()).To(Equal(want))
	g.Expect(sum(l.Breakdown())).To(Equal(int64(1000)))
}
