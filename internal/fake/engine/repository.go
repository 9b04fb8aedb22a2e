package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

const maxOrderBytes = 64 << 10

// State is the answer of GET /engine/state.
type State struct {
	Incarnation   string       `json:"incarnation"`
	MemoryTotalMB int64        `json:"memory_total_mb"`
	MemoryUsedMB  int64        `json:"memory_used_mb"`
	HighWaterMB   int64        `json:"high_water_mb"` // greatest use since New, over restarts
	Running       int          `json:"running"`
	Waiting       int          `json:"waiting"`
	Models        []StateModel `json:"models"`
	Adapters      []string     `json:"adapters"`
	FellOver      int          `json:"fell_over"`
	BadResumes    int          `json:"bad_resumes"` // continuations of a text that the engine would not generate
	Warm          bool         `json:"warm"`
}

// StateModel is one model of a State.
type StateModel struct {
	Name     string     `json:"name"`
	State    ModelState `json:"state"`
	MemoryMB int64      `json:"memory_mb"`
}

// State returns what GET /engine/state answers.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{
		Incarnation: s.incarnation, MemoryTotalMB: s.mem.totalMB, MemoryUsedMB: s.mem.usedMB(),
		HighWaterMB: s.mem.highMB, Running: s.batch.runningCount(), Models: []StateModel{},
		Adapters: s.mem.adapterNames(), FellOver: s.fellOver, BadResumes: s.badResumes,
		Warm: s.warmthLocked() == 1,
	}
	state.Waiting = s.batch.size() - state.Running
	for _, name := range s.mem.modelNames() {
		e := s.mem.models[name]
		state.Models = append(state.Models, StateModel{name, e.state, e.memoryMB})
	}
	return state
}

func (s *Server) handleState(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.State())
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	down := time.Now().Before(s.downUntil)
	s.mu.Unlock()
	if down {
		writeError(w, http.StatusServiceUnavailable, "the engine is down")
	}
}

func (s *Server) handleModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	data := []model{}
	s.mu.Lock()
	for _, name := range append(s.mem.modelNames(), s.mem.adapterNames()...) {
		if _, ok := s.mem.serving(name); ok {
			data = append(data, model{name, "model"})
		}
	}
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{"object": "list", "data": data})
}

func (s *Server) handleIndex(w http.ResponseWriter, _ *http.Request) {
	type row struct {
		Name   string     `json:"name"`
		State  ModelState `json:"state"`
		Reason string     `json:"reason"`
	}
	rows := []row{}
	s.mu.Lock()
	for _, name := range s.mem.modelNames() {
		e := s.mem.models[name]
		rows = append(rows, row{name, e.state, e.reason})
	}
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, rows)
}

// order is one load or unload of a model.
type order struct {
	name     string
	load     bool
	fence    int64
	memoryMB int64
}

func parseOrder(r *http.Request, raw []byte) (order, error) {
	vars := mux.Vars(r)
	o := order{name: vars["name"], load: vars["action"] == "load"}
	var body struct {
		Parameters map[string]string `json:"parameters"`
	}
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &body); err != nil {
			return o, fmt.Errorf("invalid order: %w", err)
		}
	}
	for name, into := range map[string]*int64{"fencing_number": &o.fence, "memory_mb": &o.memoryMB} {
		text, ok := body.Parameters[name]
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 {
			return o, fmt.Errorf("parameter %s is %q, not a whole number", name, text)
		}
		*into = n
	}
	return o, nil
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	raw, err := readBody(w, r, maxOrderBytes)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	o, err := parseOrder(r, raw)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	fault := s.takeOrderFault()
	if fault.lose {
		panic(http.ErrAbortHandler)
	}
	if fault.delay > 0 {
		// A delayed order takes effect even if its sender has given up.
		<-time.After(fault.delay)
	}
	err = s.apply(o)
	if fault.repeat {
		time.AfterFunc(fault.repeatAfter, func() { _ = s.apply(o) })
	}
	if fault.loseAnswer {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeError(w, http.StatusConflict, err.Error())
	}
}

type orderFault struct {
	lose, loseAnswer, repeat bool
	delay, repeatAfter       time.Duration
}

func (s *Server) takeOrderFault() orderFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var f orderFault
	if f.lose = take(&s.faults.LoseOrders); f.lose {
		return f
	}
	f.loseAnswer = take(&s.faults.LoseOrderAnswers)
	if take(&s.faults.DelayOrders) {
		f.delay = s.faults.orderDelay()
	}
	f.repeat = take(&s.faults.DuplicateOrders)
	f.repeatAfter = s.faults.orderDelay()
	return f
}

// apply starts an order. An order with the present fencing number is accepted, so that a repeat is too.
func (s *Server) apply(o order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Fencing && o.fence < s.fence {
		return fmt.Errorf("fencing number %d is older than %d", o.fence, s.fence)
	}
	s.fence = max(s.fence, o.fence)
	mem := s.mem // a restart replaces the memory; the order then ends on the old one
	if o.load {
		if e := mem.beginLoad(o.name, o.memoryMB); e != nil {
			s.after(s.opts.LoadTime, func() { mem.endLoad(o.name, e) })
		}
		return nil
	}
	if e := mem.beginUnload(o.name); e != nil {
		s.after(s.opts.UnloadTime, func() { mem.endUnload(o.name, e) })
	}
	return nil
}

// after runs change after d; at once if d is zero. The caller holds the lock.
func (s *Server) after(d time.Duration, change func()) {
	if d <= 0 {
		change()
		return
	}
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		change()
	})
}
