package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
)

type adapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// readAdapterOrder decodes an adapter load or unload. It returns false if the request is already finished: it was
// invalid and has been answered with 400. If an injected fault loses the order, it closes the connection.
func (s *Server) readAdapterOrder(w http.ResponseWriter, r *http.Request) (adapterOrder, bool) {
	var o adapterOrder
	raw, err := readBody(w, r, maxOrderBytes)
	if err == nil {
		err = json.Unmarshal(raw, &o)
	}
	if err != nil || o.Name == "" {
		writeError(w, http.StatusBadRequest, "invalid adapter order: lora_name is missing or the body can't be read as JSON")
		return o, false
	}
	s.mu.Lock()
	lost := consumeFault(&s.faults.LoseOrders)
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	return o, true
}

func (s *Server) handleLoadAdapter(w http.ResponseWriter, r *http.Request) {
	o, ok := s.readAdapterOrder(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	mem := s.mem
	if _, known := mem.adapters[o.Name]; known {
		s.mu.Unlock()
		writeError(w, http.StatusBadRequest, fmt.Sprintf("The lora adapter '%s' has already been loaded.", o.Name))
		return
	}
	mem.adapters[o.Name] = false
	mem.updateHighWater()
	s.adapterLoads++
	factor := 1.0
	if s.opts.AdapterSlots > 0 {
		factor = max(1, float64(s.adapterLoads)/float64(s.opts.AdapterSlots))
	}
	s.mu.Unlock()
	err := pause(r.Context(), scale(s.opts.AdapterTime, factor))
	s.mu.Lock()
	s.adapterLoads--
	if err != nil {
		delete(mem.adapters, o.Name)
	} else {
		mem.adapters[o.Name] = true
	}
	s.mu.Unlock()
	_, _ = fmt.Fprintf(w, "Success: LoRA adapter '%s' added successfully.", o.Name)
}

func (s *Server) handleUnloadAdapter(w http.ResponseWriter, r *http.Request) {
	o, ok := s.readAdapterOrder(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	loaded := s.mem.adapters[o.Name]
	if loaded {
		delete(s.mem.adapters, o.Name)
	}
	s.mu.Unlock()
	if !loaded {
		writeError(w, http.StatusNotFound, fmt.Sprintf("The lora adapter '%s' cannot be found.", o.Name))
		return
	}
	_, _ = fmt.Fprintf(w, "Success: LoRA adapter '%s' removed successfully.", o.Name)
}
