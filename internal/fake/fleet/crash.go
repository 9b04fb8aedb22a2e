package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// CrashStatus is the exit status of a server's process that a request crashed.
const CrashStatus = 3

// PromptCrash makes a backend server crash as it begins to answer a request whose prompt holds a certain part. The zero value
// crashes nothing.
type PromptCrash struct {
	Part   string // ID of the part; the last part of a prompt does not count
	Events int    // whole events that are sent before the crash
	Inside bool   // half of the next event is sent, too
}

func (c PromptCrash) matches(q *http.Request) bool {
	parts := strings.Split(q.Header.Get("X-Prompt-Prefix"), ",")
	return c.Part != "" && slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool {
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		return id == c.Part
	})
}

// crash begins the response to q and ends the backend server.
func (r *Replica) crash(w http.ResponseWriter, q *http.Request, index int) {
	id := q.Header.Get("X-Request-Id")
	if r.opts.Events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for i := range r.opts.Crash.Events {
		_, _ = io.WriteString(w, Event(id, i)) // the client may have disconnected
	}
	if r.opts.Crash.Inside {
		event := Event(id, r.opts.Crash.Events)
		_, _ = io.WriteString(w, event[:len(event)/2])
	}
	_ = http.NewResponseController(w).Flush()
	r.end(index)
}

// end ends the backend server. index is that of the request that crashed it, or -1.
func (r *Replica) end(index int) {
	now := time.Now().UnixMilli()
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	r.ended = true
	for i := range r.runs {
		if r.runs[i].EndMS == 0 {
			r.runs[i].EndMS = now
		}
	}
	if index >= 0 {
		r.runs[index].Crashed = true
	}
	r.mu.Unlock()
	r.opts.End()
	panic(http.ErrAbortHandler)
}

// unframedWriter writes a response with neither a length nor chunks, which ends with its connection.
type unframedWriter struct {
	conn       net.Conn
	buffer     *bufio.ReadWriter
	header     http.Header
	headerSent bool
}

func newUnframedWriter(w http.ResponseWriter) (*unframedWriter, error) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	return &unframedWriter{conn: conn, buffer: buffer, header: w.Header().Clone()}, nil
}

// Header implements http.ResponseWriter.
func (u *unframedWriter) Header() http.Header { return u.header }

// WriteHeader implements http.ResponseWriter.
func (u *unframedWriter) WriteHeader(status int) {
	u.headerSent = true
	u.header.Del("Content-Length")
	u.header.Set("Connection", "close")
	fmt.Fprintf(u.buffer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = u.header.Write(u.buffer) // Write reports the error
	_, _ = u.buffer.WriteString("\r\n")
}

// Write implements http.ResponseWriter.
func (u *unframedWriter) Write(b []byte) (int, error) {
	if !u.headerSent {
		u.WriteHeader(http.StatusOK)
	}
	return u.buffer.Write(b)
}

// FlushError is used by http.ResponseController.
func (u *unframedWriter) FlushError() error { return u.buffer.Flush() }

func (u *unframedWriter) close() {
	_ = u.buffer.Flush()
	_ = u.conn.Close()
}
