package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/usage"
	"github.com/pomelowheel/pomelowheel/platform"
)

// reportedTotal returns the sum of the reported counts of an organisation.
func reportedTotal(g *WithT, cloud *fake.Cloud, organisation string) int64 {
	windows := make(map[int64]int64)
	for _, c := range cloud.Calls() {
		var r platform.UsageReport
		g.Expect(json.Unmarshal([]byte(c.Body), &r)).To(Succeed())
		windows[r.Window] = r.Counts[organisation]
	}
	var total int64
	for _, n := range windows {
		total += n
	}
	return total
}

// holdersOf returns the gateways that hold the lease.
func holdersOf(members []*fleetMember) []*fleetMember {
	var holders []*fleetMember
	for _, m := range members {
		if m.gateway.lease.Epoch() != 0 {
			holders = append(holders, m)
		}
	}
	return holders
}

// knows reports whether a gateway has the counts that the holder has of all windows that are not settled.
func knows(m, holder *fleetMember) bool {
	first, open := holder.gateway.duties.ledger.Oldest()
	for w := first; open && w <= usage.WindowAt(time.Now(), time.Second); w++ {
		if !maps.Equal(m.gateway.duties.ledger.Totals(w), holder.gateway.duties.ledger.Totals(w)) {
			return false
		}
	}
	return true
}

// Guards against requests that are reported by no gateway or by two, in calm and after the holder of the duties has ended without
// notice, and against calls of two holders.
func TestTheFleetReportsItsUsageOnce(t *testing.T) {
	g := NewWithT(t)
	store, cloud := fake.NewStore(), fake.NewCloud()
	server := httptest.NewServer(cloud.Handler())
	t.Cleanup(server.Close)
	bounds := `,"usage_window_s":1,"lease_ms":3000`
	sections := fmt.Sprintf(`,"cloud":{"address":%q,"duties":["metering"],"duty_per_s":50}`, server.Listener.Addr())
	members := []*fleetMember{startFleetMemberWith(t, g, "g1", store, bounds, sections)}
	for _, name := range []string{"g2", "g3"} {
		members = append(members, startFleetMemberWith(t, g, name, store, bounds, sections, members[0].peers))
	}
	for _, m := range members {
		g.Eventually(func() int { n, _ := m.gateway.mesh.Count(); return n }, setupTimeout).Should(Equal(3))
	}
	g.Eventually(func() int { return len(holdersOf(members)) }, setupTimeout).Should(Equal(1))
	began := int64(0)
	begin := func(n int) {
		for i, m := range members {
			for range n + i {
				m.gateway.countBegun()("clerks")
				began++
			}
		}
	}
	total := func() int64 { return reportedTotal(g, cloud, "clerks") }
	begin(5)
	g.Eventually(total, setupTimeout).Should(Equal(began))

	cloud.SetFaults(fake.CloudFaults{Down: true}) // so that the successor has to report what the holder counted and settled
	begin(10)
	holder := holdersOf(members)[0]
	var others []*fleetMember
	for _, m := range members {
		if m != holder {
			others = append(others, m)
		}
	}
	g.Eventually(func() int64 { return holder.gateway.duties.metering.Stats().Settled }, setupTimeout).Should(BeNumerically(">", 3))
	begin(3)
	g.Eventually(func() bool { return knows(others[0], holder) || knows(others[1], holder) }, setupTimeout).Should(BeTrue(),
		"no gateway has the counts of the holder")
	holder.stop()
	members = others
	g.Eventually(func() int { return len(holdersOf(members)) }, setupTimeout).Should(Equal(1))
	cloud.SetFaults(fake.CloudFaults{Lose: 0.3})
	begin(2)
	g.Eventually(total, setupTimeout).Should(Equal(began))
	g.Consistently(total, 2*time.Second).Should(Equal(began))
	g.Expect(fake.CheckCloudCalls(cloud.Calls(), 3*time.Second)).To(BeEmpty())
}

// Guards against calls and counts where the settings do not name the duty.
func TestNothingIsReportedWithoutTheDuty(t *testing.T) {
	g := NewWithT(t)
	cloud := fake.NewCloud()
	server := httptest.NewServer(cloud.Handler())
	t.Cleanup(server.Close)
	sections := fmt.Sprintf(`,"cloud":{"address":%q,"duties":["autoscale"],"duty_per_s":50}`, server.Listener.Addr())
	m := startFleetMemberWith(t, g, "g1", fake.NewStore(), "", sections)
	g.Expect(m.gateway.countBegun()).To(BeNil())
	g.Expect(m.gateway.duties.metering).To(BeNil())
	g.Eventually(m.gateway.lease.Epoch, setupTimeout).ShouldNot(BeZero())
	g.Expect(m.gateway.duties.client).NotTo(BeNil(), "the other duty has no client")
	g.Expect(cloud.Calls()).To(BeEmpty())
}
