package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the pause between two writes of a replica's entry in the store.
const heartbeat = 1200 * time.Millisecond

// arrival is a request that a replica ran.
type arrival struct {
	id, replica, service, tenant string
	at                           time.Time
	whole                        bool // the whole answer was sent
}

// replica emulates a server: it registers in the store, runs requests and can drain and end.
type replica struct {
	id, service, address, zone string
	slots                      int
	work                       time.Duration // of one request
	store                      *store
	record                     *record
	// respond, if set, takes a request in place of the usual answer. It reports false to close the connection.
	respond func(c *replicaConn, r *http.Request, body []byte) bool
	// describe, if set, adds fields to the entry.
	describe func() map[string]any

	listener net.Listener
	born     int64
	sequence atomic.Int64
	version  atomic.Int64 // of the store, at the last write of the entry

	mu       sync.Mutex
	draining bool
	left     bool // its entry is no longer written
	ended    bool
	active   int
	conns    map[net.Conn]struct{}
	arrivals []*arrival
	stop     chan struct{}
}

// replicaConn is a connection to a replica.
type replicaConn struct {
	net.Conn
	reader *bufio.Reader
	late   []byte // bytes that are sent where the next answer is expected
}

func (r *replica) start() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.listener, r.born, r.conns, r.stop = l, time.Now().UnixMilli(), make(map[net.Conn]struct{}), make(chan struct{})
	go r.accept()
	r.writeEntry()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.writeEntry()
			case <-r.stop:
				return
			}
		}
	}()
	return nil
}

// writeEntry writes the entry in the store's list of servers and returns the store's version, or 0 if it was not accepted.
func (r *replica) writeEntry() int64 {
	r.mu.Lock()
	state, left := "ready", r.left
	if r.draining {
		state = "draining"
	}
	r.mu.Unlock()
	if left {
		return 0
	}
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"warmup_left_ms": 0, "sequence": r.sequence.Load(), "born": r.born,
	}
	if r.describe != nil {
		for k, v := range r.describe() {
			entry[k] = v
		}
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	v := r.store.put("servers", r.id, value)
	if v > 0 {
		r.version.Store(v)
	}
	return v
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.ended {
			r.mu.Unlock()
			_ = c.Close()
			continue
		}
		r.conns[c] = struct{}{}
		r.mu.Unlock()
		go r.serve(&replicaConn{Conn: c, reader: bufio.NewReader(c)})
	}
}

func (r *replica) serve(c *replicaConn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c.Conn)
		r.mu.Unlock()
	}()
	for {
		q, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if expected := q.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
			r.record.add("replica %s: request %s expects %s: 421", r.id, q.Header.Get("X-Request-Id"), expected)
			if !c.send("421 Misdirected Request", "X-Instance-Id: "+r.id+"\r\n", "") {
				return
			}
			continue
		}
		handle := r.respond
		if handle == nil {
			handle = r.answer
		}
		if !handle(c, q, body) {
			return
		}
	}
}

// send writes a whole response with a length. It reports whether that succeeded.
func (c *replicaConn) send(status, header, body string) bool {
	return c.sendRaw(response(status, header, body))
}

func response(status, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

func (c *replicaConn) sendRaw(text string) bool {
	_, err := io.WriteString(c.Conn, text)
	return err == nil
}

// run records that the replica runs a request.
func (r *replica) run(q *http.Request) *arrival {
	a := &arrival{id: q.Header.Get("X-Request-Id"), replica: r.id, service: r.service, tenant: q.Header.Get("X-Tenant"), at: time.Now()}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	r.active++
	r.mu.Unlock()
	r.record.add("replica %s (%s): runs %s of tenant %s", r.id, r.service, a.id, a.tenant)
	return a
}

func (r *replica) finish(a *arrival, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	a.whole = whole
}

// full reports whether all slots are taken.
func (r *replica) full() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active >= r.slots
}

func answerHeader(id string) string {
	return "X-Request-Id: " + id + "\r\nX-Response-Signature: " + sign(id) + "\r\n"
}

func sign(id string) string { return "3e1b.07.5a2." + strings.ToLower(id) }

// answer runs a request and answers with a body that names the request and the service.
func (r *replica) answer(c *replicaConn, q *http.Request, _ []byte) bool {
	a := r.run(q)
	time.Sleep(r.work)
	ok := c.send("200 OK", answerHeader(a.id), "done "+a.id+" by "+r.service)
	r.finish(a, ok)
	return ok
}

// drain makes the replica report that it leaves, and returns the store's version of that report.
func (r *replica) drain() int64 {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	return r.writeEntry()
}

// end ends the replica as an exit of its process does: the entry stays until it is removed, connections are reset.
func (r *replica) end() {
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		return
	}
	r.left, r.ended = true, true
	r.mu.Unlock()
	close(r.stop)
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (r *replica) runs() []*arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*arrival(nil), r.arrivals...)
}
