package ingress

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/platform"
)

// refuse sends the answer for err and logs it. A request that was not run is refunded.
func (q *request) refuse(err error) errkind.Kind {
	kind := errkind.Of(err)
	if kind.NotRun() {
		q.refund()
	}
	q.log(kind, slog.Any("error", err))
	if q.started || kind == errkind.CallerCancelled {
		return kind
	}
	answer := kind.Answer()
	after := answer.RetryAfter
	var r *refusal
	if errors.As(err, &r) {
		after = r.after
	}
	h := q.writer.Header()
	platform.SetOwnAnswer(h, q.caller.ID, after)
	h.Set("Content-Type", "application/json")
	q.writer.WriteHeader(answer.HTTPStatus)
	body := map[string]any{"error": map[string]string{"code": answer.Code, "message": answer.Text}}
	if err := json.NewEncoder(q.writer).Encode(body); err != nil {
		q.server.opts.Log.Debug("answer not written", "request_id", q.caller.ID, "error", err)
	}
	return kind
}

// log writes the line that ends a request.
func (q *request) log(kind errkind.Kind, attrs ...slog.Attr) {
	level := slog.LevelInfo
	if kind != errkind.None {
		level = slog.LevelWarn
	}
	attrs = append(attrs,
		slog.String("request_id", q.caller.ID), slog.String("outcome", kind.String()),
		slog.Duration("took", time.Since(q.arrived)), slog.Int("runs", q.runs), slog.Int("sends", len(q.tried)))
	if q.config != nil {
		attrs = append(attrs, slog.Int64("config_version", q.config.Version))
	}
	if q.route != nil {
		attrs = append(attrs, slog.String("route", q.route.Name), slog.String("service", q.service),
			slog.Duration("first", q.first), slog.Duration("longest_gap", q.gap))
	}
	if q.org != nil {
		attrs = append(attrs, slog.String("organisation", q.org.Name), slog.Float64("charged", q.charged),
			slog.Float64("limit_left", q.left))
	}
	if q.modelKey != "" {
		attrs = append(attrs, slog.String("model", q.modelKey))
	}
	q.server.opts.Log.LogAttrs(q.http.Context(), level, "request ended", attrs...)
}

// sendHead sends the head of a server's answer.
func (q *request) sendHead(status int, server http.Header) {
	h := q.writer.Header()
	for name, values := range platform.AnswerHeader(server) {
		h[name] = values
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	q.started = true
	q.writer.WriteHeader(status)
}
