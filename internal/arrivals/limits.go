package arrivals

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/headscan"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
)

const (
	// exemptHeadCost is the memory of a parsed head that is not taken from Limits.Heads, so that long heads do not keep out
	// ordinary ones: it covers about 40 fields with 1.5 KB. The bound on connections bounds the sum.
	exemptHeadCost = 8 << 10
	// watchInterval is the pause between two checks for connections without progress.
	watchInterval = 100 * time.Millisecond
	// refusalTime bounds the writing of a refusal and the reading of what the client sends meanwhile. Closing a connection with
	// unread bytes could lose the refusal.
	refusalTime = 500 * time.Millisecond
	// refusalRestBytes bounds what is read and discarded after a refusal.
	refusalRestBytes = 256 << 10
)

// Limits bound what one client may take from a listener. The zero value has no limits.
type Limits struct {
	Refusals  *refusals.Recorder   // required if there is a limit
	Header    map[string]string    // of refusals, in addition to the usual one
	MaxFields int                  // of a head
	Heads     *memorybudget.Budget // memory of parsed heads
	BodyStall time.Duration        // time without a byte of a body that the handler waits for
	Unread    time.Duration        // time in which the client takes nothing of an answer
	// StallTime is the time without progress after which a connection may be ended when all are in use; for a head, the time
	// since its first byte.
	StallTime time.Duration
}

// Reasons for which a request is refused or a connection ended.
const (
	none          = ""
	tooManyFields = "too_many_fields"
	noHeadMemory  = "no_memory_for_heads"
	bodyStalled   = "body_stalled"
	unread        = "answer_unread"
	noProgress    = "no_progress" // all connections were in use, and this one made no progress
)

// head accounts for the memory of the head that arrives on a connection, and after that of the request that it began. It is safe
// for concurrent use.
type head struct {
	limits *Limits

	mu      sync.Mutex
	scanner headscan.Scanner
	lease   *memorybudget.Lease
}

// add counts bytes that were read and takes the memory for parsing them.
func (h *head) add(b []byte) (why string) {
	if h.limits.MaxFields <= 0 && h.limits.Heads == nil {
		return none
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.scanner.Scan(b)
	return h.cover(h.scanner.Bytes(), h.scanner.Fields())
}

func (h *head) cover(bytes, fields int) (why string) {
	if h.limits.MaxFields > 0 && fields > h.limits.MaxFields {
		return tooManyFields
	}
	cost := headscan.Cost(bytes, fields)
	if h.limits.Heads == nil || cost <= exemptHeadCost {
		return none
	}
	if h.lease == nil {
		h.lease = h.limits.Heads.Lease(exemptHeadCost)
	}
	if !h.lease.Exactly(cost) {
		return noHeadMemory
	}
	return none
}

// reset gives the memory back.
func (h *head) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.scanner = headscan.Scanner{}
	if h.lease != nil {
		h.lease.Release()
	}
}

// cost returns the memory that the head of the connection takes.
func (h *head) cost() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.scanner.Cost()
}

// coverParsed accounts for a head that net/http had read together with the request before, or that arrived with TLS. Of a head
// that it had read in part, at most the 4 KB that it reads ahead are not counted.
func (c *arrivalConn) coverParsed(r *http.Request) (why string) {
	c.head.mu.Lock()
	defer c.head.mu.Unlock()
	if c.head.scanner.Done() && len(r.Header) <= c.head.scanner.Fields() {
		return none
	}
	bytes, fields := len(r.RequestURI), 0
	for name, values := range r.Header {
		fields += len(values)
		for _, v := range values {
			bytes += len(name) + len(v)
		}
	}
	return c.head.cover(bytes, fields)
}

// refusalFor returns the answer to a request that was refused for why. Each says that the request did not run.
func refusalFor(why string) (status int, body []byte) {
	kind, errorType := errkind.GatewayFull, "server_error"
	if why == tooManyFields {
		kind, errorType = errkind.TooManyFields, "invalid_request_error"
	}
	answer := kind.Answer()
	body, err := json.Marshal(map[string]any{"error": map[string]any{
		"code": answer.Code, "message": answer.Text, "type": errorType, "param": nil,
	}})
	if err != nil {
		panic(err) // strings always encode
	}
	return answer.HTTPStatus, body
}

// refusalHeader returns the header fields of a refusal that depend on its status or on the listener.
func (c *arrivalConn) refusalHeader(status int) map[string]string {
	fields := make(map[string]string)
	maps.Copy(fields, c.arrivals.opts.Limits.Header)
	if status == http.StatusServiceUnavailable {
		fields["Retry-After"] = "1"
	}
	return fields
}

