package fleet_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

// Guards against a request that is matched to the route of another hostname or of a shorter prefix.
func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	c := &fleet.Configuration{Routes: []fleet.Route{
		{Name: "short", Hostname: "a.example", PathPrefix: "/x/"},
		{Name: "long", Hostname: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Hostname: "b.example", PathPrefix: "/x/y/z/"},
	}}
	for _, q := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"}, {"A.example:80", "/x/y/1", "long"}, {"a.example", "/x/y/z/1", "long"},
		{"b.example", "/x/y/z/", "other"}, {"a.example", "/x", ""}, {"c.example", "/x/", ""},
	} {
		got := ""
		if r := c.Match(q.host, q.path); r != nil {
			got = r.Name
		}
		if got != q.want {
			t.Errorf("%s%s matches route %q, expected %q", q.host, q.path, got, q.want)
		}
	}
}

// Guards against requests that are not distributed by weight, and against requests to a service without weight.
func TestPickFollowsTheWeights(t *testing.T) {
	r := &fleet.Route{Targets: []fleet.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	n := map[string]int{}
	for i := range 10_000 {
		n[r.Pick(time.Duration(i).String())]++
	}
	if n["b"] < 850 || n["b"] > 1150 || n["a"]+n["b"] != 10_000 {
		t.Fatalf("unexpected number of requests by service: %v", n)
	}
}

// Guards against a view that returns to an older state when updates from the store and from peers arrive out of order.
func TestTheViewEndsWithTheNewestOfEachEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fleet.NewView()
		versions := rapid.Permutation([]int64{1, 2, 3, 4, 5, 6, 7, 8}).Draw(t, "order")
		config := int64(0)
		for _, version := range versions {
			v.SetConfiguration(&fleet.Configuration{Version: version * 10}, version)
			if got := v.Snapshot().Config.Version; got < config {
				t.Fatalf("configuration reverted from version %d to %d", config, got)
			} else {
				config = got
			}
			if version%4 == 0 {
				v.RemoveReplica("s", version, 0)
			} else {
				v.SetReplica(&fleet.Replica{ID: "s", ListVersion: version})
			}
			v.SetOutOfService("a", version%2 == 1, version)
		}
		s := v.Snapshot()
		if s.Config.Version != 80 || s.Replicas["s"] != nil || s.OutOfService["a"] {
			t.Fatalf("view is not at the newest versions: configuration %d, server %v, data centres out of service %v",
				s.Config.Version, s.Replicas["s"], s.OutOfService)
		}
	})
}

// Guards against removing servers whose entries expired while the store was unreachable, and against keeping servers
// that were not listed again afterwards.
func TestServersMissingAfterAnOutageAreKeptForAWhile(t *testing.T) {
	v := fleet.NewView()
	for _, id := range []string{"back", "gone"} {
		v.SetReplica(&fleet.Replica{ID: id, Service: "s", Address: id, ListVersion: 1})
	}
	v.StoreRecovered(12 * time.Second)
	v.RemoveReplica("back", 2, 10*time.Second)
	v.RemoveReplica("gone", 3, 10*time.Second)
	if n := len(v.Snapshot().Services["s"]); n != 2 {
		t.Fatalf("%d servers just after the outage, expected 2", n)
	}
	v.SetReplica(&fleet.Replica{ID: "back", Service: "s", Address: "back", ListVersion: 4})
	if gone := v.Expire(11 * time.Second); gone != nil {
		t.Fatalf("servers %v removed too early", gone)
	}
	v.Expire(12 * time.Second)
	if s := v.Snapshot(); s.Replicas["back"] == nil || s.Replicas["gone"] != nil {
		t.Fatalf("unexpected servers after the grace period: %v", s.Replicas)
	}
	v.RemoveReplica("back", 5, 13*time.Second)
	if v.Snapshot().Replicas["back"] != nil {
		t.Fatal("server still listed after a removal long after the outage")
	}
}

// Guards against orders and requests to an incarnation whose address a newer server has taken over.
func TestTheNewestServerOfAnAddressCounts(t *testing.T) {
	v := fleet.NewView()
	v.SetReplica(&fleet.Replica{ID: "old", Service: "s", Address: "10.0.0.1:1", Born: 100, ListVersion: 1})
	v.SetReplica(&fleet.Replica{ID: "new", Service: "s", Address: "10.0.0.1:1", Born: 200, ListVersion: 2})
	v.SetReplica(&fleet.Replica{ID: "far", Service: "s", Address: "10.0.0.2:1", Born: 50, ListVersion: 3})
	s := v.Snapshot()
	if s.Replicas["old"] != nil || s.Replicas["new"] == nil || s.Replicas["far"] == nil || len(s.Services["s"]) != 2 {
		t.Fatalf("unexpected servers: %v", s.Replicas)
	}
}
