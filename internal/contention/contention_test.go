package contention_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/contention"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

func kinds() []*kind {
	return []*kind{
		{route: streamRoute("chat", 0, 500*time.Millisecond, 15*time.Second), shared: []int{119, 79}, topics: 136, own: 628, output: 288, rate: 40},
		{route: streamRoute("draft", 1, 800*time.Millisecond, 6*time.Second), shared: []int{2520, 3780}, topics: 66, own: 2890, output: 56, rate: 34},
		{route: streamRoute("background", 2, 8*time.Second, 12*time.Second), shared: []int{2520, 3780}, topics: 66, own: 2890, output: 56, rate: 5},
	}
}

func policyOf(list []*kind) *contention.Policy {
	c := &fleet.Configuration{Services: map[string]*fleet.Service{"s": {Name: "s", Engine: &fleet.Engine{Slots: slots}}}}
	for _, k := range list {
		c.Routes = append(c.Routes, k.route)
	}
	return contention.Policies(c)["s"]
}

func TestTrial(t *testing.T) {
	for _, f := range []float64{0.35, 0.5, 0.7, 1, 1.5} {
		list := kinds()
		var sum [2]map[string]*outcome
		for seed := range uint64(4) {
			load := draw(7+seed, list, 15*time.Second, func(at time.Duration) float64 { return f })
			for i, p := range []*contention.Policy{nil, policyOf(list)} {
				if sum[i] == nil {
					sum[i] = make(map[string]*outcome)
				}
				for n, o := range play(load, p) {
					if sum[i][n] == nil {
						sum[i][n] = new(outcome)
					}
					sum[i][n].inTime += o.inTime
					sum[i][n].late += o.late
					sum[i][n].paused += o.paused
					sum[i][n].refused += o.refused
				}
			}
		}
		for n := range sum[0] {
			fmt.Printf("%.2f %-12s %+v  %+v\n", f, n, *sum[0][n], *sum[1][n])
		}
	}
}

func TestHog(t *testing.T) {
	var list []*kind
	for i := range 4 {
		for _, k := range kinds() {
			k.org = fmt.Sprint("/org", i)
			k.rate *= 0.12
			list = append(list, k)
		}
	}
	var hog []*kind
	for _, k := range kinds() {
		k.org = "/hog"
		hog = append(hog, k)
	}
	for seed := range uint64(2) {
		alone := draw(seed+1, list, 15*time.Second, func(time.Duration) float64 { return 1 })
		both := append(slices.Clone(alone), draw(seed+50, hog, 15*time.Second, func(time.Duration) float64 { return 1 })...)
		slices.SortStableFunc(both, func(a, b arrival) int { return int(a.at - b.at) })
		for i, l := range [][]arrival{alone, both, both} {
			p := policyOf(list)
			if i == 2 {
				p = nil
			}
			sum := map[string]*outcome{"/o": new(outcome), "/h": new(outcome)}
			for n, o := range play(l, p) {
				n = n[strings.Index(n, "/"):][:2]
				sum[n].inTime += o.inTime
				sum[n].late += o.late
				sum[n].paused += o.paused
				sum[n].refused += o.refused
			}
			fmt.Printf("%d others %+v hog %+v\n", i, *sum["/o"], *sum["/h"])
		}
	}
}
