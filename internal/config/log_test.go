package config_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

func entity(value any, version int64) config.Entity {
	e, err := config.NewEntity(value)
	if err != nil {
		panic(err)
	}
	e.Version = version
	return e
}

func organisation(name string, rate float64, version int64) config.Entity {
	return entity(config.Organisation{Name: name, Rate: rate, Burst: 10}, version)
}

func change(id string, base int64, entities ...config.Entity) config.Change {
	return config.Change{ID: id, Author: "amira", Reason: "test", Version: base, Entities: entities}
}

var _ = Describe("change log", func() {
	ctx := context.Background()
	var store *tablestore.Memory
	var log *config.Log
	BeforeEach(func() {
		store = tablestore.NewMemory()
		log = config.NewLog(store)
		Expect(log.Accept(ctx, change("c1", 0, organisation("a", 1, 0)))).To(Equal(int64(1)))
	})

	rate := func(name string) float64 {
		s, err := log.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		o, _ := s.Organisation(name)
		return o.Rate
	}

	// Guards against one operator overwriting another's change: the later change is rejected, and the error
	// lists what was accepted in between.
	It("accepts one of two changes made on the same view", func() {
		Expect(log.Accept(ctx, change("c2", 1, organisation("a", 2, 1)))).To(Equal(int64(2)))
		_, err := log.Accept(ctx, change("c3", 1, organisation("a", 3, 1)))
		var conflict *config.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.Head).To(Equal(int64(2)))
		Expect(conflict.Changes).To(HaveLen(1))
		Expect(conflict.Changes[0].ID).To(Equal("c2"))
		Expect(rate("a")).To(Equal(2.0))
	})

	// Guards against a race between the version check and the write.
	It("accepts exactly one of many racing operators", func() {
		const operators = 8
		outcomes := make(chan error, operators)
		for i := range operators {
			go func() {
				_, err := log.Accept(ctx, change(fmt.Sprint("r", i), 1, organisation("a", float64(10+i), 1)))
				outcomes <- err
			}()
		}
		accepted := 0
		for range operators {
			var conflict *config.ConflictError
			if err := <-outcomes; err == nil {
				accepted++
			} else {
				Expect(errors.As(err, &conflict)).To(BeTrue())
				Expect(conflict.Changes).To(HaveLen(1))
			}
		}
		Expect(accepted).To(Equal(1))
		Expect(log.Head(ctx)).To(Equal(int64(2)))
	})

	// Guards against a change that is applied twice or rejected by mistake after the answer of a write was lost.
	It("resolves a lost answer by the change ID", func() {
		store.LoseAnswers(1)
		Expect(log.Accept(ctx, change("c2", 1, organisation("a", 2, 1)))).To(Equal(int64(2)))
		Expect(log.Head(ctx)).To(Equal(int64(2)))
		Expect(store.Applied()).To(Equal(2))
	})

	// Guards against reporting "not accepted" while the write may still have taken effect.
	It("reports an unknown outcome when the service fails after a lost answer, and a retry finds the change", func() {
		unresolved := tablestore.ErrUnavailable
		store.LoseAnswers(1)
		base := store.Calls()
		_, err := log.Find(ctx, "none")
		Expect(err).To(MatchError(tablestore.ErrNotFound))
		_, err = log.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		readsBeforeWrite := store.Calls() - base // reads by Accept before its write
		for n := readsBeforeWrite + 2; n < readsBeforeWrite+12; n++ {
			store.FailCall(n, unresolved)
		}
		_, err = log.Accept(ctx, change("c2", 1, organisation("a", 2, 1)))
		var unknown *config.OutcomeUnknownError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		for range 12 {
			_, _ = log.Head(ctx)
		}
		Expect(log.Accept(ctx, change("c2", 1, organisation("a", 2, 1)))).To(Equal(int64(2)))
		Expect(log.Head(ctx)).To(Equal(int64(2)))
	})

	It("returns the first version for a repeat and refuses another change under the same ID", func() {
		Expect(log.Accept(ctx, change("c2", 1, organisation("b", 2, 0)))).To(Equal(int64(2)))
		Expect(log.Accept(ctx, change("c3", 2, organisation("b", 3, 2)))).To(Equal(int64(3)))
		Expect(log.Accept(ctx, change("c2", 1, organisation("b", 2, 0)))).To(Equal(int64(2)))
		Expect(rate("b")).To(Equal(3.0))
		_, err := log.Accept(ctx, change("c2", 3, organisation("b", 9, 3)))
		Expect(err).To(MatchError(config.ErrChangeIDReused))
	})

	It("accepts nothing while the service is unavailable", func() {
		store.SetUnavailable(true)
		_, err := log.Accept(ctx, change("c2", 1, organisation("a", 2, 1)))
		Expect(err).To(MatchError(tablestore.ErrUnavailable))
		store.SetUnavailable(false)
		Expect(log.Head(ctx)).To(Equal(int64(1)))
	})

	// Guards against losing changes at the boundary between two pages.
	It("catches up over several pages to the same state as a full load", func() {
		old, err := log.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		for i := range config.MaxChangesPerPage + 3 {
			head := int64(i + 1)
			name := fmt.Sprint("o", i%7)
			current, err := log.Load(ctx)
			Expect(err).NotTo(HaveOccurred())
			existing, _ := current.Entity(config.EntityID{Kind: config.KindOrganisation, Name: name})
			Expect(log.Accept(ctx, change(fmt.Sprint("p", i), head, organisation(name, float64(i+1), existing.Version)))).
				To(Equal(head + 1))
		}
		caughtUp, err := log.CatchUp(ctx, old)
		Expect(err).NotTo(HaveOccurred())
		loaded, err := log.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(caughtUp.Version()).To(Equal(int64(config.MaxChangesPerPage + 4)))
		Expect(caughtUp.Organisations()).To(Equal(loaded.Organisations()))
	})

	It("records what a change replaced", func() {
		Expect(log.Accept(ctx, change("c2", 1, organisation("a", 2, 1)))).To(Equal(int64(2)))
		c, err := log.Change(ctx, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Before).To(HaveLen(1))
		Expect(string(c.Before[0].Value)).To(ContainSubstring(`"rate":1`))
	})
})

