package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

var now = time.Unix(1000, 0)

func replica(address string, change func(r *route.Replica)) route.Replica {
	r := route.Replica{
		Address: address, DataCentre: "gulberg", Service: "s", Resident: []string{"m"}, Limit: 8, Ready: true, StatusAt: now,
	}
	if change != nil {
		change(&r)
	}
	return r
}

func table(replicas ...route.Replica) *route.Table {
	t := route.NewTable()
	for _, r := range replicas {
		t.Set(r)
	}
	return t
}

func request() route.Request {
	return route.Request{Service: "s", Model: "m", DataCentre: "gulberg", MaxAge: 5 * time.Second, Count: 2}
}

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

var _ = Describe("the load policy", func() {
	choose := func(r route.Request, replicas ...route.Replica) string {
		return table(replicas...).Choose(now, r, route.PolicyLoad, source()).Chosen()
	}

	DescribeTable("prefers b because a",
		func(a func(r *route.Replica)) {
			Expect(choose(request(), replica("a", a), replica("b", nil))).To(Equal("b"))
		},
		Entry("is stale", func(r *route.Replica) { r.StatusAt = now.Add(-6 * time.Second) }),
		Entry("drains", func(r *route.Replica) { r.Draining = true }),
		Entry("is in a data centre out of service", func(r *route.Replica) { r.DataCentreOut = true }),
		Entry("is not ready", func(r *route.Replica) { r.Ready = false }),
		Entry("lacks the model", func(r *route.Replica) { r.Resident = []string{"x"} }),
		Entry("belongs to another service", func(r *route.Replica) { r.Service = "x" }),
		Entry("has a longer queue", func(r *route.Replica) { r.QueueMS = 400 }),
		Entry("is at its limit", func(r *route.Replica) { r.Running = 8 }),
		Entry("is in another data centre", func(r *route.Replica) { r.DataCentre = "model-town" }),
	)

	It("chooses a replica in another data centre when the local one has a long queue", func() {
		Expect(choose(request(), replica("a", func(r *route.Replica) { r.QueueMS = 900 }),
			replica("b", func(r *route.Replica) { r.DataCentre = "model-town" }))).To(Equal("b"))
	})

	It("prefers a replica with the cached prefix unless it is at its limit", func() {
		r := request()
		r.PrefixHash = "p"
		hit := func(running int64) route.Replica {
			return replica("a", func(r *route.Replica) { r.Prefixes = []string{"p"}; r.Running = running })
		}
		Expect(choose(r, hit(2), replica("b", nil))).To(Equal("a"))
		Expect(choose(r, hit(8), replica("b", nil))).To(Equal("b"))
	})

	It("counts its own requests that the status does not show yet", func() {
		t := table(replica("a", nil), replica("b", func(r *route.Replica) { r.Running = 1 }))
		for range 4 {
			t.Start("a")
		}
		Expect(t.Choose(now, request(), route.PolicyLoad, source()).Chosen()).To(Equal("b"))
	})

	It("serves an adapter where it is loaded or where its base is resident", func() {
		r := request()
		r.Model, r.Base = "ad", "m"
		Expect(choose(r, replica("a", nil), replica("b", func(r *route.Replica) { r.Adapters = []string{"ad"} }))).To(Equal("b"))
		Expect(choose(r, replica("a", nil))).To(Equal("a"))
	})

	It("excludes data centres out of service and addresses already tried, and gives the reason", func() {
		r := request()
		r.OutDataCentres = []string{"gulberg"}
		d := table(replica("a", nil)).Choose(now, r, route.PolicyLoad, source())
		Expect(d.Chosen()).To(BeEmpty())
		Expect(d.Reason).To(ContainSubstring("data centre out:1"))
		r = request()
		r.Tried = []string{"a"}
		Expect(choose(r, replica("a", nil), replica("b", nil))).To(Equal("b"))
	})
})

