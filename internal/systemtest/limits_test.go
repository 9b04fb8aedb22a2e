package systemtest

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Limits of each organisation in limitsBundle: the rate in tokens a second and the burst in tokens.
const (
	limitRate  = 1500
	limitBurst = 3000
)

var limitsBundle = strings.NewReplacer(
	"rate: 1000000, burst: 10000000", fmt.Sprintf("rate: %d, burst: %d", limitRate, limitBurst),
	"services:\n", "  - {name: model-town, region: punjab-central, out: false}\nservices:\n",
).Replace(bundle)

// exchange is a chat request and its answer, with the times before sending and after receiving.
type exchange struct {
	gateway        int
	sent, received time.Time
	status         int
	code           string
	tokens         int // total_tokens of the answer
}

// recorder sends chat requests at fixed rates from several loops and records the exchanges.
type recorder struct {
	s    *System
	stop chan struct{}
	wg   sync.WaitGroup

	mu  sync.Mutex
	all []exchange
}

func (s *System) newRecorder() *recorder { return &recorder{s: s, stop: make(chan struct{})} }

// sendEvery sends a request of 40 generated tokens in each interval until end is called.
func (r *recorder) sendEvery(gateway int, keyID string, interval time.Duration) {
	r.wg.Go(func() {
		defer GinkgoRecover()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		var calls sync.WaitGroup
		defer calls.Wait()
		for {
			select {
			case <-r.stop:
				return
			case <-ticker.C:
				calls.Go(func() {
					defer GinkgoRecover()
					r.send(gateway, keyID)
				})
			}
		}
	})
}

// summaryRequest returns a chat request of 40 generated tokens.
func summaryRequest(gateway, keyID string) request {
	body := `{"model":"brush-small","max_tokens":40,"messages":[{"role":"user","content":"summary-of-the-lanterns tokens:40"}]}`
	return request{method: "POST", url: gateway + "/v1/chat/completions", key: keyID, body: body}
}

