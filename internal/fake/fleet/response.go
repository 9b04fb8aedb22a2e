package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// AnswerBytesHeader is a request header that makes a backend server without events respond with a body of that many bytes.
const AnswerBytesHeader = "X-Answer-Bytes"

// Signature returns the signature of a complete response body, in hexadecimal.
func Signature(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:8])
}

// Body returns the body of the response to a plain request if n is 0, or else the events from (counted from 0) to n-1 of a
// stream.
func Body(requestID string, from, n int) string {
	if n == 0 {
		return "answer to " + requestID
	}
	var b strings.Builder
	for i := from; i < n; i++ {
		b.WriteString(Event(requestID, i))
	}
	return b.String()
}

// LongBody returns a body of the given number of bytes, in which every line holds the request ID.
func LongBody(requestID string, bytes int) string {
	line := "answer to " + requestID + "\n"
	return strings.Repeat(line, bytes/len(line)+1)[:bytes]
}

// body returns the whole body of the response to q.
func (r *Replica) body(q *http.Request) string {
	id := q.Header.Get("X-Request-Id")
	if n, err := strconv.Atoi(q.Header.Get(AnswerBytesHeader)); err == nil && r.opts.Events == 0 {
		return LongBody(id, n)
	}
	return Body(id, 0, r.opts.Events)
}

// Event returns event i of a stream. It depends on the request ID and i only, so that a stream can be resumed at another
// backend server.
func Event(requestID string, i int) string {
	return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", i, i, requestID)
}

// pause waits for d. It aborts the response if ctx ends first.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// writeResponse sends the response, with a pause of the given silence in the middle of it. If truncate is set, it closes the
// connection there.
func (r *Replica) writeResponse(ctx context.Context, w http.ResponseWriter, q *http.Request, truncate bool, silence time.Duration) {
	flush := http.NewResponseController(w)
	id := q.Header.Get("X-Request-Id")
	if r.opts.Events == 0 {
		body := r.body(q)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		if truncate {
			_, _ = io.WriteString(w, body[:len(body)/2]) // the client may have disconnected
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, body[:len(body)/2])
		if silence > 0 {
			_ = flush.Flush()
			pause(ctx, silence)
		}
		_, _ = io.WriteString(w, body[len(body)/2:])
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	for i := from; i < r.opts.Events; i++ {
		pause(ctx, r.opts.Pause)
		event := Event(id, i)
		middle := i == from+(r.opts.Events-from)/2
		if middle && silence > 0 {
			pause(ctx, silence)
		}
		if truncate && middle {
			_, _ = io.WriteString(w, event[:len(event)/2]) // the client may have disconnected
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		_ = flush.Flush()
	}
}
