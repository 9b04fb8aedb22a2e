package callerapi

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
	maxCallerIDBytes = 64
	uniqueHexDigits  = 8 // length of the random part of a request ID that begins with the caller's ID
)

// newRequestID returns a unique request ID. So that the caller can find the request in the logs, the ID begins with the
// caller's own, unless that is longer than maxCallerIDBytes, contains a key, or has other characters than ASCII letters,
// digits, '-', '_' and '.'.
func newRequestID(r *http.Request) string {
	callerID := r.Header.Get("X-Request-Id")
	unique := uuid.NewString()
	if callerID == "" || len(callerID) > maxCallerIDBytes || containsAny(callerID, requestKeys(r)) {
		return unique
	}
	for _, c := range callerID {
		alphanumeric := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
		if !alphanumeric && c != '-' && c != '_' && c != '.' {
			return unique
		}
	}
	return callerID + "-" + unique[:uniqueHexDigits]
}

// apiError is the error response of the API.
type apiError struct {
	Error apiErrorBody `json:"error"`
}

type apiErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
}

// errorType returns the type of the API error for an HTTP status.
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

// errorResponse returns the row of err in the error table and the error response for it, without the caller's key.
func errorResponse(x *exchange, err error) (errkind.Answer, apiError) {
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

// retryAfter returns the wait that the response advises before the request is repeated, or 0 for none.
func retryAfter(answer errkind.Answer, result gateway.Result, err error) time.Duration {
	if answer.RetryAfter == 0 || (answer.Ran == errkind.RanNo && knownRan(answer, result) != errkind.RanNo) {
		return 0 // a repeat is not advised if the request may have run
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

// knownRan returns whether the request is known to have run. The result over all attempts takes precedence over the
// error table: the last of several attempts may have been refused after an earlier one ran.
func knownRan(answer errkind.Answer, result gateway.Result) errkind.Ran {
	if result.Ran == "" {
		return answer.Ran
	}
	return result.Ran
}

// sendError answers with the error response for err, and records the failure.
func (s *Server) sendError(x *exchange, result gateway.Result, err error) {
	answer, body := errorResponse(x, err)
	s.recordFailure(x, result, err)
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Pomelo-Ran", string(knownRan(answer, result)))
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

// recordFailure counts and logs a request that failed with err.
func (s *Server) recordFailure(x *exchange, result gateway.Result, err error) {
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
		"ran", string(knownRan(kind.Answer(), result)), "attempts", result.Attempts, "reason", text)
}
