// Command sampler is a stand-in for a sound model replica that samples its answers: two runs of a request give different texts. Each
// event says which run it is of. It holds the given models from the start and is registered in the store's server list. It prints one JSON
// line for each run.
package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var (
	listen   = flag.String("listen", "", "`ADDRESS` (IP:port) to listen on")
	store    = flag.String("store", "", "`ADDRESS` (IP:port) of the store")
	id       = flag.String("id", "", "`ID` of the replica")
	service  = flag.String("service", "", "`SERVICE` of the replica")
	zone     = flag.String("zone", "north", "zone of the replica")
	models   = flag.String("models", "", "comma-separated models that the replica holds")
	slots    = flag.Int("slots", 64, "requests at once")
	events   = flag.Int("events", 30, "events of a stream")
	pace     = flag.Duration("pace", 240*time.Millisecond, "mean time of an event")
	prefill  = flag.Float64("prefill", 44.2, "prompt tokens read in a ms")
	slowAt   = flag.Duration("slow-at", 0, "time after the start at which the replica turns slow; 0 for never")
	slowFor  = flag.Duration("slow-for", 0, "how long it is slow")
	slowness = flag.Float64("slow", 5, "times as long that it works then")

	started = time.Now()
	active  atomic.Int64
	runs    atomic.Int64
	printMu sync.Mutex
)

func main() {
	flag.Parse()
	go register()
	http.HandleFunc("GET /api/report", report)
	http.HandleFunc("POST /api/order", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) })
	http.HandleFunc("/", serve)
	fmt.Fprintln(os.Stderr, "sampler:", http.ListenAndServe(*listen, nil))
	os.Exit(1)
}

func held() []map[string]any {
	list := []map[string]any{}
	for m := range strings.SplitSeq(*models, ",") {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

// register renews the entry in the server list.
func register() {
	for ; ; time.Sleep(300 * time.Millisecond) {
		entry, _ := json.Marshal(map[string]any{ // strings and numbers always encode
			"service": *service, "address": *listen, "zone": *zone, "version": "v1", "slots": *slots, "state": "ready",
			"warmup_left_ms": 0, "born": started.UnixMilli(), "models": held(), "sequence": 0,
		})
		body := fmt.Appendf(nil, `{"puts":[{"table":"servers","key":%q,"value":%q}]}`, *id, base64.StdEncoding.EncodeToString(entry))
		if resp, err := http.Post("http://"+*store+"/control/rows", "application/json", bytes.NewReader(body)); err == nil {
			_ = resp.Body.Close()
		}
	}
}

func report(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{ // fails if the caller has left
		"stage": "mixed", "models": held(), "busy": false, "sequence": 0, "queued": 0, "active": active.Load(), "kv_used": 0,
		"kv_total": 242678, "handles": 0, "born": started.UnixMilli(), "state": "ready",
	})
}

// work sleeps for a time that the replica works, and reports whether the caller is still there.
func work(r *http.Request, d time.Duration) bool {
	if since := time.Since(started); *slowAt > 0 && since >= *slowAt && since < *slowAt+*slowFor {
		d = time.Duration(*slowness * float64(d))
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

func serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h := w.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	expected, model := r.Header.Get("X-Expect-Instance"), r.Header.Get("X-Model")
	switch {
	case expected != "" && expected != *id:
		h.Set("X-Instance-Id", *id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case !slices.Contains(strings.Split(*models, ","), model):
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case active.Add(1) > int64(*slots):
		active.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer active.Add(-1)
	last := r.Header.Get("Last-Event-Id")
	first := 0
	if n, err := strconv.Atoi(last); err == nil {
		first = n + 1
	}
	prompt, _, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	tokens, _ := strconv.ParseFloat(prompt, 64)
	run := fmt.Sprintf("%s/%d", *id, runs.Add(1))
	sent := 0
	var begun time.Time // when the run had its first token
	defer func() {
		printMu.Lock()
		defer printMu.Unlock()
		fmt.Printf(`{"run":%q,"request":%q,"last_event_id":%q,"first":%d,"events_sent":%d,"begun_ms":%d,"end_ms":%d}`+"\n",
			run, r.Header.Get("X-Request-Id"), last, first, sent, max(0, begun.UnixMilli()), time.Now().UnixMilli())
	}()
	if !work(r, time.Duration(tokens / *prefill * float64(time.Millisecond))) {
		return
	}
	begun = time.Now()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Response-Signature", fmt.Sprintf("%x", rand.Uint64()))
	flush := http.NewResponseController(w)
	for i := first; i < *events; i++ {
		if !work(r, time.Duration((0.9+0.2*rand.Float64())*float64(*pace))) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: {\"run\":%q,\"piece\":%d,\"text\":\"%x\"}\n\n", i, run, i, rand.Uint32()); err != nil || flush.Flush() != nil {
			return
		}
		sent++
	}
}