func (r *recorder) send(gateway int, keyID string) {
	x := exchange{gateway: gateway, sent: time.Now()}
	answer := r.s.Call(summaryRequest(r.s.gateways[gateway], keyID))
	x.received, x.status, x.code = time.Now(), answer.status, answer.code()
	var usage struct {
		Usage struct {
			Total int `json:"total_tokens"`
		}
	}
	_ = json.Unmarshal([]byte(answer.body), &usage)
	x.tokens = usage.Usage.Total
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

// end stops the loops and returns all exchanges in the order in which they were answered.
func (r *recorder) end() []exchange {
	close(r.stop)
	r.wg.Wait()
	slices.SortFunc(r.all, func(a, b exchange) int { return a.received.Compare(b.received) })
	return r.all
}

// excess returns the largest number of tokens above burst + rate × window over all windows, and the length of that
// window. A request is charged between its sending and its answer, so a window counts only requests that lie wholly
// in it.
func excess(all []exchange, rate, burst float64) (float64, time.Duration) {
	worst, length := -burst, time.Duration(0)
	for _, first := range all {
		total := 0.0
		for _, x := range all {
			if x.sent.Before(first.sent) {
				continue
			}
			total += float64(x.tokens)
			window := x.received.Sub(first.sent)
			if over := total - burst - rate*window.Seconds(); over > worst {
				worst, length = over, window
			}
		}
	}
	return worst, length
}

// countOutcomes counts the exchanges that were sent in [from, to) by error code. A 200 counts as "ok", a broken connection
// or an answer without a code as "broken".
func countOutcomes(all []exchange, from, to time.Time) map[string]int {
	counts := make(map[string]int)
	for _, x := range all {
		switch {
		case x.sent.Before(from) || !x.sent.Before(to):
		case x.status == http.StatusOK:
			counts["ok"]++
		case x.code != "":
			counts[x.code]++
		default:
			counts["broken"]++
		}
	}
	return counts
}

func totalTokens(all []exchange) int {
	n := 0
	for _, x := range all {
		n += x.tokens
	}
	return n
}

// Specs of sendThroughFaults.
const (
	// Guards against granting a share twice: by a restarted lease holder, by a paused one, or through loans.
	limitsHold = "the limits of organisations hold over all hosts in every window through failures"
	// Guards against refusing an organisation that stays within its rate at one gateway while another exceeds its rate.
	limitsRefuse = "the limits of organisations refuse nothing within the rate while nothing fails"
)

// leaseHolder waits until one of the gateways given has logged that it acquired the limit lease of a data centre, and returns
// the index of the last such gateway.
func (s *System) leaseHolder(dataCentre string, among ...int) int {
	GinkgoHelper()
	found := -1
	Eventually(func() int {
		for _, i := range among {
			log := s.procs[fmt.Sprintf("gateway-%d", i+1)].logText()
			if strings.Contains(log, `msg="limit lease acquired" data_centre=`+dataCentre+" ") {
				found = i
			}
		}
		return found
	}, processTimeout).Should(BeNumerically(">=", 0))
	return found
}

// sendThroughFaults sends requests of both organisations, first without faults and then while gateways and the table
// service fail.
func sendThroughFaults(v *specResults) {
	var backendServers []backendServer
	for i, dc := range []string{"walled-city", "gulberg", "model-town"} {
		backendServers = append(backendServers, backendServer{name: fmt.Sprintf("brush-%d", i+1),
			dataCentre: dc, service: modelService,
			args: []string{"-between-tokens", "500us"}})
	}
	s := startSystem(layout{
		gateways: 3, backendServers: backendServers, bundle: limitsBundle,
		gatewayDataCentres: []string{"walled-city", "walled-city", "gulberg"},
		limitsAndPlanner:   "limits: {enabled: true, partitions: 1, loan_term: 1s}\nplanner: {enabled: true, interval: 500ms, lease_term: 3s}",
		admission:          "{cold_concurrency: 16}",
	})
	leaseHolder := s.leaseHolder("walled-city", 0, 1)
	nonHolder := 1 - leaseHolder // asks the lease holder for each request
	for _, g := range s.gateways {
		Eventually(func() int { return s.Call(summaryRequest(g, "crews-1")).status }, processTimeout).Should(Equal(http.StatusOK))
	}
	overRate, withinRate := s.newRecorder(), s.newRecorder()
	start := time.Now()
	// 135 and 15 requests a second of about 45 tokens are more than four times the rate.
	for range 3 {
		overRate.sendEvery(nonHolder, "crews-1", time.Second/45)
	}
	overRate.sendEvery(2, "crews-1", time.Second/15)
	// Half of the rate through one gateway, which is more than the share of its data centre.
	withinRate.sendEvery(nonHolder, "clerks-1", time.Second/16)
	wait := func(d time.Duration) { <-time.After(d) }
	wait(4 * time.Second)
	faults := time.Now()
	s.procs[fmt.Sprintf("gateway-%d", leaseHolder+1)].Kill()
	wait(500 * time.Millisecond)
	s.procs[fmt.Sprintf("gateway-%d", leaseHolder+1)].Restart()
	wait(2500 * time.Millisecond)
	s.procs["gateway-3"].Freeze()
	wait(3 * time.Second)
	s.procs["gateway-3"].Resume()
	s.Control("http://"+s.platform, `{"away":true}`)
	wait(3 * time.Second)
	s.Control("http://"+s.platform, `{"away":false}`)
	wait(3 * time.Second)
	end := time.Now()
	overRateExchanges, withinRateExchanges := overRate.end(), withinRate.end()
	for name, all := range map[string][]exchange{"above the rate": overRateExchanges, "within the rate": withinRateExchanges} {
		over, window := excess(all, limitRate, limitBurst)
		AddReportEntry("windows "+name, fmt.Sprintf("%d tokens, %.0f over in %s", totalTokens(all), over, window))
		v.gomegaFor(limitsHold).Expect(over).To(BeNumerically("<=", 0), "%s in a window of %s", name, window)
	}
	// Without this check, a system that serves nothing would pass.
	beforeFaults := slices.DeleteFunc(slices.Clone(overRateExchanges), func(x exchange) bool { return !x.sent.Before(faults) })
	v.gomegaFor(limitsHold).Expect(totalTokens(beforeFaults)).To(BeNumerically(">", limitRate*4/2))
	withinRateBeforeFaults := countOutcomes(withinRateExchanges, start, faults)
	AddReportEntry("within the rate, without faults", withinRateBeforeFaults)
	AddReportEntry("within the rate, with faults", countOutcomes(withinRateExchanges, faults, end))
	AddReportEntry("above the rate, with faults", countOutcomes(overRateExchanges, faults, end))
	v.gomegaFor(limitsRefuse).Expect(slices.Collect(maps.Keys(withinRateBeforeFaults))).
		To(ConsistOf("ok"), "%v", withinRateBeforeFaults)
}
