package discovery_test

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/rowversion"
	"github.com/pomelowheel/pomelowheel/platform"
)

const (
	// inForceTime is the time in which a confirmed change has to be in force.
	inForceTime = 2 * time.Second
	// settleTime is longer than the gateways' RewriteGrace.
	settleTime = 2300 * time.Millisecond
)

// bornEntry is an entry of the server list that tells its incarnation and its sequence number.
func bornEntry(state string, born, sequence int) []byte {
	return fmt.Appendf(nil, `{"service":"s","address":"10.0.0.1:80","zone":"a","state":%q,"slots":4,"born":%d,"sequence":%d}`, state, born, sequence)
}

func (g *gateway) draining(id string) bool {
	r := g.view.Snapshot().Replicas[id]
	return r != nil && r.Draining
}

// sequence returns the sequence number of a server's entry, or zero if it is not listed.
func (g *gateway) sequence(id string) int64 {
	if r := g.view.Snapshot().Replicas[id]; r != nil {
		return r.Sequence
	}
	return 0
}

func (g *gateway) lists(id string) bool { return g.view.Snapshot().Replicas[id] != nil }

// passesOn reports whether other gateways would get an entry of a server.
func (g *gateway) passesOn(id string) bool {
	return slices.ContainsFunc(g.follower.Rows(), func(r platform.Row) bool {
		return r.Table == platform.TableServers && r.Key == id && !r.Deleted
	})
}

func (g *gateway) out(dataCentre string) bool { return g.view.Snapshot().OutOfService[dataCentre] }

// usable reports whether new requests may be sent to a server.
func (g *gateway) usable(id string) bool {
	s := g.view.Snapshot()
	r := s.Replicas[id]
	return r != nil && s.Usable(r)
}

// write raises the store's version.
func write(store *fake.Store, rows int) {
	for i := range rows {
		store.Put("status", fmt.Sprint("row-", i), []byte("{}"))
	}
}

