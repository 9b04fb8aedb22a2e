package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

// ReplicaFaults are the faults that an emulated backend server injects. Fractions are from 0 to 1. The zero value injects
// none.
type ReplicaFaults struct {
	Shed     float64       `json:"shed"`     // fraction of the requests that are rejected as not run
	Fail     float64       `json:"fail"`     // fraction that run and get status 500
	Drop     float64       `json:"drop"`     // fraction that run and whose response is lost
	Truncate float64       `json:"truncate"` // fraction whose response is cut off
	Unsigned float64       `json:"unsigned"` // fraction whose response has no signature
	Hang     float64       `json:"hang"`     // fraction that run and never get a response
	Slow     time.Duration `json:"slow"`     // delay before each response
	// SilentHead and SilentBody are the fractions of the requests for which the server sends nothing for Silence and then goes
	// on: before the head of the response, or in the middle of its body, for a stream between two events.
	SilentHead float64       `json:"silent_head"`
	SilentBody float64       `json:"silent_body"`
	Silence    time.Duration `json:"silence"`
	// LateOrders is the fraction of the orders that get no response and are executed one second later.
	LateOrders float64 `json:"late_orders"`
	// OrderTime is the duration of a load or unload. With zero, orders take effect immediately.
	OrderTime time.Duration `json:"order_time"`
}

// ReplicaOptions describes an emulated backend server.
type ReplicaOptions struct {
	ID           string
	Service      string
	Address      string
	DataCentre   string
	Slots        int
	Models       []string // models that it holds at the start; empty for a plain service
	AdapterSlots int
	MaxModels    int           // a larger number of models crashes the server, as if it ran out of memory
	Events       int           // number of events of a stream; zero for plain responses
	Pause        time.Duration // delay before each event
	// ColdPerSecond is the number of requests per second that a cold server can take: it crashes above 1.5 times this
	// number plus 5. Zero sets no limit.
	ColdPerSecond float64
	Cold          time.Duration // time after the start for which the server is cold
}

// Run is a request that an emulated backend server ran. /control/runs lists it as JSON.
type Run struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Server       string `json:"server"`
	Method       string `json:"method"`
	Target       string `json:"target"`
	Body         string `json:"body"`
	KeySeen      bool   `json:"key_seen"` // the request carried the caller's credentials
	AtMS         int64  `json:"at_ms"`    // Unix milliseconds
	Tokens       int    `json:"tokens"`   // prompt and output tokens that the request declared
	Whole        bool   `json:"whole"`    // the whole response was sent
}

// Replica is one emulated backend server. It is safe for concurrent use.
type Replica struct {
	opts ReplicaOptions
	born int64

	mu             sync.Mutex
	faults         ReplicaFaults
	models         map[string][]string // adapters of each model in memory
	onDisk         []string
	busy           bool
	sequence       int64
	fence          int64
	holders        map[string]time.Time
	draining       bool
	active         int
	runs           []Run
	crashed        string // reason, if an order or the load crashed the server
	recentRequests []time.Time
}

// NewReplica returns an emulated backend server whose start time is now.
func NewReplica(opts ReplicaOptions) *Replica {
	r := &Replica{
		opts: opts, born: time.Now().UnixMilli(), models: make(map[string][]string), holders: make(map[string]time.Time),
	}
	for _, m := range opts.Models {
		r.models[m] = nil
		r.onDisk = append(r.onDisk, m)
	}
	return r
}

// Entry returns the backend server's entry in the server list, as JSON.
func (r *Replica) Entry() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := "ready"
	if r.draining {
		state = "draining"
	}
	entry, err := json.Marshal(map[string]any{
		"service": r.opts.Service, "address": r.opts.Address, "zone": r.opts.DataCentre, "version": "v1",
		"slots": r.opts.Slots, "state": state, "warmup_left_ms": max(0, r.warmupLeft().Milliseconds()), "born": r.born,
		"models": r.modelList(), "sequence": r.sequence,
	})
	if err != nil {
		panic("encode server entry: " + err.Error())
	}
	return entry
}

