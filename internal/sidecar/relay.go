package sidecar

import (
	"maps"
	"net/http"
	"slices"

	"github.com/pomelowheel/pomelowheel/internal/idempotency"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// unrecordedHeaders are header fields that belong to one response and are not recorded with the outcome.
var unrecordedHeaders = []string{"Date", "Server", "Set-Cookie", "X-Request-Id"}

// responseRelay relays the response of a plain service to the gateway and keeps a copy of its body of up to
// maxRecordedBytes.
type responseRelay struct {
	task             *task
	maxRecordedBytes int // 0 keeps no copy and ends the call when the gateway disconnects
	status           int
	headers          http.Header
	body             []byte
	truncated        bool
}

// Head implements plainclient.ResponseHandler.
func (r *responseRelay) Head(status int, headers http.Header) error {
	r.status, r.headers = status, headers
	return r.sendError(r.task.send(&wirepb.Chunk{HttpStatus: int32(status), Headers: wireHeaders(headers)}))
}

// Data implements plainclient.ResponseHandler.
func (r *responseRelay) Data(data []byte) error {
	if r.maxRecordedBytes > 0 && !r.truncated {
		r.body = append(r.body, data...)
		if len(r.body) > r.maxRecordedBytes {
			r.truncated, r.body = true, nil
		}
	}
	return r.sendError(r.task.send(&wirepb.Chunk{Data: data}))
}

// sendError returns err, or nil if the outcome is recorded, because the call then continues without the gateway.
func (r *responseRelay) sendError(err error) error {
	if r.maxRecordedBytes > 0 {
		return nil
	}
	return err
}

func (r *responseRelay) outcome() idempotency.Outcome {
	headers := r.headers.Clone()
	for _, name := range unrecordedHeaders {
		headers.Del(name)
	}
	return idempotency.Outcome{Status: r.status, Headers: headers, Body: r.body, Truncated: r.truncated}
}

func wireHeaders(h http.Header) []*wirepb.Header {
	var fields []*wirepb.Header
	for _, name := range slices.Sorted(maps.Keys(h)) {
		for _, value := range h[name] {
			fields = append(fields, &wirepb.Header{Name: name, Value: value})
		}
	}
	return fields
}

func httpHeaders(fields []*wirepb.Header) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h.Add(f.GetName(), f.GetValue())
	}
	return h
}
