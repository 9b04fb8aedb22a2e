package coldstart_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/coldstart"
)

// Guards against gateways that together send more to a cold server than it can take. The bound is the platform's: in
// any second at most 1.5 times the rate and 5 more.
func TestGatewaysTogetherStayBelowTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 40).Draw(t, "gateways")
		perSecond := rapid.Float64Range(1, 40).Draw(t, "per second")
		shares := make([]*coldstart.Shares, gateways)
		for i := range shares {
			shares[i] = coldstart.New()
			shares[i].Notice("s", 1, 5*time.Second, 0)
		}
		var sent []time.Duration
		now := time.Duration(0)
		for now < 5*time.Second {
			// Every gateway has a request waiting at some moments and none at others.
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond
			for rank, s := range shares {
				if now < 5*time.Second && s.Free("s", coldstart.Part(perSecond, gateways, rank), now) {
					s.Spend("s")
					sent = append(sent, now)
				}
			}
		}
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at < from+time.Second {
					n++
				}
			}
			if bound := 1.5*perSecond + 5; float64(n) > bound {
				t.Fatalf("%d requests in a second, the bound is %.1f", n, bound)
			}
		}
	})
}

// Guards against a cold server that gets no requests: it would never be used while other servers are lost.
func TestEverySecondSomeGatewayMayUseAColdServer(t *testing.T) {
	for _, gateways := range []int{1, 4, 21, 400} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			total := 0.0
			for rank := range gateways {
				total += coldstart.Part(8, gateways, rank)
			}
			if math.Abs(total-8) > 1e-9 { // the sum of fractions is rounded
				t.Fatalf("the parts sum to %v, expected 8", total)
			}
		})
	}
}

// Guards against a later notice that shortens the time for which a server is cold.
func TestALaterNoticeDoesNotShortenTheColdTime(t *testing.T) {
	s := coldstart.New()
	s.Notice("s", 1, 3*time.Second, 0)
	s.Notice("s", 2, time.Millisecond, time.Second)
	if !s.Cold("s", 2*time.Second) {
		t.Fatal("the server counts as warm after 2 s, it is cold for 3 s")
	}
	if s.Cold("s", 3*time.Second) {
		t.Fatal("the server still counts as cold after 3 s")
	}
}