func (r *Replica) warmupLeft() time.Duration {
	return r.opts.Cold - time.Since(time.UnixMilli(r.born))
}

func (r *Replica) modelList() []map[string]any {
	list := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(r.models)) {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": append([]string{}, r.models[name]...)})
	}
	return list
}

// SetFaults replaces the injected faults.
func (r *Replica) SetFaults(f ReplicaFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Drain makes the backend server report the state draining.
func (r *Replica) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// Restart emulates a restart of the backend server: it loses the models in memory and keeps those on disk, and its ID.
func (r *Replica) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born = max(time.Now().UnixMilli(), r.born+1)
	r.models, r.busy, r.sequence, r.fence = make(map[string][]string), false, 0, 0
}

// Runs returns the requests that the backend server ran, and the reason if it crashed.
func (r *Replica) Runs() (runs []Run, crashed string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs), r.crashed
}

// Active returns the number of requests that the backend server is working on.
func (r *Replica) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// Handler returns the HTTP interface of the backend server, and the paths below /control/ by which tests control it.
func (r *Replica) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/api/report", r.report).Methods(http.MethodGet)
	router.HandleFunc("/api/order", r.order).Methods(http.MethodPost)
	router.HandleFunc("/control/faults", func(w http.ResponseWriter, q *http.Request) {
		var f ReplicaFaults
		if err := json.NewDecoder(q.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.SetFaults(f)
	}).Methods(http.MethodPut)
	router.HandleFunc("/control/restart", func(http.ResponseWriter, *http.Request) { r.Restart() }).Methods(http.MethodPost)
	router.HandleFunc("/control/drain", func(http.ResponseWriter, *http.Request) { r.Drain() }).Methods(http.MethodPost)
	router.HandleFunc("/control/runs", func(w http.ResponseWriter, _ *http.Request) {
		runs, crashed := r.Runs()
		standin.WriteJSON(w, http.StatusOK, map[string]any{"runs": runs, "crashed": crashed})
	}).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(r.serve)
	return router
}

func (r *Replica) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := "ready"
	if r.draining {
		state = "draining"
	}
	standin.WriteJSON(w, http.StatusOK, map[string]any{
		"stage": "mixed", "models": r.modelList(), "busy": r.busy, "sequence": r.sequence, "queued": 0, "active": r.active,
		"kv_used": 0, "kv_total": 200_000, "born": r.born, "state": state,
		"available": map[string]any{"in_memory": []string{}, "on_disk": r.onDisk},
	})
}

// Signature returns the signature of a complete response body, in hexadecimal.
func Signature(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:8])
}

// Body returns the body of the response to a plain request if n is 0, or else the events from (counted from 0) to n-1 of a
// stream.
func Body(requestID string, from, n int) string {
	if n == 0 {
		return "answer to " + requestID
	}
	var b strings.Builder
	for i := from; i < n; i++ {
		b.WriteString(Event(requestID, i))
	}
	return b.String()
}

// Event returns event i of a stream. It depends on the request ID and i only, so that a stream can be resumed at another
// backend server.
func Event(requestID string, i int) string {
	return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", i, i, requestID)
}

// reject responds to a request that the backend server does not run, and returns true. Otherwise it counts the request as
// active and returns false.
func (r *Replica) reject(w http.ResponseWriter, q *http.Request) bool {
	model, adapter, _ := strings.Cut(q.Header.Get("X-Model"), "/")
	r.mu.Lock()
	defer r.mu.Unlock()
	adapters, held := r.models[model]
	status := 0
	switch {
	case q.Header.Get("X-Expect-Instance") != r.opts.ID:
		w.Header().Set("X-Instance-Id", r.opts.ID)
		status = http.StatusMisdirectedRequest
	case model != "" && (!held || adapter != "" && !slices.Contains(adapters, adapter)):
		status = http.StatusMisdirectedRequest
	case r.active >= r.opts.Slots || rand.Float64() < r.faults.Shed:
		w.Header().Set("X-Not-Executed", "1")
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		w.Header().Set("X-Request-Id", q.Header.Get("X-Request-Id"))
		w.WriteHeader(status)
		return true
	}
	r.active++
	r.checkColdRate()
	return false
}