// refuseParsed answers a request that was parsed.
func (c *arrivalConn) refuseParsed(w http.ResponseWriter, why string) {
	c.arrivals.opts.Limits.Refusals.Record(why, c.RemoteAddr().String())
	status, body := refusalFor(why)
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(refusalTime)) // fails on a closed connection only, as below
	_ = control.SetReadDeadline(time.Now().Add(refusalTime))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Connection", "close")
	for name, value := range c.refusalHeader(status) {
		w.Header().Set(name, value)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// refuseUnparsed answers a request before the server has read its head. No answer is in progress then, because the server reads
// the next head after it has sent the answer before. The memory of the head is given back when the connection has closed, because
// what is parsed of it is in use until then.
func (c *arrivalConn) refuseUnparsed(why string) {
	c.arrivals.opts.Limits.Refusals.Record(why, c.RemoteAddr().String())
	status, body := refusalFor(why)
	now := time.Now()
	_ = c.Conn.SetDeadline(now.Add(refusalTime)) // fails on a closed connection only
	var fields strings.Builder
	for name, value := range c.refusalHeader(status) {
		fields.WriteString(name + ": " + value + "\r\n")
	}
	if !c.arrivals.secure.Load() { // a plain answer would be no part of a TLS session
		_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%sConnection: close\r\nContent-Length: %s\r\n\r\n%s",
			status, http.StatusText(status), fields.String(), strconv.Itoa(len(body)), body)
	}
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, refusalRestBytes)
}

// trackedBody records how long the handler has waited for bytes of the body.
type trackedBody struct {
	io.ReadCloser
	conn *arrivalConn
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.conn.readingSince.Store(b.conn.arrivals.coarse.Load())
	n, err := b.ReadCloser.Read(p)
	b.conn.readingSince.Store(0)
	return n, err
}

// watch ends connections whose body or whose reading makes no progress until closed is closed.
func (a *Tracker) watch(closed <-chan struct{}) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			a.coarse.Store(now.UnixNano())
			a.endStalled(now)
		case <-closed:
			return
		}
	}
}

// endStalled ends the connections that exceed Limits.BodyStall or Limits.Unread.
func (a *Tracker) endStalled(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		if limit := a.opts.Limits.Unread; limit > 0 && c.writingFor(now) > limit {
			c.endWrites(unread)
		}
		if limit := a.opts.Limits.BodyStall; limit > 0 && c.bodyWaits(now) > limit {
			c.endBody(bodyStalled)
		}
	}
}

// endWithoutProgress ends up to n connections that have made no progress for Limits.StallTime, those whose head is not complete
// first, of these the ones that hold most. The requests of the others are ended by an error of reading or writing. It returns
// their number. The caller holds a.mu.
func (a *Tracker) endWithoutProgress(now time.Time, n int) int {
	limit := a.opts.Limits.StallTime
	if limit <= 0 {
		return 0
	}
	var heads, bodies, writes []*arrivalConn
	for c := range a.conns {
		switch {
		case c.ended || c.cut:
		case !c.serving && !c.headSince.IsZero() && now.Sub(c.headSince) > limit:
			heads = append(heads, c)
		case c.bodyWaits(now) > limit:
			bodies = append(bodies, c)
		case c.writingFor(now) > limit:
			writes = append(writes, c)
		}
	}
	slices.SortFunc(heads, func(a, b *arrivalConn) int {
		return cmp.Or(cmp.Compare(b.head.cost(), a.head.cost()), a.headSince.Compare(b.headSince))
	})
	slices.SortFunc(bodies, func(a, b *arrivalConn) int { return a.lastByteAt.Compare(b.lastByteAt) })
	slices.SortFunc(writes, func(a, b *arrivalConn) int { return cmp.Compare(a.writingSince.Load(), b.writingSince.Load()) })
	ended := 0
	for _, c := range heads[:min(n, len(heads))] {
		c.cut = true
		c.endReads()
		a.opts.Limits.Refusals.Record(noProgress, c.RemoteAddr().String())
		ended++
	}
	for _, c := range bodies[:min(n-ended, len(bodies))] {
		c.endBody(noProgress)
		ended++
	}
	for _, c := range writes[:min(n-ended, len(writes))] {
		c.endWrites(noProgress)
		ended++
	}
	return ended
}

// writingFor returns how long the write in progress has lasted.
func (c *arrivalConn) writingFor(now time.Time) time.Duration { return c.lasts(&c.writingSince, now) }

// bodyWaits returns how long the handler has waited for the next byte of a body, or the server for the rest of it.
func (c *arrivalConn) bodyWaits(now time.Time) time.Duration {
	if c.serving && !c.cut && !c.handledAt.IsZero() && c.writingSince.Load() == 0 {
		return now.Sub(c.handledAt)
	}
	return c.lasts(&c.readingSince, now)
}

// lasts returns the time from since, of the coarse clock or zero, to now, or zero for a connection that was cut. It is never too
// long: the coarse clock may be watchInterval late.
func (c *arrivalConn) lasts(since *atomic.Int64, now time.Time) time.Duration {
	if start := since.Load(); start != 0 && !c.cut {
		return max(0, now.Sub(time.Unix(0, start))-watchInterval)
	}
	return 0
}

// endBody lets the reading of the body fail. The handler refuses the request, and the server closes the connection.
func (c *arrivalConn) endBody(why string) {
	c.cut = true
	_ = c.Conn.SetReadDeadline(time.Now()) // fails on a closed connection only
	c.arrivals.opts.Limits.Refusals.Record(why, c.RemoteAddr().String())
}

// endWrites lets the write in progress fail.
func (c *arrivalConn) endWrites(why string) {
	c.cut = true
	_ = c.Conn.SetWriteDeadline(time.Now()) // fails on a closed connection only
	c.arrivals.opts.Limits.Refusals.Record(why, c.RemoteAddr().String())
}
