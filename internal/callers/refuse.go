package callers

import (
	"encoding/json"
	"errors"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
)

const (
	maxCallerID = 64
	uniqueBytes = 8 // of the random part of a request ID, in hex
)

// newRequestID returns an ID that no other request has. It begins with the caller's own ID if that is
// short and plain, so that the caller finds the request in the logs.
func newRequestID(r *http.Request) string {
	callerID := r.Header.Get("X-Request-Id")
	unique := uuid.NewString()
	if callerID == "" || len(callerID) > maxCallerID || carries(callerID, secrets(r)) {
		return unique
	}
	for _, c := range callerID {
		letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
		if !letter && c != '-' && c != '_' && c != '.' {
			return unique
		}
	}
	return callerID + "-" + unique[:uniqueBytes]
}

// apiError is the API's error form.
type apiError struct {
	Error apiErrorBody `json:"error"`
}

type apiErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// describe returns the table row of err and the API's error form of it.
func describe(x *exchange, err error) (errkind.Answer, apiError) {
	answer := errkind.Of(err).Answer()
	message := answer.Text
	var e *errkind.Error
	if errors.As(err, &e) && e.Detail != "" && e.Detail != message {
		message += ": " + e.Detail
	}
	if x.secret != "" {
		message = strings.ReplaceAll(message, x.secret, "[key]")
	}
	return answer, apiError{Error: apiErrorBody{Message: message, Type: errorType(answer.HTTPStatus), Code: answer.Code}}
}

func retryAfter(answer errkind.Answer, result gateway.Result, err error) time.Duration {
	if answer.RetryAfter == 0 || (answer.Ran == errkind.RanNo && ranOf(answer, result) != errkind.RanNo) {
		return 0 // no repeat is advised to a caller whose request may have run
	}
	var hint *gateway.RetryError
	if errors.As(err, &hint) && hint.After > 0 {
		return hint.After
	}
	if result.RetryAfter > 0 {
		return result.RetryAfter
	}
	return answer.RetryAfter
}

// ranOf returns what is known about the execution. The gateway's knowledge over all attempts outweighs
// the table's row: the last of several attempts may have been refused after an earlier one ran.
func ranOf(answer errkind.Answer, result gateway.Result) errkind.Ran {
	if result.Ran == "" {
		return answer.Ran
	}
	return result.Ran
}

// refuse answers with the table row of err.
func (s *Server) refuse(x *exchange, result gateway.Result, err error) {
	answer, body := describe(x, err)
	s.note(x, result, err)
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Pomelo-Ran", string(ranOf(answer, result)))
	if answer.HTTPStatus == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if wait := retryAfter(answer, result, err); wait > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	_ = x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	x.w.WriteHeader(answer.HTTPStatus)
	_ = json.NewEncoder(x.w).Encode(body)
}

// note counts and logs an error answer.
func (s *Server) note(x *exchange, result gateway.Result, err error) {
	kind := errkind.Of(err)
	s.opts.Gateway.CountRefusal(kind)
	text := err.Error()
	if x.secret != "" {
		text = strings.ReplaceAll(text, x.secret, "[key]")
	}
	level := slog.LevelInfo
	if !kind.NotRun() && kind != errkind.CallerCancelled {
		level = slog.LevelWarn
	}
	s.opts.Log.Log(x.r.Context(), level, "request failed", "request_id", x.id, "kind", kind.String(),
		"ran", string(ranOf(kind.Answer(), result)), "attempts", result.Attempts, "reason", text)
}
