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

// State is the response body of GET /engine/state.
type State struct {
	Incarnation   string       `json:"incarnation"`
	MemoryTotalMB int64        `json:"memory_total_mb"`
	MemoryUsedMB  int64        `json:"memory_used_mb"`
	HighWaterMB   int64        `json:"high_water_mb"` // highest use since New, including before restarts
	Running       int          `json:"running"`
	Waiting       int          `json:"waiting"`
	Models        []StateModel `json:"models"`
	Adapters      []string     `json:"adapters"`
	Crashes       int          `json:"fell_over"`   // crashes under overload since New
	BadResumes    int          `json:"bad_resumes"` // requests that continue a text which the engine would not generate
	Warm          bool         `json:"warm"`
}

// StateModel is one model of a State.
type StateModel struct {
	Name     string     `json:"name"`
	State    ModelState `json:"state"`
	MemoryMB int64      `json:"memory_mb"`
}

// State returns the state that GET /engine/state reports.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := State{
		Incarnation: s.incarnation, MemoryTotalMB: s.mem.totalMB, MemoryUsedMB: s.mem.usedMB(),
		HighWaterMB: s.mem.highWaterMB, Running: s.batch.runningCount(), Models: []StateModel{},
		Adapters: s.mem.adapterNames(), Crashes: s.crashes, BadResumes: s.badResumes,
		Warm: s.warmUpProgressLocked() == 1,
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
		writeError(w, http.StatusServiceUnavailable, "the engine is unavailable after a crash")
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

// order is one request to load or unload a model.
type order struct {
	name          string
	load          bool
	fencingNumber int64
	memoryMB      int64
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
	for name, value := range map[string]*int64{"fencing_number": &o.fencingNumber, "memory_mb": &o.memoryMB} {
		text, ok := body.Parameters[name]
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 {
			return o, fmt.Errorf("parameter %s is %q, not a non-negative integer", name, text)
		}
		*value = n
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
	fault := s.nextOrderFault()
	if fault.lose {
		panic(http.ErrAbortHandler)
	}
	if fault.delay > 0 {
		// A delayed order takes effect even if the client has disconnected.
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

func (s *Server) nextOrderFault() orderFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var f orderFault
	if f.lose = consumeFault(&s.faults.LoseOrders); f.lose {
		return f
	}
	f.loseAnswer = consumeFault(&s.faults.LoseOrderAnswers)
	if consumeFault(&s.faults.DelayOrders) {
		f.delay = s.faults.orderDelay()
	}
	f.repeat = consumeFault(&s.faults.DuplicateOrders)
	f.repeatAfter = s.faults.orderDelay()
	return f
}

// apply starts a load or unload. An order with the current fencing number is accepted, so that a repeated order is
// accepted too.
func (s *Server) apply(o order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Fencing && o.fencingNumber < s.fencingNumber {
		return fmt.Errorf("fencing number %d is older than %d", o.fencingNumber, s.fencingNumber)
	}
	s.fencingNumber = max(s.fencingNumber, o.fencingNumber)
	mem := s.mem // a restart replaces s.mem; an order started before it ends on the old one
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

// after runs change with the lock held: after d, or at once if d is zero. The caller holds the lock.
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
