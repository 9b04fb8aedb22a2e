package fleetgateway

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/platform"
)

// minRestTime is the least time in which the rest of a refused request is read. If the connection were closed before, the
// caller could lose the response.
const minRestTime = time.Second

// refuse sends the error response for err and logs it, and returns the kind of err. A request that did not run is
// refunded. Nothing is sent if a response has begun.
func (q *request) refuse(err error) errkind.Kind {
	kind := errkind.Of(err)
	if kind.NotRun() {
		q.refund()
	}
	q.log(kind, slog.Any("error", err))
	if q.headSent {
		return kind
	}
	if q.body == nil {
		q.limitRest()
	} else {
		q.setWriteDeadline()
	}
	answer := kind.Answer()
	if kind == errkind.CallerCancelled {
		answer.HTTPStatus = q.cancelledStatus()
	}
	retryAfter := answer.RetryAfter
	var r *refusal
	if errors.As(err, &r) {
		retryAfter = r.retryAfter
	}
	h := q.writer.Header()
	platform.SetGatewayResponseHeaders(h, q.caller.ID, retryAfter)
	h.Set("Content-Type", "application/json")
	q.writer.WriteHeader(answer.HTTPStatus)
	body := map[string]any{"error": map[string]string{"code": answer.Code, "message": answer.Text}}
	if err := json.NewEncoder(q.writer).Encode(body); err != nil {
		q.server.opts.Log.Debug("error response not written to the caller", "request_id", q.caller.ID, "error", err)
	}
	return kind
}

// limitRest limits the time to read the rest of a request whose body was not read, and to write the response after it. net/http reads
// the rest before it sends the response, or after it if the response closes the connection. Without a limit on the response, a caller
// that sends requests ahead and reads nothing would keep its connection open without limit.
func (q *request) limitRest() {
	deadline := time.Now().Add(minRestTime)
	if due := q.callerDeadline(); due.After(deadline) {
		deadline = due
	}
	q.setReadDeadline(deadline)
	if err := http.NewResponseController(q.writer).SetWriteDeadline(deadline.Add(writeGrace)); err != nil {
		q.server.opts.Log.Debug("cannot set the write deadline of the response", "error", err)
	}
}

// cancelledStatus returns the status for a caller that seems to have left. It may have closed only its sending side, which looks
// the same, and then reads the response.
func (q *request) cancelledStatus() int {
	if q.runs() > 0 {
		return errkind.OutcomeUnknown.Answer().HTTPStatus
	}
	return errkind.NoCandidate.Answer().HTTPStatus
}

// What the caller of a request got, in the log line at its end.
const (
	answerWhole = "whole"
	answerError = "error"
	answerCut   = "cut"
	answerNone  = "none" // the caller left, or seemed to
)

// answer says what the caller of a request with this outcome got.
func (q *request) answer(kind errkind.Kind) string {
	switch {
	case kind == errkind.None:
		return answerWhole
	case q.headSent:
		return answerCut
	case kind == errkind.CallerCancelled:
		return answerNone
	}
	return answerError
}

// log writes the log line at the end of a request.
func (q *request) log(kind errkind.Kind, attrs ...slog.Attr) {
	level := slog.LevelInfo
	if kind != errkind.None {
		level = slog.LevelWarn
	}
	attrs = append(attrs,
		slog.String("request_id", q.caller.ID), slog.String("outcome", kind.String()), slog.String("answer", q.answer(kind)),
		slog.Duration("took", time.Since(q.arrived)), slog.Int("runs", q.runs()), slog.Int("sends", len(q.tried)))
	if q.config != nil {
		attrs = append(attrs, slog.Int64("config_version", q.config.Version))
	}
	if q.route != nil {
		attrs = append(attrs, slog.String("route", q.route.Name), slog.String("service", q.service),
			slog.Duration("first", q.firstEvent), slog.Duration("longest_gap", q.longestGap))
	}
	if q.org != nil {
		attrs = append(attrs, slog.String("organisation", q.org.Name), slog.Float64("charged", q.charged),
			slog.Float64("limit_left", q.limitLeft))
	}
	if q.modelKey != "" {
		attrs = append(attrs, slog.String("model", q.modelKey))
	}
	q.server.opts.Log.LogAttrs(q.http.Context(), level, "request ended", attrs...)
}

// sendHead sends the status and the header of a server's response to the caller.
func (q *request) sendHead(status int, serverHeader http.Header) {
	h := q.writer.Header()
	for name, values := range platform.ResponseHeader(serverHeader) {
		h[name] = values
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	q.headSent = true
	q.setWriteDeadline()
	q.writer.WriteHeader(status)
}
