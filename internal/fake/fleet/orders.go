package fleet

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

type orderRequest struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Fence     int64  `json:"fence"`
}

func (r *Replica) order(w http.ResponseWriter, q *http.Request) {
	var o orderRequest
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Holder == "" {
		http.Error(w, "order", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.opts.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if rand.Float64() < r.faults.LateOrders {
		time.AfterFunc(time.Second, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.execute(o)
		})
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(r.execute(o))
}

// execute checks and executes an order and returns the HTTP status of the response. It records a crash if the order breaks
// the protocol. The caller holds r.mu.
func (r *Replica) execute(o orderRequest) int {
	if r.busy || (o.Expected != nil && *o.Expected != r.sequence) {
		return http.StatusConflict
	}
	for holder, lastOrder := range r.holders {
		if holder != o.Holder && time.Since(lastOrder) < 3*time.Second {
			r.crashed = "orders from two holders within 3 s"
		}
	}
	if o.Fence < r.fence {
		r.crashed = "order with a lower fencing number than an earlier order"
	}
	r.holders[o.Holder], r.fence = time.Now(), o.Fence
	adapters, held := r.models[o.Model]
	switch {
	case o.Operation == "load" && o.Adapter == "" && held, o.Operation == "unload" && !held:
		return http.StatusOK
	case o.Adapter != "" && !held:
		return http.StatusBadRequest
	}
	r.sequence++
	if o.Adapter != "" {
		r.changeAdapter(o, adapters)
		return http.StatusAccepted
	}
	applyChange := func() {
		if o.Operation == "unload" {
			delete(r.models, o.Model)
			return
		}
		if r.models[o.Model] = nil; len(r.models) > r.opts.MaxModels {
			r.crashed = "more models than fit into memory"
		}
		if !slices.Contains(r.onDisk, o.Model) {
			r.onDisk = append(r.onDisk, o.Model)
		}
	}
	if r.faults.OrderTime <= 0 {
		applyChange()
		return http.StatusAccepted
	}
	r.busy = true
	born := r.born
	time.AfterFunc(r.faults.OrderTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.born == born {
			r.busy = false
			applyChange()
		}
	})
	return http.StatusAccepted
}

func (r *Replica) changeAdapter(o orderRequest, adapters []string) {
	if o.Operation == "unload" {
		r.models[o.Model] = slices.DeleteFunc(adapters, func(a string) bool { return a == o.Adapter })
		return
	}
	r.models[o.Model] = append(adapters, o.Adapter)
	n := 0
	for _, list := range r.models {
		n += len(list)
	}
	if n > r.opts.AdapterSlots {
		r.crashed = "more adapters than adapter slots"
	}
}
