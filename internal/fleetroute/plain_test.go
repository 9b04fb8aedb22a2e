package fleetroute_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
)

// Parameters of the simulated servers of a plain service.
const (
	plainSlots   = 6
	plainQueue   = 6 // requests that may wait at a server; further ones are rejected
	plainTarget  = 130 * time.Millisecond
	spell        = 600 * time.Millisecond // time after which is drawn anew whether the first server is slow
	spellShare   = 0.15
	spellSlow    = 2.5
	plainSpread  = 0.6 // of the logarithm of the work of a request
	plainGateway = 28
)

// plainLoad is a load of requests to a plain service whose first server is slow at times.
type plainLoad struct {
	seed    uint64
	servers int
	workMS  float64 // mean
	rate    float64 // requests per second
	seconds int
	choose  chooser
}

type plainRequest struct {
	at        time.Duration
	remaining float64 // milliseconds of work
	attempt   *fleetroute.Attempt
}

// Guards against gateways that all send to the plain server with the fewest requests 250 ms ago, where most then wait
// or are rejected, and against a server that is slow for fractions of a second and keeps its share. The seeds that the
// constants were chosen by are 0 to 3.
func TestPlainServersThatAreSlowAtTimes(t *testing.T) {
	t.Parallel()
	for _, servers := range []int{3, 8} {
		for _, use := range []float64{0.3, 0.5, 0.65} {
			var now, earlier float64
			for _, seed := range []uint64{201, 202} {
				load := plainLoad{seed: seed, servers: servers, workMS: 22, rate: use * float64(servers) * plainSlots / 0.022, seconds: 10}
				load.choose = atRandom
				now += load.simulate() / 2
				load.choose = earlierChoice
				earlier += load.simulate() / 2
			}
			t.Logf("%d servers, %.0f%% in use: %.4f in time, earlier %.4f", servers, 100*use, now, earlier)
			if now < earlier {
				t.Errorf("%d servers, %.0f%% in use: %.4f in time, earlier %.4f", servers, 100*use, now, earlier)
			}
		}
	}
}

// simulate plays the load and returns the fraction of the requests that were answered in time.
func (l plainLoad) simulate() float64 {
	rng, choices, spells := rand.New(rand.NewPCG(l.seed, 1)), rand.New(rand.NewPCG(l.seed, 2)), rand.New(rand.NewPCG(l.seed, 3))
	tables := make([]*fleetroute.Table, plainGateway)
	for i := range tables {
		tables[i] = fleetroute.NewTable()
	}
	servers := make([][]*plainRequest, l.servers)
	slow, sent, met := 1.0, 0.0, 0.0
	for now := time.Duration(0); now < time.Duration(l.seconds)*time.Second; now += ms {
		if now%exchangeEvery == 0 {
			exchangeLoads(tables, now)
		}
		if now%spell == 0 {
			slow = 1
			if spells.Float64() < spellShare {
				slow = spellSlow
			}
		}
		for i, requests := range servers {
			progress := 1.0
			if i == 0 {
				progress = 1 / slow
			}
			var rest []*plainRequest
			for k, r := range requests {
				if k < plainSlots {
					r.remaining -= progress
				}
				if r.remaining > 0 {
					rest = append(rest, r)
					continue
				}
				r.attempt.RecordProgress(now)
				r.attempt.Done(now, false)
				if now-r.at <= plainTarget {
					met++
				}
			}
			servers[i] = rest
		}
		for n := rng.Float64() * 1000 / l.rate; n < 1; n += 1000 / l.rate * rng.ExpFloat64() {
			sent++
			work := l.workMS * math.Exp(plainSpread*rng.NormFloat64()-plainSpread*plainSpread/2)
			table := tables[rng.IntN(plainGateway)]
			list := make([]fleetroute.Candidate, l.servers)
			for i := range list {
				list[i] = fleetroute.Candidate{ID: fmt.Sprint("p-", i), DataCentre: "a", Slots: plainSlots}
				table.Fill(&list[i], now, "", "p", fleetroute.Prompt{})
			}
			at := l.choose(list, choices)
			attempt := table.Begin(&list[at], now, "", "p", fleetroute.Prompt{})
			if len(servers[at]) >= plainSlots+plainQueue {
				attempt.Done(now, false) // rejected; another server is asked in the product
				continue
			}
			servers[at] = append(servers[at], &plainRequest{at: now, remaining: work, attempt: attempt})
		}
	}
	return met / sent
}
