package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

func server(id, dc string, resident ...string) Server {
	return Server{
		ID: id, DataCentre: dc, MemoryMB: 100, FreeMB: 100 - 40*int64(len(resident)),
		Resident: resident, Usable: true,
	}
}

func actions(proposals []Proposal) []string {
	var all []string
	for _, p := range proposals {
		all = append(all, fmt.Sprintf("%s %s %s %s", p.Action, p.Model, p.Server, p.Class))
	}
	return all
}

var _ = Describe("a plan", func() {
	x, y, z := Model{Name: "x", MemoryMB: 40}, Model{Name: "y", MemoryMB: 40}, Model{Name: "z", MemoryMB: 40}

	It("guards against a cold model that waits for the copies of others, and against unloading last copies for it", func() {
		in := Input{
			Servers: []Server{server("s1", "a", "x", "y"), server("s2", "b", "y", "x")},
			Models:  []Model{x, y, z}, MaxWeightsFraction: 1, LoadBudget: 2,
		}
		in.Models[1].Rate = 5
		Expect(actions(Plan(in))).To(Equal([]string{"unload x s1 spread"}))
		in.Servers[0].Unloading = []string{"x"}
		Expect(Plan(in)).To(BeEmpty(), "the unload in progress frees enough memory")
		in.Servers[0] = server("s1", "a", "y")
		Expect(actions(Plan(in))).To(Equal([]string{"load z s1 reachable"}))
		in.Servers[0] = server("s1", "a", "y", "z")
		in.Servers[1] = server("s2", "b", "x", "x2")
		Expect(Plan(in)).To(BeEmpty(), "only last copies and an unknown model remain")
	})

	It("guards against copies of models that nobody asks for in the place of copies that callers wait for", func() {
		in := Input{
			Servers: []Server{server("s1", "a", "x", "y"), server("s2", "a", "x", "z")},
			Models:  []Model{x, y, z}, MaxWeightsFraction: 1, LoadBudget: 2, OneDataCentre: true,
		}
		in.Models[1].Rate, in.Models[1].Copies = 5, 2
		in.Servers[0].Nearby, in.Servers[1].Nearby = []string{"x", "z"}, []string{"x", "z"}
		Expect(actions(Plan(in))).To(Equal([]string{"unload x s2 surplus"}), "the last copy of z stays")
		in.Models[0].Dormant, in.Models[2].Dormant = true, true
		Expect(actions(Plan(in))).To(Equal([]string{"unload x s2 surplus"}), "the last copy stays even if the model is dormant")
		in.Servers[0], in.Servers[1] = server("s1", "a", "y", "w"), server("s2", "a", "y", "w")
		Expect(Plan(in)).To(BeEmpty(), "no room is made for dormant models")
		in.Models[2].Dormant = false
		in.Models = append(in.Models, Model{Name: "w", MemoryMB: 40, Rate: 1, Copies: 1})
		Expect(actions(Plan(in))).To(Equal([]string{"unload w s1 surplus"}), "z is no longer dormant")
	})

	It("guards against both copies in one data centre and against unused memory while demand waits", func() {
		in := Input{
			Servers: []Server{server("s1", "a", "x"), server("s2", "a"), server("s3", "b")},
			Models:  []Model{x}, MaxWeightsFraction: 1, LoadBudget: 5,
		}
		in.Models[0].Copies = 3
		Expect(actions(Plan(in))).To(Equal([]string{"load x s3 spread", "load x s2 demand"}))
		in.LoadBudget = 1
		Expect(Plan(in)).To(HaveLen(1), "limited by the load budget")
		in.Servers[2].Usable = false
		Expect(actions(Plan(in))).To(Equal([]string{"load x s2 demand"}))
	})

	It("guards against an adapter away from its base model, and a base model unloaded below its adapter", func() {
		adapter := Model{Name: "xa", Base: "x", MemoryMB: 5}
		in := Input{
			Servers: []Server{server("s1", "a", "x"), server("s2", "b", "y"), server("s3", "b", "x", "y")},
			Models:  []Model{x, y, adapter, z}, MaxWeightsFraction: 1, AdapterLoadBudget: 16,
		}
		in.Models[1].MinCopies, in.Models[3].MinCopies = 1, 1
		Expect(actions(Plan(in))).To(Equal([]string{"load xa s1 reachable", "load xa s3 spread"}))
		in.Servers = []Server{
			server("s1", "a", "x", "y", "xa"), server("s2", "b", "x", "y", "xa"),
		}
		in.Servers[0].FreeMB, in.Servers[1].FreeMB = 15, 15
		in.Models[0].Rate, in.Models[1].Rate, in.LoadBudget = 0, 9, 1
		Expect(actions(Plan(in))).To(Equal([]string{"unload xa s1 spread", "unload x s1 spread"}))
	})

	It("guards against a second unload of a copy that is already unloading, and orders for a closed server", func() {
		in := Input{
			Servers: []Server{server("s1", "a", "x", "y"), server("s2", "b", "x", "y"), server("s3", "a", "x")},
			Models:  []Model{x, y, {Name: "z", MemoryMB: 90}}, MaxWeightsFraction: 1, LoadBudget: 1,
		}
		in.Servers[0].Unloading = []string{"x"}
		in.Servers[1].AcceptsNoOrders, in.Servers[2].AcceptsNoOrders = true, true
		Expect(actions(Plan(in))).To(Equal([]string{"unload y s1 surplus"}))
		in.Servers[0].AcceptsNoOrders = true
		Expect(Plan(in)).To(BeEmpty())
	})

	It("guards against weights that leave no memory for the cache", func() {
		in := Input{Servers: []Server{server("s1", "a", "x")}, Models: []Model{x, y}, MaxWeightsFraction: 0.7, LoadBudget: 5}
		Expect(Plan(in)).To(BeEmpty())
	})
})

