package fleetgateway_test

import (
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetgateway"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// Guards against gateways that restart together and each start with a large part of the burst: ten of 21 gateways
// that started with half of it could admit five bursts at once.
func TestRestartedGatewaysStartWithTheirPart(t *testing.T) {
	const gateways = 21
	org := &fleet.Organisation{Name: "o", Rate: 1000, Burst: 1000, ByTokens: true}
	total := 0.0
	for range gateways {
		l := fleetgateway.NewLimits(func() time.Duration { return 0 }, func() (int, int) { return gateways, gateways },
			func() float64 { return 1.0 / gateways }, known(org))
		for {
			if ok, _, _ := l.Take(org, 1); !ok {
				break
			}
			total++
		}
	}
	if total > org.Burst {
		t.Fatalf("%.0f admitted at once, the burst is %.0f", total, org.Burst)
	}
}

// Guards against a restarted gateway that admits again what the other gateways had admitted before it started.
func TestARestartedGatewayAdoptsTheLevelOfItsPeers(t *testing.T) {
	now := time.Duration(0)
	org := &fleet.Organisation{Name: "o", Rate: 10, Burst: 1000, ByTokens: true}
	l := fleetgateway.NewLimits(func() time.Duration { return now }, func() (int, int) { return 2, 2 },
		func() float64 { return 0.5 }, known(org))
	l.Adopt([]*wirepb.OrganisationUse{{Organisation: "o", Level: -50}})
	if ok, _, level := l.Take(org, 1); ok || level != -50 {
		t.Fatalf("admitted %v at level %.0f, expected a refusal at -50", ok, level)
	}
	now = 10 * time.Second
	l.Adopt([]*wirepb.OrganisationUse{{Organisation: "o", Level: -900}})
	if ok, _, level := l.Take(org, 1); !ok {
		t.Fatalf("refused at level %.0f long after the start", level)
	}
}

// Guards against a gateway that refuses the first request of an organisation because it subtracts in one sum what
// the others have admitted since the start, although that has been refilled long ago. The load is half the rate
// through another gateway.
func TestAGatewayThatSeesAnOrganisationLateAdmitsIt(t *testing.T) {
	now := time.Duration(0)
	org := &fleet.Organisation{Name: "o", Rate: 1000, Burst: 1000, ByTokens: true}
	l := fleetgateway.NewLimits(func() time.Duration { return now }, func() (int, int) { return 2, 2 },
		func() float64 { return 1 }, known(org))
	for range 100 {
		now += 100 * time.Millisecond
		l.UsedElsewhere(map[string]float64{"o": 50})
	}
	if ok, _, level := l.Take(org, 400); !ok || level < 900 {
		t.Fatalf("admitted %v at level %.0f, expected an almost full bucket", ok, level)
	}
}

// known returns a lookup function for a configuration with one organisation.
func known(org *fleet.Organisation) func(string) *fleet.Organisation {
	return func(name string) *fleet.Organisation {
		if name == org.Name {
			return org
		}
		return nil
	}
}
