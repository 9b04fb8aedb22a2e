package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/background"
	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// configVersion returns the version of the configuration in force, or zero.
func (m *fleetMember) configVersion() int64 {
	if c := m.gateway.view.Snapshot().Config; c != nil {
		return c.Version
	}
	return 0
}

// registered returns the number of gateways in the store's table.
func registered(g *WithT, store *fake.Store) int {
	w := httptest.NewRecorder()
	store.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/control/list?table=gateways", nil))
	var page struct {
		Rows []struct{} `json:"rows"`
	}
	g.Expect(json.NewDecoder(w.Body).Decode(&page)).To(Succeed())
	return len(page.Rows)
}

// configureLarge writes a configuration that gateways pass on in parts.
func configureLarge(store *fake.Store, version int64) {
	store.Put("op", "config", fmt.Appendf(nil, `{"version":%d,"padding":%q}`, version, strings.Repeat("x", 64<<10)))
}

// Guards against a configuration that is in force at the gateways that read the store only, against a gateway that starts after the
// store was restored from a copy and acts on what the copy has, and against a gateway that nobody finds because the store lost its row.
func TestAFleetAfterTheStoreWasRestored(t *testing.T) {
	g := NewWithT(t)
	store := fake.NewStore()
	configure(store, 1, "/one/")
	taken := store.TakeCopy() // without a gateway
	const gateways = 5        // two of them do not read the store
	members := []*fleetMember{startFleetMember(t, g, "g0", store)}
	for i := 1; i < gateways; i++ {
		members = append(members, startFleetMember(t, g, fmt.Sprint("g", i), store, members[0].peers))
	}
	versions := func() []int64 {
		list := make([]int64, 0, gateways)
		for _, m := range members {
			list = append(list, m.configVersion())
		}
		return list
	}
	all := func(version int64) []int64 {
		list := make([]int64, gateways)
		for i := range list {
			list[i] = version
		}
		return list
	}
	for _, m := range members {
		g.Eventually(func() int { n, _ := m.gateway.mesh.Count(); return n }, setupTimeout).Should(Equal(gateways))
	}
	for i := range 30 {
		store.Put("status", fmt.Sprint(i), []byte("{}"))
	}
	configureLarge(store, 5)
	g.Eventually(versions, setupTimeout).Should(Equal(all(5)))

	newest := int64(5)
	for era := range int64(2) {
		store.RestoreFrom(taken, fake.Restore{Away: time.Duration(era) * time.Second, RewriteAfter: -1})
		fresh := startFleetMember(t, g, fmt.Sprint("fresh", era), store, members[0].peers)
		g.Eventually(func() int64 { return fresh.configVersion() }, setupTimeout).Should(Equal(newest), "its peers know it")
		g.Expect(versions()).To(Equal(all(newest)))
		fresh.stop()
		newest++
		configureLarge(store, newest)
		g.Eventually(versions, configurationBound).Should(Equal(all(newest)))
		g.Eventually(func() int { return registered(g, store) }, setupTimeout).Should(BeNumerically(">=", gateways))
		for _, m := range members {
			g.Expect(m.gateway.follower.Era()).To(Equal(era + 2))
		}
	}
}

// joinAsEarlierRelease sends updates to the members as a gateway of an earlier release does, until the returned function is called.
func joinAsEarlierRelease(t *testing.T, g *WithT, members []*fleetMember) (leave func()) {
	ctx, cancel := context.WithCancel(t.Context())
	pool := transport.NewPool(nil)
	identity := &wirepb.Identity{Host: "earlier", Role: "gateway", Incarnation: "1", Address: unusedAddress(g)}
	var done sync.WaitGroup
	for _, m := range members {
		done.Go(func() {
			stream, err := pool.Open(ctx, m.peers)
			for update := (&wirepb.PeerUpdate{Identity: identity, RequestsRows: true}); err == nil; update = new(wirepb.PeerUpdate) {
				if err = stream.Send(wire.PeerUpdate(update)); err == nil {
					err = background.Sleep(ctx, 100*time.Millisecond)
				}
			}
			if ctx.Err() == nil {
				t.Errorf("updates of the earlier release end: %v", err)
			}
		})
	}
	return func() { cancel(); done.Wait() }
}

// Guards against a gateway that misses changes during an upgrade, because the rows of earlier releases have no era and cannot be ordered.
func TestAGatewayBesideEarlierReleasesReadsTheStoreItself(t *testing.T) {
	g := NewWithT(t)
	store := fake.NewStore()
	configure(store, 1, "/one/")
	var members []*fleetMember
	for i := range 5 {
		seeds := []string{}
		if i > 0 {
			seeds = append(seeds, members[0].peers)
		}
		members = append(members, startFleetMember(t, g, fmt.Sprint("g", i), store, seeds...))
	}
	reading := func() int {
		n := 0
		for _, m := range members {
			if m.gateway.readsStore(3) {
				n++
			}
		}
		return n
	}
	g.Eventually(reading, setupTimeout).Should(Equal(3))
	leave := joinAsEarlierRelease(t, g, members)
	g.Eventually(reading, setupTimeout).Should(Equal(5))
	leave()
	g.Eventually(reading, setupTimeout).Should(Equal(3))
}
