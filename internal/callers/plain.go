package callers

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// maxIdempotencyKey bounds an Idempotency-Key, bytes.
const maxIdempotencyKey = 255

// service serves /services/{service}/...: a named model service or a plain service.
func (s *Server) service(x *exchange) {
	name, path, err := splitService(x.r.URL)
	if err != nil {
		s.refuse(x, notRun(), err)
		return
	}
	p, err := s.opts.Gateway.Admit(x.r.Context(), x.secret, name, x.r.Header.Get("Pomelo-Profile"))
	if err != nil {
		s.refuse(x, notRun(), err)
		return
	}
	switch {
	case p.Service.Kind == config.ServicePlain:
		s.plain(x, p, path)
	case path != chatPath:
		s.refuse(x, notRun(), errkind.New(errkind.RouteNotFound, "model service %s has only %s", name, chatPath))
	case x.r.Method != http.MethodPost:
		s.refuse(x, notRun(), errkind.New(errkind.MethodNotAllowed, "%s needs POST", chatPath))
	default:
		s.chatFor(x, name)
	}
}

// splitService returns the service and the escaped path below it.
func splitService(u *url.URL) (service, path string, err error) {
	rest := strings.TrimPrefix(u.EscapedPath(), "/services/")
	service, path, _ = strings.Cut(rest, "/")
	service, err = url.PathUnescape(service)
	if err != nil {
		return "", "", errkind.New(errkind.BadRequest, "the service name in the path is not valid")
	}
	plain, err := url.PathUnescape(path)
	if err != nil {
		return "", "", errkind.New(errkind.BadRequest, "the path is not valid")
	}
	for segment := range strings.SplitSeq(plain, "/") {
		if segment == ".." {
			return "", "", errkind.New(errkind.BadRequest, "the path has a parent segment")
		}
	}
	return service, "/" + path, nil
}

func (s *Server) plain(x *exchange, p *gateway.Principal, path string) {
	body, err := s.readBody(x)
	if err != nil {
		s.refuse(x, notRun(), err)
		return
	}
	keys := secrets(x.r)
	idempotencyKey := x.r.Header.Get("Idempotency-Key")
	if err := checkPlain(path, body, idempotencyKey, keys); err != nil {
		s.refuse(x, notRun(), err)
		return
	}
	call := gateway.PlainCall{
		RequestID: x.id, Arrived: x.arrived, IdempotencyKey: idempotencyKey,
		HTTP: &wirepb.HTTPRequest{
			Method: x.r.Method, Path: path, Query: cleanQuery(x.r.URL.RawQuery, keys),
			Headers: forwarded(x.r, keys), Body: body,
		},
	}
	sink := &plainAnswer{x: x}
	result, err := s.opts.Gateway.RunPlain(x.r.Context(), p, call, sink)
	if err == nil && !sink.started {
		err = errkind.New(errkind.ProtocolError, "the answer has no head")
	}
	if err == nil {
		return
	}
	if !sink.started {
		s.refuse(x, result, err)
		return
	}
	s.note(x, result, err)
	// The status line is already with the caller. A connection closed early shows that the body is not whole.
	panic(http.ErrAbortHandler)
}

func checkPlain(path string, body []byte, idempotencyKey string, keys []string) error {
	if len(idempotencyKey) > maxIdempotencyKey {
		return errkind.New(errkind.BadRequest, "the Idempotency-Key is longer than %d bytes", maxIdempotencyKey)
	}
	for _, k := range keys {
		if len(k) >= minSecretLen && (bytes.Contains(body, []byte(k)) || strings.Contains(path, k) || strings.Contains(idempotencyKey, k)) {
			return errkind.New(errkind.BadRequest, "the request contains the API key outside its header")
		}
	}
	return nil
}

// plainAnswer passes the response of a plain service to the caller.
type plainAnswer struct {
	x       *exchange
	started bool
}

// Head implements gateway.PlainSink.
func (a *plainAnswer) Head(status int, headers []*wirepb.Header) error {
	if status < http.StatusOK || status > 599 {
		return errkind.New(errkind.ProtocolError, "HTTP status %d", status)
	}
	h := a.x.w.Header()
	received := make(http.Header)
	for _, f := range headers {
		received.Add(f.GetName(), f.GetValue())
	}
	drop := dropped(received)
	for name, values := range received {
		// Without Content-Length the body goes out in chunks, so that a body cut short is noticed.
		if !drop[name] {
			h[name] = values
		}
	}
	h.Set("X-Request-Id", a.x.id)
	h.Set("Pomelo-Ran", string(errkind.RanYes))
	a.started = true
	a.x.w.WriteHeader(status)
	return nil
}

// Data implements gateway.PlainSink.
func (a *plainAnswer) Data(b []byte) error {
	_ = a.x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.x.w.Write(b); err != nil {
		return err
	}
	return a.x.control.Flush()
}
