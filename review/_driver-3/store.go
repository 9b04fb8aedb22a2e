package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store as it is on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"resource_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// contents is what the store keeps. A copy of it is what the store comes back from.
type contents struct {
	rows    map[rowKey]row
	history []row
	version int64
}

func (c *contents) clone() contents {
	rows := make(map[rowKey]row, len(c.rows))
	for k, r := range c.rows {
		rows[k] = r
	}
	return contents{rows, slices.Clone(c.history), c.version}
}

// store emulates the platform's store: rows-tx, rows-get and rows-feed. It can come back from an earlier copy, as LETTER-12.md says.
type store struct {
	record *record
	server *http.Server
	start  time.Time

	mu      sync.Mutex
	now     contents
	era     int
	away    bool // it refuses calls and cuts those that wait
	changed chan struct{}
}

func newStore(address string, rec *record) (*store, error) {
	s := &store{record: rec, start: time.Now(), now: contents{rows: make(map[rowKey]row), version: 100}, era: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.call(s.transact))
	mux.HandleFunc("GET /api/rows-get", s.call(s.get))
	mux.HandleFunc("GET /api/rows-feed", s.call(s.feed))
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }() // ends with close
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// call refuses calls while the store is away, and otherwise takes the time of an answer.
func (s *store) call(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		if away {
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Store-Era", strconv.Itoa(era))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handle(w, r)
	}
}

// answer writes a response. The caller holds s.mu.
func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["resource_version"] = s.now.version
	body["server_time_ms"] = time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply makes the changes of one transaction. The caller holds s.mu.
func (s *store) apply(puts, remove []row) int64 {
	s.now.version++
	for _, r := range puts {
		r.Version, r.Deleted = s.now.version, false
		s.now.rows[rowKey{r.Table, r.Part, r.Key}] = r
		s.now.history = append(s.now.history, r)
	}
	for _, r := range remove {
		delete(s.now.rows, rowKey{r.Table, r.Part, r.Key})
		s.now.history = append(s.now.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.now.version, Deleted: true})
	}
	s.wake()
	return s.now.version
}

// put writes a row for the operator or a replica. It returns 0 while the store is away.
func (s *store) put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0
	}
	return s.apply([]row{{Table: table, Key: key, Value: value}}, nil)
}

func (s *store) remove(table, key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0
	}
	return s.apply(nil, []row{{Table: table, Key: key}})
}

func (s *store) version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now.version
}

// copyContents returns a copy for restore.
func (s *store) copyContents() contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now.clone()
}

// setAway makes the store refuse all calls.
func (s *store) setAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// restore brings the store back from an earlier copy.
func (s *store) restore(c contents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.add("store: back from a copy: version %d, was %d; era %d, was %d", c.version, s.now.version, s.era+1, s.era)
	s.now, s.away = c, false
	s.era++
	s.wake()
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range append(slices.Clone(tx.Puts), tx.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, current := true, []row{}
	for _, e := range tx.Expected {
		stored := s.now.rows[rowKey{e.Table, e.Part, e.Key}]
		held = held && stored.Version == e.Version
		if stored.Version != 0 {
			current = append(current, stored)
		}
	}
	if !held {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.apply(tx.Puts, tx.Remove)
	s.answer(w, http.StatusOK, map[string]any{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for k, v := range s.now.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, v)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, map[string]any{"rows": rows, "has_more": false})
}

// feed answers with the changes after a version. A version that the store doesn't have gets 410.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.now.version {
			s.answer(w, http.StatusGone, map[string]any{})
			s.mu.Unlock()
			return
		}
		rows := []row{}
		for _, h := range s.now.history {
			if h.Table == q.Get("table") && h.Version > after {
				rows = append(rows, h)
			}
		}
		if len(rows) > 0 || expired {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