var _ = Describe("demand", func() {
	It("guards against copies that come and go with a rate near a boundary, and against a late rise", func() {
		d := NewCopyEstimator(DemandOptions{TokensPerCopy: 100, Smoothing: 10 * time.Second, Hold: time.Minute})
		changes, last := 0, 0
		for i := range 600 {
			d.Observe(time.Duration(i)*time.Second, "m", 195+10*int64(i%2), time.Second)
			if d.Copies("m") != last {
				changes, last = changes+1, d.Copies("m")
			}
		}
		Expect(changes).To(BeNumerically("<=", 3))
		for i := range 20 {
			d.Observe(600*time.Second+time.Duration(i)*time.Second, "m", 2000, time.Second)
		}
		Expect(d.Copies("m")).To(BeNumerically(">=", 15))
		for i := range 3000 {
			d.Observe(700*time.Second+time.Duration(i)*time.Second, "m", 0, time.Second)
		}
		Expect(d.Copies("m")).To(BeNumerically("<=", 1))
	})
})

type simulation struct {
	t       *rapid.T
	in      Input
	memory  map[string]int64
	pending []Proposal
}

func (s *simulation) server(id string) *Server {
	i := slices.IndexFunc(s.in.Servers, func(x Server) bool { return x.ID == id })
	return &s.in.Servers[i]
}

func (s *simulation) resident(model string) int {
	n := 0
	for _, x := range s.in.Servers {
		if x.Usable && slices.Contains(x.Resident, model) && !slices.Contains(x.Unloading, model) {
			n++
		}
	}
	return n
}

// propose plans, marks the proposals as ordered and checks the invariants that hold at any time.
func (s *simulation) propose() {
	for _, p := range Plan(s.in) {
		x := s.server(p.Server)
		if !x.Usable {
			s.t.Fatalf("proposal for a server that is not usable: %+v", p)
		}
		if slices.Contains(append(slices.Clone(x.Loading), x.Unloading...), p.Model) {
			s.t.Fatalf("second proposal for a change in progress: %+v", p)
		}
		if p.Action == Unload {
			x.Unloading = append(x.Unloading, p.Model)
			if s.resident(p.Model) == 0 {
				s.t.Fatalf("unload of the last copy: %+v", p)
			}
		} else {
			x.Loading = append(x.Loading, p.Model)
		}
		s.pending = append(s.pending, p)
		used := int64(0)
		for _, name := range append(slices.Clone(x.Resident), x.Loading...) {
			used += s.memory[name]
		}
		if used > x.MemoryMB {
			s.t.Fatalf("%d MB of weights at a server of %d MB after %+v", used, x.MemoryMB, p)
		}
	}
}

// finish completes an order, or drops it if it was lost.
func (s *simulation) finish(i int, lost bool) {
	p := s.pending[i]
	s.pending = slices.Delete(s.pending, i, i+1)
	x := s.server(p.Server)
	drop := func(name string) bool { return name == p.Model }
	x.Loading = slices.DeleteFunc(x.Loading, func(n string) bool { return p.Action == Load && drop(n) })
	x.Unloading = slices.DeleteFunc(x.Unloading, func(n string) bool { return p.Action == Unload && drop(n) })
	switch {
	case lost:
	case p.Action == Load:
		x.Resident = append(x.Resident, p.Model)
		x.FreeMB -= s.memory[p.Model]
	default:
		x.Resident = slices.DeleteFunc(x.Resident, drop)
		x.FreeMB += s.memory[p.Model]
	}
}