var _ = Describe("validation", func() {
	digest := config.Digest("secret")
	base := func() *config.Snapshot {
		s, err := new(config.Snapshot).Apply(1, []config.Entity{
			organisation("crews", 1, 1),
			entity(config.Profile{Name: "p", Class: config.ClassBatch, DeadlineMS: 1}, 1),
			entity(config.Service{Name: "s", Kind: config.ServiceModel, Profile: "p"}, 1),
			entity(config.Service{Name: "plain", Kind: config.ServicePlain, Profile: "p"}, 1),
			entity(config.Model{Name: "m", Service: "s", MemoryMB: 1}, 1),
			entity(config.Model{Name: "ad", Service: "s", Base: "m"}, 1),
			entity(config.DataCentre{Name: "d1", Region: "r"}, 1),
			entity(config.DataCentre{Name: "d2", Region: "r", OutOfService: true}, 1),
			entity(config.Key{ID: "k", Organisation: "crews", Digest: digest}, 1),
			entity(config.Key{ID: "gone", Organisation: "crews", Digest: config.Digest("x"), Withdrawn: true}, 1),
		})
		Expect(err).NotTo(HaveOccurred())
		return s
	}

	DescribeTable("a wrong change is refused with its reason",
		func(e config.Entity, reason string) {
			Expect(config.Validate(base(), []config.Entity{e}, false)).To(MatchError(ContainSubstring(reason)))
		},
		Entry("rate", organisation("o", 0, 0), "rate must be above zero"),
		Entry("burst", entity(config.Organisation{Name: "o", Rate: 1}, 0), "burst must be above zero"),
		Entry("name", organisation("a/b", 1, 0), "name is not allowed"),
		Entry("missing profile", entity(config.Service{Name: "t", Kind: "plain", Profile: "q"}, 0), `profile "q" does not exist`),
		Entry("missing service", entity(config.Model{Name: "n", Service: "t", MemoryMB: 1}, 0), `service "t" does not exist`),
		Entry("model of a plain service",
			entity(config.Model{Name: "n", Service: "plain", MemoryMB: 1}, 0), "not a model service"),
		Entry("adapter of an adapter", entity(config.Model{Name: "n", Service: "s", Base: "ad"}, 0), "itself an adapter"),
		Entry("key of an organisation that does not exist",
			entity(config.Key{ID: "z", Organisation: "q", Digest: config.Digest("z")}, 0), `organisation "q" does not exist`),
		Entry("key with a used digest", entity(config.Key{ID: "z", Organisation: "crews", Digest: digest}, 0), "same digest"),
		Entry("key that is not a digest",
			entity(config.Key{ID: "z", Organisation: "crews", Digest: "secret"}, 0), "not a SHA-256"),
		Entry("withdrawn key reactivated",
			entity(config.Key{ID: "gone", Organisation: "crews", Digest: config.Digest("x")}, 0), "cannot be reactivated"),
		Entry("removal of a used profile",
			config.Entity{Kind: config.KindProfile, Name: "p", Deleted: true}, `profile "p" does not exist`),
		Entry("removal of a used organisation",
			config.Entity{Kind: config.KindOrganisation, Name: "crews", Deleted: true}, "does not exist"),
		Entry("removal of a used base model",
			config.Entity{Kind: config.KindModel, Name: "m", Deleted: true}, `base model "m" does not exist`),
		Entry("last data centre out", entity(config.DataCentre{Name: "d1", Region: "r", OutOfService: true}, 0),
			"no other data centre"),
		Entry("last data centre removed",
			config.Entity{Kind: config.KindDataCentre, Name: "d1", Deleted: true}, "no other data centre"),
		Entry("value of another name",
			config.Entity{Kind: config.KindOrganisation, Name: "o", Value: []byte(`{"name":"x","rate":1,"burst":1}`)},
			`the name in the value is "x"`),
	)

	It("takes the last data centre out with force", func() {
		e := entity(config.DataCentre{Name: "d1", Region: "r", OutOfService: true}, 0)
		Expect(config.Validate(base(), []config.Entity{e}, true)).To(Succeed())
	})
})

