package callerapi

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

// maxIdempotencyKeyBytes is the length limit of an Idempotency-Key.
const maxIdempotencyKeyBytes = 255

// service serves /services/{service}/..., which is either a named model service or a plain service.
func (s *Server) service(x *exchange) {
	name, path, err := splitService(x.r.URL)
	if err != nil {
		s.sendError(x, notRun(), err)
		return
	}
	p, err := s.opts.Gateway.Admit(x.r.Context(), x.secret, name, x.r.Header.Get("Pomelo-Profile"))
	if err != nil {
		s.sendError(x, notRun(), err)
		return
	}
	switch {
	case p.Service.Kind == config.ServicePlain:
		s.plain(x, p, path)
	case path != chatPath:
		s.sendError(x, notRun(), errkind.New(errkind.RouteNotFound, "model service %s serves only %s", name, chatPath))
	case x.r.Method != http.MethodPost:
		s.sendError(x, notRun(), errkind.New(errkind.MethodNotAllowed, "%s requires POST", chatPath))
	default:
		s.chatForService(x, name)
	}
}

// splitService returns the service and the escaped path below it. The error has kind BadRequest.
func splitService(u *url.URL) (service, path string, err error) {
	rest := strings.TrimPrefix(u.EscapedPath(), "/services/")
	service, path, _ = strings.Cut(rest, "/")
	service, err = url.PathUnescape(service)
	if err != nil {
		return "", "", errkind.New(errkind.BadRequest, "the service name in the path is not valid")
	}
	decodedPath, err := url.PathUnescape(path)
	if err != nil {
		return "", "", errkind.New(errkind.BadRequest, "the path is not valid")
	}
	for segment := range strings.SplitSeq(decodedPath, "/") {
		if segment == ".." {
			return "", "", errkind.New(errkind.BadRequest, "the path has a parent segment")
		}
	}
	return service, "/" + path, nil
}

func (s *Server) plain(x *exchange, p *gateway.Principal, path string) {
	body, err := s.readBody(x)
	if err != nil {
		s.sendError(x, notRun(), err)
		return
	}
	keys := requestKeys(x.r)
	idempotencyKey := x.r.Header.Get("Idempotency-Key")
	if err := checkPlainCall(path, body, idempotencyKey, keys); err != nil {
		s.sendError(x, notRun(), err)
		return
	}
	call := gateway.PlainCall{
		RequestID: x.id, Arrived: x.arrived, IdempotencyKey: idempotencyKey,
		HTTP: &wirepb.HTTPRequest{
			Method: x.r.Method, Path: path, Query: removeKeyParameters(x.r.URL.RawQuery, keys),
			Headers: forwardedHeaders(x.r, keys), Body: body,
		},
	}
	sink := &plainResponse{x: x}
	result, err := s.opts.Gateway.RunPlain(x.r.Context(), p, call, sink)
	if err == nil && !sink.started {
		err = errkind.New(errkind.ProtocolError, "the response of the backend server has no status")
	}
	if err == nil {
		return
	}
	if !sink.started {
		s.sendError(x, result, err)
		return
	}
	s.recordFailure(x, result, err)
	// The status line was already sent. Aborting closes the connection, which shows that the body is incomplete.
	panic(http.ErrAbortHandler)
}

// checkPlainCall returns an error of kind BadRequest if the idempotency key is too long or the request contains a key
// in its path, body or idempotency key.
func checkPlainCall(path string, body []byte, idempotencyKey string, keys []string) error {
	if len(idempotencyKey) > maxIdempotencyKeyBytes {
		return errkind.New(errkind.BadRequest, "the Idempotency-Key is longer than %d bytes", maxIdempotencyKeyBytes)
	}
	for _, k := range keys {
		if len(k) >= minSearchedKeyBytes && (bytes.Contains(body, []byte(k)) ||
			strings.Contains(path, k) || strings.Contains(idempotencyKey, k)) {
			return errkind.New(errkind.BadRequest, "the request contains the API key outside its header")
		}
	}
	return nil
}

// plainResponse passes the response of a plain service to the caller.
type plainResponse struct {
	x       *exchange
	started bool
}

// Head implements gateway.PlainSink.
func (a *plainResponse) Head(status int, headers []*wirepb.Header) error {
	if status < http.StatusOK || status > 599 {
		return errkind.New(errkind.ProtocolError, "the response has the invalid HTTP status %d", status)
	}
	h := a.x.w.Header()
	received := make(http.Header)
	for _, f := range headers {
		received.Add(f.GetName(), f.GetValue())
	}
	drop := droppedHeaders(received)
	for name, values := range received {
		// Content-Length is dropped, so that the body is sent in chunks and the caller detects a truncated body.
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
func (a *plainResponse) Data(b []byte) error {
	_ = a.x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := a.x.w.Write(b); err != nil {
		return err
	}
	return a.x.control.Flush()
}
