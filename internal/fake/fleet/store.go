// Package fleet emulates the users' platform for tests and for the soak test: the store with its feed of changes, and
// backend servers that register in the store's server list. It implements the published protocol over HTTP and can
// inject faults.
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

// maxPageRows is the maximum number of rows in one response of the feed or of a list.
const maxPageRows = 500

// StoreFaults are the faults that the store injects. The zero value injects none.
type StoreFaults struct {
	Refuse bool          `json:"refuse"` // respond with status 503 and do nothing
	Silent bool          `json:"silent"` // do not respond
	Reset  bool          `json:"reset"`  // close the connection
	Hosts  []string      `json:"hosts"`  // IP addresses of the clients to which the three faults above apply; all if empty
	Delay  time.Duration `json:"delay"`  // delay before each response
	Lose   float64       `json:"lose"`   // fraction (0 to 1) of the writes that are executed and get no response
	// ShortFor is the time for which the store accepts no connection, as if it had no free file descriptor.
	ShortFor time.Duration `json:"short_for"`
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

// Store is the emulated store. It is safe for concurrent use.
type Store struct {
	mu           sync.Mutex
	rows         map[rowKey]row
	history      []row
	historyStart int64 // version before the oldest change in history
	version      int64
	era          int64 // rises by one with each return from a copy; zero if the store sends none
	changed      chan struct{}
	faults       StoreFaults
	shortUntil   time.Time // end of StoreFaults.ShortFor
	away         bool      // refuses calls until it is restored from a copy
	taken        Copy      // by TakeCopy through the control interface
	calls        int64
	start        time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: make(map[rowKey]row), changed: make(chan struct{}), era: 1, start: time.Now()}
}

// Handler returns the HTTP interface of the store, and the paths below /control/ by which tests control it: PUT faults,
// DELETE history, POST copy, POST restore, POST rows and GET list.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/api/rows-tx", s.withFaults(s.transact)).Methods(http.MethodPost)
	router.HandleFunc("/api/rows-get", s.withFaults(s.list)).Methods(http.MethodGet)
	router.HandleFunc("/api/rows-feed", s.withFaults(s.feed)).Methods(http.MethodGet)
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
	router.HandleFunc("/control/copy", func(http.ResponseWriter, *http.Request) { s.TakeCopy() }).Methods(http.MethodPost)
	router.HandleFunc("/control/restore", s.controlRestore).Methods(http.MethodPost)
	router.HandleFunc("/control/rows", s.transact).Methods(http.MethodPost) // for the operator and the backend servers: no faults
	router.HandleFunc("/control/list", s.list).Methods(http.MethodGet)
	return router
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.shortUntil = f, time.Now().Add(f.ShortFor)
	close(s.changed) // wakes waiting feed calls, which check the faults
	s.changed = make(chan struct{})
}

// DropHistory removes all past changes, so that a feed that starts before them gets status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.version
}

// Calls returns the number of calls to the paths below /api/, including those that a fault affected.
func (s *Store) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row with an empty part, unaffected by faults, as the operator and the backend servers do. It returns the
// version of the change.
func (s *Store) Put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Value: value, Version: s.version})
	s.notifyFeeds()
	return s.version
}

// Remove removes a row with an empty part, unaffected by faults.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.notifyFeeds()
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

func (s *Store) notifyFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// withFaults returns a handler that counts the calls and applies the injected faults before it calls handle.
func (s *Store) withFaults(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		f := s.faults
		f.Refuse = f.Refuse || s.away
		s.setEra(w)
		s.mu.Unlock()
		host, _, _ := strings.Cut(r.RemoteAddr, ":")
		affected := len(f.Hosts) == 0 || slices.Contains(f.Hosts, host)
		time.Sleep(f.Delay)
		switch {
		case affected && f.Refuse:
			http.Error(w, "refused", http.StatusServiceUnavailable)
		case affected && f.Silent:
			<-r.Context().Done()
		case affected && f.Reset:
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
	var current []row
	held := true
	for _, e := range tx.Expected {
		stored := s.rows[rowKey{e.Table, e.Part, e.Key}]
		held = held && stored.Version == e.Version
		if stored.Version != 0 {
			current = append(current, stored)
		}
	}
	if !held {
		s.writeResponse(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
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
	s.notifyFeeds()
	s.writeResponse(w, http.StatusOK, map[string]any{})
}

// writeResponse writes body as JSON, with the version and the clock of the store added. The caller holds s.mu.
func (s *Store) writeResponse(w http.ResponseWriter, status int, body map[string]any) {
	body["resource_version"] = s.version
	body["server_time_ms"] = time.Since(s.start).Milliseconds()
	s.setEra(w)
	standin.WriteJSON(w, status, body)
}

// setEra adds the era to a response. The caller holds s.mu.
func (s *Store) setEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	}
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
	more := len(rows) > maxPageRows
	s.writeResponse(w, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), maxPageRows)], "has_more": more})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("after: %v", err), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms")) // an absent number means no wait
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.historyStart || after > s.version {
			s.writeResponse(w, http.StatusGone, map[string]any{})
			s.mu.Unlock()
			return
		}
		rows := []row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Version > after && len(rows) < maxPageRows {
				rows = append(rows, h)
			}
		}
		changed, f := s.changed, s.faults
		broken := s.away || (f.Refuse || f.Silent || f.Reset) && len(f.Hosts) == 0
		if len(rows) > 0 || broken {
			s.writeResponse(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			s.mu.Lock()
			s.writeResponse(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}
