package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// order is an order that an engine got.
type order struct {
	at        time.Time
	holder    string
	fence     int64
	operation string
	subject   string
	status    int
}

// engine makes a replica a model replica with one model, whose adapters are loaded and unloaded by orders. It doesn't check fences.
type engine struct {
	replica *replica
	model   string

	mu       sync.Mutex
	adapters []string
	orders   []order
}

// newEngine returns a model replica that is not started.
func newEngine(r *replica, model string) *engine {
	e := &engine{replica: r, model: model}
	r.describe, r.respond = e.description, e.respond
	return e
}

func (e *engine) description() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return object{
		"stage": "mixed", "models": []object{{"name": e.model, "version": 1, "adapters": append([]string{}, e.adapters...)}},
		"sequence": e.replica.sequence.Load(), "born": e.replica.born,
	}
}

func (e *engine) respond(c *replicaConn, q *http.Request, body []byte) bool {
	const asJSON = "Content-Type: application/json\r\n"
	switch q.URL.Path {
	case "/api/report":
		report := e.description()
		report["busy"], report["queued"], report["active"], report["handles"], report["pending"] = false, 0, 0, 0, []string{}
		report["kv_used"], report["kv_total"], report["state"] = 0, 242678, "ready"
		data, err := json.Marshal(report)
		if err != nil {
			panic(err)
		}
		return c.send("200 OK", asJSON, string(data))
	case "/api/order":
		return c.send(e.order(body), asJSON, "")
	}
	return e.stream(c, q)
}

// order carries out an order and returns the status of the answer.
func (e *engine) order(body []byte) string {
	var o struct {
		Operation, Model, Adapter, Holder string
		Fence                             int64
		Expected                          *int64
	}
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == "" || o.Fence == 0 || o.Adapter == "" {
		return "400 Bad Request"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status, text := 202, "202 Accepted"
	held := slices.Contains(e.adapters, o.Adapter)
	switch {
	case o.Expected != nil && *o.Expected != e.replica.sequence.Load():
		status, text = 409, "409 Conflict"
	case held == (o.Operation == "load"):
		status, text = 200, "200 OK"
	case o.Operation == "load":
		e.adapters = append(e.adapters, o.Adapter)
		e.replica.sequence.Add(1)
	default:
		e.adapters = slices.DeleteFunc(e.adapters, func(a string) bool { return a == o.Adapter })
		e.replica.sequence.Add(1)
	}
	e.orders = append(e.orders, order{time.Now(), o.Holder, o.Fence, o.Operation, o.Model + "/" + o.Adapter, status})
	e.replica.record.add("replica %s: order %s %s/%s from %s with fence %d: %d", e.replica.id, o.Operation, o.Model, o.Adapter, o.Holder, o.Fence, status)
	return text
}

// stream runs a request and answers with three events.
func (e *engine) stream(c *replicaConn, q *http.Request) bool {
	model, adapter, _ := strings.Cut(q.Header.Get("X-Model"), "/")
	e.mu.Lock()
	held := model == e.model && (adapter == "" || slices.Contains(e.adapters, adapter))
	e.mu.Unlock()
	if !held {
		return c.send("421 Misdirected Request", "X-Request-Id: "+q.Header.Get("X-Request-Id")+"\r\n", "")
	}
	a := e.replica.run(q)
	time.Sleep(e.replica.work)
	ok := c.send("200 OK", answerHeader(a.id)+"Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	e.replica.finish(a, ok)
	return ok
}

func (e *engine) received() []order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}
