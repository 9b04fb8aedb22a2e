package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	modelCount = 4
	// acceleratorMB holds three models of 16384 MB and the KV cache of running requests, but not four models.
	acceleratorMB = 65536
	// placementTimeout is the longest time in which the planner places every model in both data centres: its lease term,
	// one load of each model at the weight store's rate and one retry of a lost order.
	placementTimeout = 20 * time.Second
)

func modelName(i int) string { return fmt.Sprintf("lantern-%d", i) }

func modelsBundle() string {
	text, _, _ := strings.Cut(bundle, "models:\n")
	text += "models:\n"
	for i := range modelCount {
		text += fmt.Sprintf("  - {name: %s, service: brush-assistant, memory_mb: 16384, kv_token_kb: 128, min_copies: 2, weight_path: w}\n", modelName(i))
	}
	return text + "keys:\n"
}

// placementSystem is a system of two data centres with two engines each, between which the planner moves models.
type placementSystem struct {
	*System
	backendServers []backendServer

	mu       sync.Mutex
	unserved []string // descriptions of the requests that were not answered with 200
	stop     chan struct{}
	wg       sync.WaitGroup
}

// startPlacementSystem starts the engines with two of the four models on each, so that the planner must move some.
func startPlacementSystem() *placementSystem {
	GinkgoHelper()
	f := &placementSystem{stop: make(chan struct{})}
	for i, dc := range []string{"walled-city", "walled-city", "gulberg", "gulberg"} {
		f.backendServers = append(f.backendServers, backendServer{name: fmt.Sprintf("brush-%d", i+1), dataCentre: dc,
			service:  modelService,
			argsOnly: true, args: []string{
				"-memory-mb", fmt.Sprint(acceleratorMB), "-model", "lantern-0=16384", "-model", "lantern-1=16384", "-model", "lantern-2=16384",
				"-cold-factor", "1", "-warm-up", "0s", "-first-token", "5ms", "-load-time", "200ms", "-unload-time", "100ms",
			}})
	}
	f.System = startSystem(layout{
		gateways: 2, backendServers: f.backendServers, bundle: modelsBundle(), memoryMB: acceleratorMB,
		gatewayDataCentres: []string{"walled-city", "gulberg"},
		limitsAndPlanner:   "limits: {enabled: true}\nplanner: {enabled: true, interval: 300ms, lease_term: 2s, load_rate: 5}",
	})
	return f
}

// awaitPlacement waits until each model is READY on an engine of each data centre.
func (f *placementSystem) awaitPlacement() {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		for i := range modelCount {
			for _, dc := range []string{"walled-city", "gulberg"} {
				g.Expect(f.readyIn(modelName(i), dc)).To(BeTrue(), modelName(i)+" in "+dc)
			}
		}
	}, placementTimeout, "100ms").Should(Succeed())
}

func (f *placementSystem) readyIn(model, dataCentre string) bool {
	GinkgoHelper()
	for _, b := range f.backendServers {
		if b.dataCentre != dataCentre {
			continue
		}
		for _, m := range f.engineState(b.name).Models {
			if m.Name == model && m.State == "READY" {
				return true
			}
		}
	}
	return false
}

// chatWithFailover sends a request for a model to gateway i and, like a load balancer, to the other one if the
// connection fails.
func (f *placementSystem) chatWithFailover(i int, model, prompt string) reply {
	raw, err := json.Marshal(map[string]any{"model": model, "max_tokens": 64, "messages": []any{map[string]string{"role": "user", "content": prompt}}})
	Expect(err).NotTo(HaveOccurred())
	var answer reply
	for try := range f.gateways {
		g := f.gateways[(i+try)%len(f.gateways)]
		answer = f.Call(request{method: "POST", url: g + "/v1/chat/completions", key: "crews-1", body: string(raw)})
		if answer.err == nil {
			break
		}
	}
	return answer
}

// probeModel sends requests for a model until stop is closed and records each one that is not answered with 200.
func (f *placementSystem) probeModel(i int) {
	f.wg.Go(func() {
		defer GinkgoRecover()
		started := time.Now()
		for n := 0; ; n++ {
			select {
			case <-f.stop:
				return
			default:
			}
			sent := time.Since(started)
			answer := f.chatWithFailover(n, modelName(i), "probe, tokens:5")
			if answer.status != http.StatusOK {
				f.mu.Lock()
				f.unserved = append(f.unserved, fmt.Sprintf("%s after %s: %d %s %v",
					modelName(i), sent, answer.status, answer.body, answer.err))
				f.mu.Unlock()
			}
		}
	})
}

