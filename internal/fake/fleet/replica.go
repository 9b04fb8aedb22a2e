package fleet

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

// ReplicaFaults are the faults that an emulated backend server injects. Fractions are from 0 to 1. The zero value injects
// none.
type ReplicaFaults struct {
	// Shed is the fraction of the requests that are rejected as not run. RetryAfter is the time that each rejection with
	// status 503 asks the client to wait, in Retry-After; zero sends no such header.
	Shed       float64       `json:"shed"`
	RetryAfter time.Duration `json:"retry_after"`

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
	// ShortFor is the time for which the server accepts no connection, as if it had no free file descriptor.
	ShortFor time.Duration `json:"short_for"`
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
	Crash         PromptCrash
	Unframed      float64 // fraction of the responses with neither a length nor chunks, which end with their connection
	// End ends the server when a request crashes it. It need not return.
	End func()
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
	EndMS        int64  `json:"end_ms"`   // when the work on it ended, in Unix milliseconds; 0 if it has not
	Leaving      bool   `json:"leaving"`  // the response says that the server is leaving
	Crashed      bool   `json:"crashed"`  // the request crashed the server
	Unframed     bool   `json:"unframed"` // the response has neither a length nor chunks
}

// Replica is one emulated backend server. It is safe for concurrent use.
type Replica struct {
	opts ReplicaOptions
	born int64

	mu             sync.Mutex
	faults         ReplicaFaults
	shortUntil     time.Time           // end of ReplicaFaults.ShortFor
	models         map[string][]string // adapters of each model in memory
	onDisk         []string
	busy           bool
	sequence       int64
	fence          int64
	holders        map[string]time.Time
	draining       bool // in the server list and in reports
	leaving        bool // in the header of responses
	active         int
	runs           []Run
	rejections     []Rejection
	ended          bool   // a request has crashed it
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
	r.faults, r.shortUntil = f, time.Now().Add(f.ShortFor)
}

// Leave makes the backend server say in each of its responses that it is leaving. It does not change the state in the
// server list.
func (r *Replica) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Drain makes the backend server report the state draining. It does not change the header of responses.
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

// Active returns the number of requests that the backend server is working on.
func (r *Replica) Active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
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

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if r.reject(w, q) {
		return
	}
	id := q.Header.Get("X-Request-Id")
	runIndex, f := r.beginRun(q, string(body))
	whole := false
	defer func() { r.endRun(runIndex, whole) }()
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
	r.setLeaving(w.Header(), runIndex)
	if rand.Float64() >= f.Unsigned {
		w.Header().Set("X-Response-Signature", Signature(r.body(q)))
	}
	if rand.Float64() < f.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	silence := time.Duration(0)
	if rand.Float64() < f.SilentBody {
		silence = f.Silence
	}
	if rand.Float64() < r.opts.Unframed {
		unframed, err := newUnframedWriter(w)
		if err != nil {
			panic("take over the connection: " + err.Error())
		}
		defer unframed.close()
		w = unframed
		r.setUnframed(runIndex)
	}
	if r.opts.Crash.matches(q) {
		r.crash(w, q, runIndex)
	}
	r.writeResponse(q.Context(), w, q, rand.Float64() < f.Truncate, silence)
	whole = true
}

// beginRun records that the backend server began to work on a request. It returns the index of the record and the faults to
// inject.
func (r *Replica) beginRun(q *http.Request, body string) (index int, f ReplicaFaults) {
	tokens := 0
	for part := range strings.SplitSeq(q.Header.Get("X-Token-Usage"), ",") {
		n, _ := strconv.Atoi(part) // an absent number counts as 0
		tokens += n
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		panic(http.ErrAbortHandler)
	}
	r.runs = append(r.runs, Run{
		ID: q.Header.Get("X-Request-Id"), Organisation: q.Header.Get("X-Tenant"), Server: r.opts.ID, Method: q.Method,
		Target: q.RequestURI, Body: body, KeySeen: q.Header.Get("Authorization") != "", AtMS: time.Now().UnixMilli(),
		Tokens: tokens,
	})
	return len(r.runs) - 1, r.faults
}

// setLeaving adds the sign that the backend server is leaving to the header of a response, if it is, and records that.
func (r *Replica) setLeaving(h http.Header, index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		h.Set(headerLeaving, "1")
		r.runs[index].Leaving = true
	}
}

func (r *Replica) setUnframed(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[index].Unframed = true
}

// endRun records that the work on a request ended, and whether the whole response was sent.
func (r *Replica) endRun(index int, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	r.runs[index].Whole, r.runs[index].EndMS = whole, time.Now().UnixMilli()
}
