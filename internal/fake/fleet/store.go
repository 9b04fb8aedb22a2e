// Package fleet emulates the users' platform for tests and for the soak: the store with its feed, and backend servers
// that list themselves there. It is written from the published protocol and speaks it over HTTP.
package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

// maxFeedRows bounds one answer of the feed and of a list.
const maxFeedRows = 500

// StoreFaults is how the store misbehaves. The zero value is a store in order.
type StoreFaults struct {
	Refuse bool          `json:"refuse"` // answers 503 and does nothing
	Silent bool          `json:"silent"` // does not answer
	Reset  bool          `json:"reset"`  // closes the connection
	Hosts  []string      `json:"hosts"`  // callers, by IP, that the three above are for; all if empty
	Delay  time.Duration `json:"delay"`  // before each answer
	Lose   float64       `json:"lose"`   // part of the writes that are done and not answered
}

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"resource_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// Store is the emulated store. Its Handler speaks the platform's protocol.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	since   int64 // version before the oldest kept change
	version int64
	changed chan struct{}
	faults  StoreFaults
	calls   int64
	start   time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: make(map[rowKey]row), changed: make(chan struct{}), start: time.Now()}
}

// Handler returns the HTTP interface of the store, with PUT /control/faults and DELETE /control/history beside it.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/api/rows-tx", s.guard(s.transact)).Methods(http.MethodPost)
	router.HandleFunc("/api/rows-get", s.guard(s.list)).Methods(http.MethodGet)
	router.HandleFunc("/api/rows-feed", s.guard(s.feed)).Methods(http.MethodGet)
	router.HandleFunc("/control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f StoreFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	}).Methods(http.MethodPut)
	router.HandleFunc("/control/history", func(http.ResponseWriter, *http.Request) { s.DropHistory() }).
		Methods(http.MethodDelete)
	router.HandleFunc("/control/rows", s.transact).Methods(http.MethodPost) // the operator and the servers, never refused
	router.HandleFunc("/control/list", s.list).Methods(http.MethodGet)
	return router
}

// SetFaults changes how the store misbehaves.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed) // feeds that wait notice it
	s.changed = make(chan struct{})
}

// DropHistory forgets the changes so far.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.since = nil, s.version
}

// Calls returns the number of calls, refused ones included.
func (s *Store) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row outside of any fault, as the operator and the servers do.
func (s *Store) Put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Value: value, Version: s.version})
	s.wake()
	return s.version
}

// Remove removes a row outside of any fault.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.wake()
}

func (s *Store) put(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// guard applies the faults to a call.
func (s *Store) guard(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		f := s.faults
		s.mu.Unlock()
		host, _, _ := strings.Cut(r.RemoteAddr, ":")
		hit := len(f.Hosts) == 0 || slices.Contains(f.Hosts, host)
		time.Sleep(f.Delay)
		switch {
		case hit && f.Refuse:
			http.Error(w, "refused", http.StatusServiceUnavailable)
		case hit && f.Silent:
			<-r.Context().Done()
		case hit && f.Reset:
			panic(http.ErrAbortHandler)
		case r.Method == http.MethodPost && rand.Float64() < f.Lose:
			handle(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			handle(w, r)
		}
	}
}

type transaction struct {
	Expected []row `json:"expected"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var present []row
	held := true
	for _, e := range tx.Expected {
		now := s.rows[rowKey{e.Table, e.Part, e.Key}]
		held = held && now.Version == e.Version
		if now.Version != 0 {
			present = append(present, now)
		}
	}
	if !held {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": present})
		return
	}
	s.version++
	for _, p := range tx.Puts {
		p.Version = s.version
		s.put(p)
	}
	for _, p := range tx.Remove {
		p.Version, p.Deleted, p.Value = s.version, true, nil
		s.put(p)
	}
	s.wake()
	s.answer(w, http.StatusOK, map[string]any{})
}

// answer writes a body with the version and clock of the store. The caller holds the lock.
func (s *Store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["resource_version"] = s.version
	body["server_time_ms"] = time.Since(s.start).Milliseconds()
	standin.WriteJSON(w, status, body)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, v)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > maxFeedRows
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), maxFeedRows)], "has_more": more})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("after: %v", err), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms")) // absent means no wait
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.since {
			s.answer(w, http.StatusGone, map[string]any{})
			s.mu.Unlock()
			return
		}
		rows := []row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Version > after && len(rows) < maxFeedRows {
				rows = append(rows, h)
			}
		}
		changed, f := s.changed, s.faults
		broken := (f.Refuse || f.Silent || f.Reset) && len(f.Hosts) == 0
		if len(rows) > 0 || broken {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			s.mu.Lock()
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}