// shiftDemand sends load to one model after the other until ctx ends, and raises the minimum number of copies of the
// loaded model above that of the others.
func (f *placementSystem) shiftDemand(ctx context.Context) {
	f.wg.Go(func() {
		defer GinkgoRecover()
		for hot := 0; ; hot = (hot + 1) % modelCount {
			for i := range modelCount {
				copies := 2
				if i == hot {
					copies = 4
				}
				if ctx.Err() != nil {
					return
				}
				_, _ = f.runCtl([]string{"model", "change", modelName(i),
					fmt.Sprintf("min_copies=%d", copies), "-reason", "demand moved", "-wait", "0s"})
			}
			var wg sync.WaitGroup
			for range 12 {
				wg.Go(func() {
					defer GinkgoRecover()
					for range 15 {
						f.chatWithFailover(0, modelName(hot), "hot, tokens:15")
					}
				})
			}
			wg.Wait()
		}
	})
}

// injectOrderFaults makes the engines delay, duplicate and lose orders, and lose the answers to them, until ctx ends.
func (f *placementSystem) injectOrderFaults(ctx context.Context) {
	f.wg.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for n := 0; ; n++ {
			fault := []string{`"delay_orders":2`, `"duplicate_orders":2`, `"lose_order_answers":1`, `"lose_orders":1`}[n%4]
			for _, b := range f.backendServers {
				// A killed engine cannot be reached.
				response, err := http.Post(f.System.backendServers[b.name]+"/control", "application/json",
					strings.NewReader(`{"order_delay_ms":900,`+fault+`}`))
				if err == nil {
					_ = response.Body.Close()
				}
			}
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

func (f *placementSystem) plannerGateway() int {
	GinkgoHelper()
	latest, at := 0, ""
	for i := range f.gateways {
		for line := range strings.Lines(f.procs[fmt.Sprintf("gateway-%d", i+1)].logText()) {
			if strings.Contains(line, "planner lease written") && line > at {
				latest, at = i, line
			}
		}
	}
	return latest
}

// orderCount returns the number of load and unload orders that an engine received.
func (f *placementSystem) orderCount(name string) int {
	GinkgoHelper()
	return len(slices.DeleteFunc(f.receivedRequests(name),
		func(r receivedRequest) bool { return !strings.HasPrefix(r.Path, "/v2/repository/models/") }))
}

// Specs of moveModels.
const (
	// Guards against two orders that together need more memory than the accelerator has.
	memoryNotOvercommitted = "models that move never overcommit memory through failures"
	// Guards against unloading the last copy of a model, and against requests that fail although another copy serves.
	modelsServed = "models that move are served at all times through failures"
)

// moveModels moves models while orders and processes fail, and then takes down a data centre.
func moveModels(v *specResults) {
	f := startPlacementSystem()
	f.awaitPlacement()
	for i := range modelCount {
		// Both gateways must know where each model is before faults are injected.
		for g := range f.gateways {
			Eventually(func() int { return f.chatWithFailover(g, modelName(i), "ready, tokens:1").status },
				processTimeout, "50ms").
				Should(Equal(http.StatusOK))
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range modelCount {
		f.probeModel(i)
	}
	f.injectOrderFaults(ctx)
	f.shiftDemand(ctx)
	wait := func(d time.Duration) { <-time.After(d) }
	wait(4 * time.Second)
	f.procs["sidecar-brush-1"].Kill()
	wait(500 * time.Millisecond)
	f.procs["sidecar-brush-1"].Restart()
	wait(4 * time.Second)
	plannerGateway := f.plannerGateway()
	gateway := f.procs[fmt.Sprintf("gateway-%d", plannerGateway+1)]
	gateway.Kill()
	wait(2 * time.Second)
	gateway.Restart()
	wait(5 * time.Second)
	cancel()
	f.awaitPlacement()
	orders := 0
	for _, b := range f.backendServers {
		state := f.engineState(b.name)
		orders += f.orderCount(b.name)
		AddReportEntry(b.name, fmt.Sprintf("%d orders, high water %d of %d MB",
			f.orderCount(b.name), state.HighWaterMB, state.MemoryTotalMB))
		v.gomegaFor(memoryNotOvercommitted).Expect(state.HighWaterMB).To(BeNumerically("<=", state.MemoryTotalMB), b.name)
	}
	v.gomegaFor(memoryNotOvercommitted).Expect(orders).To(BeNumerically(">=", 2*modelCount), "the models did not move")
	// Take down the data centre of the gateway that was killed before. By design its new process holds no tokens yet:
	// if the other gateway were killed, all tokens of the organisation would be lost during the quarantine.
	lostDataCentre := f.layout.gatewayDataCentres[plannerGateway]
	gateway.Kill()
	remaining := slices.DeleteFunc(slices.Clone(f.backendServers),
		func(b backendServer) bool { return b.dataCentre == lostDataCentre })
	for _, b := range f.backendServers {
		if b.dataCentre == lostDataCentre {
			f.procs["sidecar-"+b.name].Kill()
			f.procs["backend-"+b.name].Kill()
		}
	}
	wait(3 * time.Second)
	close(f.stop)
	f.wg.Wait()
	for _, b := range remaining {
		state := f.engineState(b.name)
		v.gomegaFor(memoryNotOvercommitted).Expect(state.HighWaterMB).To(BeNumerically("<=", state.MemoryTotalMB), b.name)
	}
	v.gomegaFor(modelsServed).Expect(f.unserved).To(BeEmpty())
}
