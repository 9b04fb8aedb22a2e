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

// ReplicaFaults is how a server misbehaves. The zero value is a server in order.
type ReplicaFaults struct {
	Shed     float64       `json:"shed"`     // part of the requests that are turned away as not run
	Fail     float64       `json:"fail"`     // part that run and answer 500
	Drop     float64       `json:"drop"`     // part that run and lose their answer
	Truncate float64       `json:"truncate"` // part whose answer breaks off
	Unsigned float64       `json:"unsigned"` // part answered without a signature
	Hang     float64       `json:"hang"`     // part that never answer
	Slow     time.Duration `json:"slow"`     // before each answer
	// LateOrders is the part of the orders that get no answer and are carried out a second later.
	LateOrders float64 `json:"late_orders"`
	// OrderTime is the duration of a load or unload. Zero carries them out at once.
	OrderTime time.Duration `json:"order_time"`
}

// ReplicaOptions describe an emulated server.
type ReplicaOptions struct {
	ID           string
	Service      string
	Address      string
	DataCentre   string
	Slots        int
	Models       []string // that it holds at the start; empty for a plain service
	AdapterSlots int
	MaxModels    int           // more crash it, as a server without memory does
	Events       int           // of a stream
	Pause        time.Duration // before each event
	ColdPerSec   float64       // requests a second that crash a cold server when exceeded by half and five more
	Cold         time.Duration // after the start
}

// Run is a request that a server ran.
type Run struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Server       string `json:"server"`
	Method       string `json:"method"`
	Target       string `json:"target"`
	Body         string `json:"body"`
	KeySeen      bool   `json:"key_seen"`
	AtMS         int64  `json:"at_ms"` // Unix milliseconds
	Tokens       int    `json:"tokens"`
	Whole        bool   `json:"whole"`
}

// Replica is one emulated server.
type Replica struct {
	opts ReplicaOptions
	born int64

	mu       sync.Mutex
	faults   ReplicaFaults
	models   map[string][]string // adapters by model
	disk     []string
	busy     bool
	sequence int64
	fence    int64
	holders  map[string]time.Time
	draining bool
	active   int
	runs     []Run
	crashed  string // why, if an order or load crashed it
	sent     []time.Time
}

// NewReplica returns a server that starts now.
func NewReplica(opts ReplicaOptions) *Replica {
	r := &Replica{
		opts: opts, born: time.Now().UnixMilli(), models: make(map[string][]string), holders: make(map[string]time.Time),
	}
	for _, m := range opts.Models {
		r.models[m] = nil
		r.disk = append(r.disk, m)
	}
	return r
}

// Entry returns the server's entry in the list.
func (r *Replica) Entry() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := "ready"
	if r.draining {
		state = "draining"
	}
	entry, err := json.Marshal(map[string]any{
		"service": r.opts.Service, "address": r.opts.Address, "zone": r.opts.DataCentre, "version": "v1",
		"slots": r.opts.Slots, "state": state, "warmup_left_ms": max(0, r.coldLeft().Milliseconds()), "born": r.born,
		"models": r.modelList(), "sequence": r.sequence,
	})
	if err != nil {
		panic("an entry of plain values is always encoded: " + err.Error())
	}
	return entry
}

func (r *Replica) coldLeft() time.Duration {
	return r.opts.Cold - time.Since(time.UnixMilli(r.born))
}

func (r *Replica) modelList() []map[string]any {
	list := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(r.models)) {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": append([]string{}, r.models[name]...)})
	}
	return list
}

// SetFaults changes how the server misbehaves.
func (r *Replica) SetFaults(f ReplicaFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Drain makes the server report that it leaves.
func (r *Replica) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// Restart empties the server, which keeps its disk and its ID.
func (r *Replica) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born = max(time.Now().UnixMilli(), r.born+1)
	r.models, r.busy, r.sequence, r.fence = make(map[string][]string), false, 0, 0
}

// Runs returns what the server ran, and why it crashed, if it did.
func (r *Replica) Runs() (runs []Run, crashed string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.runs), r.crashed
}

// Handler returns the server's interface, with /control/ beside it.
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
		"available": map[string]any{"in_memory": []string{}, "on_disk": r.disk},
	})
}

// Signature returns the signature of a whole answer.
func Signature(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:8])
}

// Body returns the answer of a plain request, or of a stream of n events from the given one.
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

// Event returns one event of a stream. Events of all requests for one subject are alike, so that a stream can go on at
// another server.
func Event(requestID string, i int) string {
	return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", i, i, requestID)
}

// refuse turns a request away if the server does not run it, and reports whether it did.
func (r *Replica) refuse(w http.ResponseWriter, q *http.Request) bool {
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
	r.countCold()
	return false
}

// countCold crashes a cold server that gets more than it bears. The caller holds the lock.
func (r *Replica) countCold() {
	now := time.Now()
	r.sent = slices.DeleteFunc(r.sent, func(t time.Time) bool { return now.Sub(t) > time.Second })
	r.sent = append(r.sent, now)
	if r.opts.ColdPerSec > 0 && r.coldLeft() > 0 && float64(len(r.sent)) > 1.5*r.opts.ColdPerSec+5 {
		r.crashed = fmt.Sprintf("%d requests in a second while cold", len(r.sent))
	}
}

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if r.refuse(w, q) {
		return
	}
	id := q.Header.Get("X-Request-Id")
	r.mu.Lock()
	f := r.faults
	at := len(r.runs)
	tokens := 0
	for part := range strings.SplitSeq(q.Header.Get("X-Token-Usage"), ",") {
		n, _ := strconv.Atoi(part) // absent counts as none
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
	w.Header().Set("X-Request-Id", id)
	if rand.Float64() >= f.Unsigned {
		w.Header().Set("X-Response-Signature", Signature(Body(id, 0, r.opts.Events)))
	}
	if rand.Float64() < f.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	r.answer(q.Context(), w, q, rand.Float64() < f.Truncate)
	r.mu.Lock()
	r.runs[at].Whole = true
	r.mu.Unlock()
}

// answer sends the answer, or half of it.
func (r *Replica) answer(ctx context.Context, w http.ResponseWriter, q *http.Request, truncate bool) {
	id := q.Header.Get("X-Request-Id")
	if r.opts.Events == 0 {
		body := Body(id, 0, 0)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if truncate {
			_, _ = io.WriteString(w, body[:len(body)/2]) // the caller may be gone
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, body)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	flush := http.NewResponseController(w)
	for i := from; i < r.opts.Events; i++ {
		select {
		case <-time.After(r.opts.Pause):
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		event := Event(id, i)
		if truncate && i == from+(r.opts.Events-from)/2 {
			_, _ = io.WriteString(w, event[:len(event)/2]) // the caller may be gone
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		_ = flush.Flush()
	}
}
