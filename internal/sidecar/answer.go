package sidecar

import (
	"maps"
	"net/http"
	"slices"

	"github.com/pomelowheel/pomelowheel/internal/booking"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// notRecorded are header fields that describe one response, not the outcome.
var notRecorded = []string{"Date", "Server", "Set-Cookie", "X-Request-Id"}

// answer passes the response of a plain service to the gateway and keeps a copy of up to keep bytes.
type answer struct {
	task      *task
	keep      int // bytes; 0 keeps nothing and ends the call when the gateway is gone
	status    int
	headers   http.Header
	body      []byte
	truncated bool
}

// Head implements plainservice.Response.
func (a *answer) Head(status int, headers http.Header) error {
	a.status, a.headers = status, headers
	return a.pass(a.task.send(&wirepb.Chunk{HttpStatus: int32(status), Headers: wireHeaders(headers)}))
}

// Data implements plainservice.Response.
func (a *answer) Data(data []byte) error {
	if a.keep > 0 && !a.truncated {
		a.body = append(a.body, data...)
		if len(a.body) > a.keep {
			a.truncated, a.body = true, nil
		}
	}
	return a.pass(a.task.send(&wirepb.Chunk{Data: data}))
}

// pass drops the error of a send if the outcome is kept, since the call then goes on without the gateway.
func (a *answer) pass(err error) error {
	if a.keep > 0 {
		return nil
	}
	return err
}

func (a *answer) outcome() booking.Outcome {
	headers := a.headers.Clone()
	for _, name := range notRecorded {
		headers.Del(name)
	}
	return booking.Outcome{Status: a.status, Headers: headers, Body: a.body, Truncated: a.truncated}
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