// TestPlanSequences guards against unloading a last copy, exceeding the memory, and leaving a model unreachable although
// it fits, while demand changes, servers become usable and unusable, and orders are lost. Models always fit if each takes
// at most half a server and all together take at most half of all memory.
func TestPlanSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, memory: make(map[string]int64)}
		s.in = Input{MaxWeightsFraction: 1, LoadBudget: 2, AdapterLoadBudget: 4}
		servers := rapid.IntRange(2, 8).Draw(t, "servers")
		for i := range servers {
			x := server(fmt.Sprint("s", i), fmt.Sprint("d", i%3))
			s.in.Servers = append(s.in.Servers, x)
		}
		for total, i := int64(0), 0; ; i++ {
			m := Model{Name: fmt.Sprint("m", i), MemoryMB: rapid.Int64Range(5, 50).Draw(t, "mb")}
			m.MinCopies = rapid.IntRange(0, 3).Draw(t, "min")
			if total += m.MemoryMB; total > int64(servers)*50 {
				break
			}
			s.in.Models = append(s.in.Models, m)
			s.memory[m.Name] = m.MemoryMB
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.step()
		}
		for i := range s.in.Servers {
			s.in.Servers[i].Usable = true
		}
		for range 40 * (len(s.in.Models) + 1) {
			s.propose()
			if len(s.pending) == 0 {
				break
			}
			for len(s.pending) > 0 {
				s.finish(0, false)
			}
		}
		for _, m := range s.in.Models {
			if s.resident(m.Name) == 0 {
				t.Fatalf("model %s of %d MB has no resident copy: %+v", m.Name, m.MemoryMB, s.in.Servers)
			}
		}
		if again := Plan(s.in); len(again) > 0 {
			t.Fatalf("placement does not converge under constant demand: %+v", again)
		}
	})
}

func (s *simulation) step() {
	switch rapid.IntRange(0, 5).Draw(s.t, "action") {
	case 0:
		m := &s.in.Models[rapid.IntRange(0, len(s.in.Models)-1).Draw(s.t, "model")]
		m.Copies = rapid.IntRange(0, 6).Draw(s.t, "copies")
		m.Rate = float64(m.Copies * 10)
	case 1:
		x := &s.in.Servers[rapid.IntRange(0, len(s.in.Servers)-1).Draw(s.t, "server")]
		x.Usable = !x.Usable
	case 2, 3:
		if len(s.pending) > 0 {
			i := rapid.IntRange(0, len(s.pending)-1).Draw(s.t, "order")
			s.finish(i, rapid.Bool().Draw(s.t, "lost"))
		}
	default:
		s.propose()
	}
}

// fullSize returns 230 models on 1,900 servers in 7 data centres with skewed demand. If full is set, the memory is full
// and no need for more copies can be met, which is the slowest case.
func fullSize(full bool) Input {
	random := rand.New(rand.NewPCG(1, 2))
	in := Input{MaxWeightsFraction: 0.7, LoadBudget: 4, AdapterLoadBudget: 16}
	for i := range 230 {
		m := Model{Name: fmt.Sprintf("m%03d", i), MemoryMB: 8000 + random.Int64N(12000), MinCopies: 2}
		m.Rate = 40000 / float64(i+1)
		m.Copies = 1 + int(m.Rate/200)
		if full {
			m.Copies = 60
		}
		in.Models = append(in.Models, m)
	}
	for i := range 1900 {
		x := Server{ID: fmt.Sprintf("s%04d", i), DataCentre: fmt.Sprint("d", i%7), MemoryMB: 80000, FreeMB: 80000, Usable: true}
		in.Servers = append(in.Servers, x)
	}
	for id, names := range Static(in.Servers[:1890], in.Models) {
		var i int
		_, _ = fmt.Sscanf(id, "s%d", &i)
		keep := min(len(names), 2)
		if full {
			keep = min(len(names), 3)
		}
		in.Servers[i].Resident = names[:keep]
	}
	return in
}

func BenchmarkPlan(b *testing.B) {
	for _, full := range []bool{false, true} {
		b.Run(fmt.Sprintf("models=230/servers=1900/full=%t", full), func(b *testing.B) {
			in := fullSize(full)
			b.ReportAllocs()
			for b.Loop() {
				Plan(in)
			}
		})
	}
}