var _ = Describe("the other policies", func() {
	It("takes turns, takes the least in flight, and probes a bounded number", func() {
		t := table(replica("a", nil), replica("b", nil), replica("c", nil))
		var turns []string
		for range 6 {
			turns = append(turns, t.Choose(now, request(), route.PolicyRoundRobin, source()).Chosen())
		}
		Expect(turns).To(Equal([]string{"a", "b", "c", "a", "b", "c"}))
		t.Start("a")
		t.Start("b")
		Expect(t.Choose(now, request(), route.PolicyLeastInFlight, source()).Chosen()).To(Equal("c"))
		Expect(t.Choose(now, request(), route.PolicyProbe, source()).Candidates).To(HaveLen(2))
	})

	It("ignores a status older than the stored one", func() {
		t := table(replica("a", func(r *route.Replica) { r.Draining = true }))
		t.Set(replica("a", func(r *route.Replica) { r.StatusAt = now.Add(-time.Second) }))
		Expect(t.Choose(now, request(), route.PolicyRandom, source()).Chosen()).To(BeEmpty())
	})
})

// TestIndexFollowsResidency guards against an index that loses replicas or keeps removed ones when residency changes:
// after any sequence of Set and Remove, a replica is chosen exactly if an eligible one exists, and it has the model.
func TestIndexFollowsResidency(t *testing.T) {
	policies := []route.Policy{
		route.PolicyLoad, route.PolicyProbe, route.PolicyLeastInFlight, route.PolicyRoundRobin, route.PolicyRandom,
	}
	rapid.Check(t, func(rt *rapid.T) {
		tab, want := route.NewTable(), make(map[string]route.Replica)
		rng := source()
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			address := fmt.Sprintf("r%02d", rapid.IntRange(0, 25).Draw(rt, "address"))
			if rapid.IntRange(0, 4).Draw(rt, "remove") == 0 {
				tab.Remove(address)
				delete(want, address)
				continue
			}
			r := replica(address, func(r *route.Replica) {
				r.Draining = rapid.Bool().Draw(rt, "draining")
				r.Resident = rapid.SliceOfDistinct(rapid.SampledFrom([]string{"m", "n", "o"}), rapid.ID).Draw(rt, "resident")
			})
			tab.Set(r)
			want[address] = r
		}
		eligible := 0
		for _, r := range want {
			if !r.Draining && slices.Contains(r.Resident, "m") {
				eligible++
			}
		}
		for _, p := range policies {
			chosen := tab.Choose(now, request(), p, rng).Chosen()
			if (chosen != "") != (eligible > 0) {
				rt.Fatalf("%s chose %q with %d eligible replicas", p, chosen, eligible)
			}
			if chosen != "" && (want[chosen].Draining || !slices.Contains(want[chosen].Resident, "m")) {
				rt.Fatalf("%s chose %q, which is not eligible", p, chosen)
			}
		}
	})
}

// BenchmarkChoose measures decisions for 230 models on 1,900 replicas. The target is under 20 µs.
func BenchmarkChoose(b *testing.B) {
	const models, replicas = 230, 1900
	rng := source()
	t := route.NewTable()
	for i := range replicas {
		t.Set(replica(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), func(r *route.Replica) {
			r.DataCentre = fmt.Sprintf("dc%d", i%7)
			r.Resident = nil
			for range 2 {
				// Half of the copies are of the 10 models with the most demand.
				m := rng.IntN(models)
				if rng.IntN(2) == 0 {
					m = rng.IntN(10)
				}
				r.Resident = append(r.Resident, fmt.Sprintf("model-%d", m))
			}
			for p := range 32 {
				r.Prefixes = append(r.Prefixes, fmt.Sprintf("%016x", i*100+p))
			}
		}))
	}
	for _, p := range []route.Policy{
		route.PolicyLoad, route.PolicyProbe, route.PolicyLeastInFlight, route.PolicyRoundRobin, route.PolicyRandom,
	} {
		b.Run(string(p), func(b *testing.B) {
			names := make([]string, models)
			for i := range names {
				names[i] = fmt.Sprintf("model-%d", i)
			}
			r := request()
			r.DataCentre, r.PrefixHash = "dc1", "00000000000004b1"
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r.Model = names[i%models]
				i++
				t.Choose(now, r, p, rng)
			}
		})
	}
}