// checkColdRate counts a request and records a crash if a cold server gets more requests per second than it can take. The
// caller holds r.mu.
func (r *Replica) checkColdRate() {
	now := time.Now()
	r.recentRequests = slices.DeleteFunc(r.recentRequests, func(t time.Time) bool { return now.Sub(t) > time.Second })
	r.recentRequests = append(r.recentRequests, now)
	if r.opts.ColdPerSecond > 0 && r.warmupLeft() > 0 && float64(len(r.recentRequests)) > 1.5*r.opts.ColdPerSecond+5 {
		r.crashed = fmt.Sprintf("%d requests in one second while cold", len(r.recentRequests))
	}
}

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if r.reject(w, q) {
		return
	}
	id := q.Header.Get("X-Request-Id")
	r.mu.Lock()
	f := r.faults
	runIndex := len(r.runs)
	tokens := 0
	for part := range strings.SplitSeq(q.Header.Get("X-Token-Usage"), ",") {
		n, _ := strconv.Atoi(part) // an absent number counts as 0
		tokens += n
	}
	r.runs = append(r.runs, Run{
		ID: id, Organisation: q.Header.Get("X-Tenant"), Server: r.opts.ID, Method: q.Method, Target: q.RequestURI,
		Body: string(body), KeySeen: q.Header.Get("Authorization") != "", AtMS: time.Now().UnixMilli(), Tokens: tokens,
	})
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.active--
	}()
	time.Sleep(f.Slow)
	if rand.Float64() < f.Hang {
		<-q.Context().Done()
		return
	}
	if rand.Float64() < f.Drop {
		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < f.SilentHead {
		pause(q.Context(), f.Silence)
	}
	w.Header().Set("X-Request-Id", id)
	if rand.Float64() >= f.Unsigned {
		w.Header().Set("X-Response-Signature", Signature(Body(id, 0, r.opts.Events)))
	}
	if rand.Float64() < f.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	silence := time.Duration(0)
	if rand.Float64() < f.SilentBody {
		silence = f.Silence
	}
	r.writeResponse(q.Context(), w, q, rand.Float64() < f.Truncate, silence)
	r.mu.Lock()
	r.runs[runIndex].Whole = true
	r.mu.Unlock()
}

// pause waits for d. It aborts the response if ctx ends first.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// writeResponse sends the response, with a pause of the given silence in the middle of it. If truncate is set, it closes the
// connection there.
func (r *Replica) writeResponse(ctx context.Context, w http.ResponseWriter, q *http.Request, truncate bool, silence time.Duration) {
	flush := http.NewResponseController(w)
	id := q.Header.Get("X-Request-Id")
	if r.opts.Events == 0 {
		body := Body(id, 0, 0)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if truncate {
			_, _ = io.WriteString(w, body[:len(body)/2]) // the client may have disconnected
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, body[:len(body)/2])
		if silence > 0 {
			_ = flush.Flush()
			pause(ctx, silence)
		}
		_, _ = io.WriteString(w, body[len(body)/2:])
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	for i := from; i < r.opts.Events; i++ {
		pause(ctx, r.opts.Pause)
		event := Event(id, i)
		middle := i == from+(r.opts.Events-from)/2
		if middle && silence > 0 {
			pause(ctx, silence)
		}
		if truncate && middle {
			_, _ = io.WriteString(w, event[:len(event)/2]) // the client may have disconnected
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		_ = flush.Flush()
	}
}