var _ = Describe("after the store was restored from a copy", func() {
	var store *fake.Store
	var g *gateway
	var taken fake.Copy
	notRewritten := fake.Restore{RewriteAfter: -1}

	BeforeEach(func() {
		store = fake.NewStore()
		configure(store, 3)
		store.Put("servers", "i-1", bornEntry("ready", 1000, 1))
		store.Put("servers", "i-2", bornEntry("ready", 1000, 1))
		g = newGateway(store)
		Eventually(g.version, eventuallyTimeout).Should(BeEquivalentTo(3))
		Eventually(g.servers, eventuallyTimeout).Should(Equal(2))
		taken = store.TakeCopy()
		write(store, 20)
	})

	// Guards against requests that are handled by an older configuration for ever, because the row of the newer one has a version of
	// the store that is below that of before its restore.
	DescribeTable("a new configuration is in force", func(how fake.Restore) {
		configure(store, 5)
		Eventually(g.version, eventuallyTimeout).Should(BeEquivalentTo(5))
		store.RestoreFrom(taken, how)
		configure(store, 8)
		Eventually(g.version, inForceTime).Should(BeEquivalentTo(8))
	},
		Entry("after an outage", fake.Restore{Away: time.Second}),
		Entry("without an outage", fake.Restore{}),
		Entry("before the earlier one was written again", notRewritten),
	)

	// Guards against a reader that gets no status 410, because the versions have passed its own, and misses all changes below.
	It("a reader whose version the store has passed misses no change", func() {
		g.reads.Store(false)
		time.Sleep(inForceTime) // until the calls in progress end
		store.RestoreFrom(taken, notRewritten)
		configure(store, 8)
		store.Put("op", "evacuate/b", []byte("{}"))
		store.Put("servers", "i-3", bornEntry("ready", 2000, 1))
		write(store, 40)
		g.reads.Store(true)
		Eventually(g.version, inForceTime).Should(BeEquivalentTo(8))
		Eventually(func() bool { return g.out("b") }, inForceTime).Should(BeTrue())
		Eventually(func() bool { return g.lists("i-3") }, inForceTime).Should(BeTrue())
	})

	// Guards against requests to servers that leave, because their entries have versions below those of before the restore.
	It("a server that drains or is removed gets no requests", func() {
		store.Put("servers", "i-1", bornEntry("ready", 1000, 2))
		store.Put("servers", "i-2", bornEntry("ready", 1000, 2))
		Eventually(func() []int64 { return []int64{g.sequence("i-1"), g.sequence("i-2")} }, eventuallyTimeout).Should(Equal([]int64{2, 2}))
		write(store, 20)
		store.RestoreFrom(taken, notRewritten)
		store.Put("servers", "i-1", bornEntry("ready", 1000, 3))
		store.Put("servers", "i-2", bornEntry("ready", 1000, 3))
		time.Sleep(settleTime)
		store.Put("servers", "i-1", bornEntry("draining", 1000, 4))
		Eventually(func() bool { return g.draining("i-1") }, inForceTime).Should(BeTrue())
		store.Remove("servers", "i-2")
		Eventually(func() bool { return g.lists("i-2") }, inForceTime).Should(BeFalse())
	})

	// Guards against states of before the copy that come into force again at gateways that know later ones.
	It("earlier states of the copy do not come into force", func() {
		configure(store, 5)
		store.Put("op", "evacuate/b", []byte("{}"))
		store.Put("servers", "i-1", bornEntry("draining", 1000, 2))
		store.Remove("servers", "i-2")
		Eventually(g.version, eventuallyTimeout).Should(BeEquivalentTo(5))
		Eventually(func() bool { return g.out("b") && g.draining("i-1") && !g.lists("i-2") }, eventuallyTimeout).Should(BeTrue())
		store.RestoreFrom(taken, fake.Restore{Away: 100 * time.Millisecond, RewriteAfter: -1})
		Consistently(func() string { return fmt.Sprint(g.version(), g.out("b"), g.draining("i-1"), g.usable("i-2")) },
			800*time.Millisecond, 10*time.Millisecond).Should(Equal("5 true true false"))
		store.Put("op", "evacuate/b", []byte("{}"))
		store.Remove("servers", "i-2")
		Consistently(func() string { return fmt.Sprint(g.version(), g.out("b"), g.draining("i-1"), g.usable("i-2")) },
			settleTime, 10*time.Millisecond).Should(Equal("5 true true false"))
	})

	// Guards against a server that was removed and gets requests again, in a state that it had before its last one.
	It("an earlier state of a removed server does not come into force, however long the copy has it", func() {
		store.Put("servers", "i-2", bornEntry("ready", 1000, 2))
		Eventually(func() int64 { return g.sequence("i-2") }, eventuallyTimeout).Should(BeEquivalentTo(2))
		store.Remove("servers", "i-2")
		Eventually(func() bool { return g.lists("i-2") }, eventuallyTimeout).Should(BeFalse())
		store.RestoreFrom(taken, notRewritten)
		Consistently(func() bool { return g.lists("i-2") || g.passesOn("i-2") }, 2*settleTime).Should(BeFalse())
	})

	It("rows that the store lost are kept until they are written again, and removed if they are not", func() {
		store.Put("servers", "lost", bornEntry("ready", 2000, 1))
		store.Put("servers", "again", bornEntry("ready", 2000, 1))
		store.Put("op", "evacuate/b", []byte("{}"))
		Eventually(func() bool { return g.lists("lost") && g.lists("again") && g.out("b") }, eventuallyTimeout).Should(BeTrue())
		store.RestoreFrom(taken, notRewritten)
		Consistently(func() bool { return g.lists("lost") && g.out("b") }, 600*time.Millisecond).Should(BeTrue())
		store.Put("servers", "again", bornEntry("ready", 2000, 1))
		Eventually(func() bool { return g.lists("lost") || g.out("b") }, eventuallyTimeout).Should(BeFalse())
		Expect(g.lists("again")).To(BeTrue())
	})

	It("a server that was removed and writes its entry again is listed again", func() {
		store.Remove("servers", "i-2")
		Eventually(func() bool { return g.lists("i-2") }, eventuallyTimeout).Should(BeFalse())
		store.RestoreFrom(taken, notRewritten)
		store.Put("servers", "i-2", bornEntry("ready", 1000, 1)) // as it was before
		Eventually(func() bool { return g.lists("i-2") }, eventuallyTimeout).Should(BeTrue())
	})

	It("a second restore is recognised while the first one is settling", func() {
		configure(store, 5)
		Eventually(g.version, eventuallyTimeout).Should(BeEquivalentTo(5))
		store.RestoreFrom(taken, fake.Restore{})
		store.RestoreFrom(taken, notRewritten)
		Consistently(g.version, 300*time.Millisecond).Should(BeEquivalentTo(5))
		configure(store, 8)
		Eventually(g.version, inForceTime).Should(BeEquivalentTo(8))
		Eventually(g.follower.Era, eventuallyTimeout).Should(BeEquivalentTo(3))
	})

	// Guards against a gateway that learned of the restore from a peer, and then takes an answer of before it for the present state.
	It("an answer of the earlier era that was under way changes nothing", func() {
		handler := store.Handler()
		var holds atomic.Bool
		held, release := make(chan struct{}), make(chan struct{})
		late := newGatewayBehind(store, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, r)
			if r.URL.Query().Get("table") == "op" && strings.Contains(recorder.Body.String(), "config") && holds.CompareAndSwap(true, false) {
				close(held)
				<-release
			}
			maps.Copy(w.Header(), recorder.Header())
			w.WriteHeader(recorder.Code)
			_, _ = w.Write(recorder.Body.Bytes())
		}))
		Eventually(late.version, eventuallyTimeout).Should(BeEquivalentTo(3))
		holds.Store(true)
		configure(store, 5)
		Eventually(held, eventuallyTimeout).Should(BeClosed())
		store.RestoreFrom(taken, notRewritten)
		configure(store, 8)
		Eventually(g.version, inForceTime).Should(BeEquivalentTo(8))
		late.follower.Apply(g.follower.Rows(), false)
		Expect(late.version()).To(BeEquivalentTo(8))
		close(release)
		Consistently(late.version, 500*time.Millisecond).Should(BeEquivalentTo(8))
		Expect(late.follower.Era()).To(BeEquivalentTo(2))
		configure(store, 9)
		Eventually(late.version, inForceTime).Should(BeEquivalentTo(9), "it reads on in the new era")
	})

	Describe("rows from peers", func() {
		version := func(era, number int64) int64 {
			GinkgoHelper()
			v, err := rowversion.Join(era, number)
			Expect(err).NotTo(HaveOccurred())
			return v
		}
		row := func(key string, v int64, value []byte) platform.Row {
			return platform.Row{Table: platform.TableServers, Key: key, Value: value, Version: v, Deleted: value == nil}
		}

		BeforeEach(func() {
			g.reads.Store(false)
			time.Sleep(inForceTime)
			g.follower.Apply([]platform.Row{row("i-1", version(2, 3), bornEntry("ready", 1000, 5))}, false)
			Expect(g.follower.Era()).To(BeEquivalentTo(2))
		})

		// Guards against a gateway that was paused and brings the rows of before the restore.
		It("of an earlier era change nothing that was written again", func() {
			g.follower.Apply([]platform.Row{row("i-1", version(1, 900), nil), row("i-1", version(1, 901), bornEntry("ready", 900, 7))}, false)
			Expect(g.lists("i-1")).To(BeTrue())
			Expect(g.view.Snapshot().Replicas["i-1"].Born).To(BeEquivalentTo(1000))
		})

		It("of an earlier era are taken if their writer wrote them later", func() {
			g.follower.Apply([]platform.Row{row("i-1", version(1, 900), bornEntry("draining", 1000, 6))}, false)
			Expect(g.draining("i-1")).To(BeTrue())
		})

		It("of an earlier era that were removed do not come back", func() {
			g.follower.Apply([]platform.Row{row("i-1", version(2, 9), nil)}, false)
			Eventually(func() bool { return g.lists("i-1") }, eventuallyTimeout).Should(BeFalse())
			g.follower.Apply([]platform.Row{row("i-1", version(1, 900), bornEntry("ready", 1000, 8))}, false)
			Expect(g.lists("i-1")).To(BeFalse())
		})

		// Guards against a removed server that comes back because a row that could not be ordered was kept after a list without it.
		It("that cannot be ordered are dropped if a list lacks them", func() {
			g.follower.Apply([]platform.Row{row("i-2", version(1, 900), nil), row("i-2", version(2, 4), bornEntry("ready", 1000, 1))}, false)
			Eventually(func() bool { return g.lists("i-2") }, eventuallyTimeout).Should(BeFalse())
			store.RestoreFrom(fake.NewStore().TakeCopy(), notRewritten)
			configure(store, 3)
			write(store, 20)
			g.reads.Store(true)
			Consistently(func() bool { return g.lists("i-2") }, settleTime).Should(BeFalse())
		})

		// Guards against a change of the operator that waits, although it was written after the restore.
		It("that cannot be ordered are applied when they are written a second time in the era", func() {
			evacuation := func(v int64, deleted bool) []platform.Row {
				return []platform.Row{{Table: platform.TableOperator, Key: "evacuate/b", Value: []byte("{}"), Version: v, Deleted: deleted}}
			}
			g.follower.Apply(evacuation(version(1, 900), true), false)
			g.follower.Apply(evacuation(version(2, 4), false), false)
			Expect(g.out("b")).To(BeFalse())
			g.follower.Apply(evacuation(version(2, 9), false), false)
			Expect(g.out("b")).To(BeTrue())
		})

		It("of an earlier era are not added once the table was listed in a later one", func() {
			store.RestoreFrom(taken, notRewritten)
			store.Put("servers", "i-3", bornEntry("ready", 2000, 1))
			g.reads.Store(true)
			Eventually(func() bool { return g.lists("i-3") }, eventuallyTimeout).Should(BeTrue())
			g.follower.Apply([]platform.Row{row("ghost", version(1, 900), bornEntry("ready", 3000, 1))}, false)
			Expect(g.lists("ghost")).To(BeFalse())
		})
	})
})

var _ = Describe("a store without eras", func() {
	It("is followed as before", func() {
		store := fake.NewStore().WithoutEra()
		configure(store, 3)
		g := newGateway(store)
		Eventually(g.version, eventuallyTimeout).Should(BeEquivalentTo(3))
		configure(store, 4)
		store.Put("servers", "i-1", entry("10.0.0.1:80"))
		Eventually(g.version, eventuallyTimeout).Should(BeEquivalentTo(4))
		Eventually(g.servers, eventuallyTimeout).Should(Equal(1))
		store.Remove("servers", "i-1")
		Eventually(g.servers, eventuallyTimeout).Should(Equal(0))
		Expect(g.follower.Era()).To(BeZero())
	})
})