// Guards against entities that revert to an older version when deltas arrive late, twice or out of order.
func TestApplyAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type delta struct {
			version  int64
			entities []config.Entity
		}
		newest := make(map[string]config.Entity)
		var deltas []delta
		for v := int64(1); v <= rapid.Int64Range(1, 12).Draw(t, "versions"); v++ {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			e := organisation(name, float64(v), v)
			if rapid.Bool().Draw(t, "deleted") {
				e = config.Entity{Kind: config.KindOrganisation, Name: name, Version: v, Deleted: true}
			}
			newest[name] = e
			deltas = append(deltas, delta{v, []config.Entity{e}})
		}
		order := rapid.Permutation(append(deltas, deltas...)).Draw(t, "order")
		s := new(config.Snapshot)
		for _, d := range order {
			next, err := s.Apply(d.version, d.entities)
			if err != nil {
				t.Fatal(err)
			}
			if next.Version() < s.Version() {
				t.Fatalf("version fell from %d to %d", s.Version(), next.Version())
			}
			s = next
		}
		for name, want := range newest {
			got, _ := s.Entity(want.ID())
			o, exists := s.Organisation(name)
			if got.Version != want.Version || exists == want.Deleted || exists && o.Rate != float64(want.Version) {
				t.Fatalf("%s: got version %d, rate %v, want version %d", name, got.Version, o.Rate, want.Version)
			}
		}
	})
}
