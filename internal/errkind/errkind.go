// Package errkind defines the closed list of error kinds and the error table, which maps each kind to an HTTP status,
// whether the request ran on a backend server, and what the caller may do next.
//
// Use it for every refusal or failure that a process reports to another process or to a caller.
package errkind

import (
	"errors"
	"fmt"
	"time"
)

// Kind identifies a class of errors. The zero value, None, is not an error.
type Kind int

// The closed list of kinds. Their numbers are sent between processes, so new kinds are only appended.
const (
	None Kind = iota
	KeyMissing
	KeyUnknown
	KeyWithdrawn
	RouteNotFound
	MethodNotAllowed
	ModelUnknown
	ProfileNotAllowed
	BadRequest
	BodyTooLarge
	RateLimited
	RequestTooLarge
	LimitsUnavailable
	Overloaded
	DeadlineUnreachable
	WarmingUp
	Draining
	DataCentreOut
	ModelNotResident
	MemoryFull
	ConfigStale
	NotReady
	NoCandidate
	StoreUnavailable
	BackendUnreachable
	BackendFailed
	OutcomeUnknown
	DeadlineExceeded
	IdempotencyInProgress
	IdempotencyMismatch
	CallerCancelled
	ProtocolError
	Internal
	PromptRefused
	GatewayFull
	TooManyFields
	numKinds
)

// Ran says whether the request ran on a backend server.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Retry says whether and how a request may be repeated after an error.
type Retry string

// Values of Retry.
const (
	RetryNever   Retry = "never"   // the same request fails again
	RetryAnother Retry = "another" // the gateway may try another backend server at once
	RetryLater   Retry = "later"   // the caller may repeat the request after RetryAfter
	RetryCheck   Retry = "check"   // the caller must determine the outcome before it repeats the request
)

// Answer is the row of the error table for one kind.
type Answer struct {
	Code       string        // stable code in the API's error response
	HTTPStatus int           // status of the HTTP response
	Ran        Ran           // whether the request ran
	Retry      Retry         // whether and how the request may be repeated
	RetryAfter time.Duration // minimum wait before a repeat; zero if none is advised
	Text       string        // message for the caller
}

var table = [numKinds]Answer{
	None:                  {"none", 200, RanYes, RetryNever, 0, "no error"},
	KeyMissing:            {"key_missing", 401, RanNo, RetryNever, 0, "the request has no API key"},
	KeyUnknown:            {"key_unknown", 401, RanNo, RetryNever, 0, "the API key is not known"},
	KeyWithdrawn:          {"key_withdrawn", 401, RanNo, RetryNever, 0, "the API key was withdrawn"},
	RouteNotFound:         {"route_not_found", 404, RanNo, RetryNever, 0, "no such route"},
	MethodNotAllowed:      {"method_not_allowed", 405, RanNo, RetryNever, 0, "the method is not allowed on this route"},
	ModelUnknown:          {"model_unknown", 404, RanNo, RetryNever, 0, "the model is not known"},
	ProfileNotAllowed:     {"profile_not_allowed", 403, RanNo, RetryNever, 0, "the service does not allow this profile"},
	BadRequest:            {"bad_request", 400, RanNo, RetryNever, 0, "the request is not valid"},
	BodyTooLarge:          {"body_too_large", 413, RanNo, RetryNever, 0, "the request body is too large"},
	RateLimited:           {"rate_limited", 429, RanNo, RetryLater, time.Second, "the organisation's rate is used up"},
	RequestTooLarge:       {"request_too_large", 400, RanNo, RetryNever, 0, "the request needs more tokens than the organisation's burst"},
	LimitsUnavailable:     {"limits_unavailable", 503, RanNo, RetryLater, time.Second, "no holder of the organisation's limit is reachable"},
	Overloaded:            {"overloaded", 503, RanNo, RetryAnother, time.Second, "the backend server's queue is full"},
	DeadlineUnreachable:   {"deadline_unreachable", 503, RanNo, RetryAnother, time.Second, "the request cannot start before its deadline"},
	WarmingUp:             {"warming_up", 503, RanNo, RetryAnother, time.Second, "the backend server is warming up"},
	Draining:              {"draining", 503, RanNo, RetryAnother, time.Second, "the backend server is leaving"},
	DataCentreOut:         {"data_centre_out", 503, RanNo, RetryAnother, time.Second, "the data centre is out of service"},
	ModelNotResident:      {"model_not_resident", 503, RanNo, RetryAnother, time.Second, "the model is not loaded on the backend server"},
	MemoryFull:            {"memory_full", 503, RanNo, RetryAnother, time.Second, "the accelerator has no memory for the request"},
	ConfigStale:           {"config_stale", 503, RanNo, RetryLater, 2 * time.Second, "the configuration cannot be confirmed"},
	NotReady:              {"not_ready", 503, RanNo, RetryLater, time.Second, "the process has no configuration yet"},
	NoCandidate:           {"no_candidate", 503, RanNo, RetryLater, time.Second, "no backend server can take the request"},
	StoreUnavailable:      {"store_unavailable", 503, RanNo, RetryLater, 2 * time.Second, "the table service is unavailable"},
	BackendUnreachable:    {"backend_unreachable", 503, RanNo, RetryAnother, time.Second, "the backend server is unreachable"},
	BackendFailed:         {"backend_failed", 502, RanYes, RetryCheck, 0, "the backend server failed"},
	OutcomeUnknown:        {"outcome_unknown", 502, RanUnknown, RetryCheck, 0, "the outcome of the request is unknown"},
	DeadlineExceeded:      {"deadline_exceeded", 504, RanUnknown, RetryCheck, 0, "the request did not finish before its deadline"},
	IdempotencyInProgress: {"idempotency_in_progress", 409, RanUnknown, RetryCheck, time.Second, "a request with this idempotency key has no recorded outcome"},
	IdempotencyMismatch:   {"idempotency_mismatch", 422, RanNo, RetryNever, 0, "the idempotency key was used with another request"},
	CallerCancelled:       {"caller_cancelled", 499, RanUnknown, RetryCheck, 0, "the caller cancelled the request"},
	ProtocolError:         {"protocol_error", 502, RanUnknown, RetryCheck, 0, "a process answered out of protocol"},
	Internal:              {"internal", 500, RanUnknown, RetryCheck, 0, "internal error"},
	PromptRefused:         {"prompt_refused", 503, RanNo, RetryLater, time.Minute, "backend servers ended when they answered prompts with a part of this one"},
	GatewayFull:           {"gateway_full", 503, RanNo, RetryLater, time.Second, "the gateway holds as many requests as its memory allows"},
	TooManyFields:         {"too_many_fields", 431, RanNo, RetryNever, 0, "the request has too many header fields"},
}

// Answer returns the row of the error table for k, or that of Internal if k is out of range.
func (k Kind) Answer() Answer {
	if k < 0 || k >= numKinds {
		return table[Internal]
	}
	return table[k]
}

// String returns the stable code of k.
func (k Kind) String() string { return k.Answer().Code }

// NotRun reports whether an error of kind k means that the request did not run on a backend server.
func (k Kind) NotRun() bool { return k.Answer().Ran == RanNo }

// All returns every kind except None in numerical order.
func All() []Kind {
	kinds := make([]Kind, 0, numKinds-1)
	for k := None + 1; k < numKinds; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error is an error with a kind.
type Error struct {
	Kind   Kind
	Detail string // for logs and the caller; must not contain an API key
	Err    error  // cause, or nil
}

// New returns an error of kind k with a formatted detail.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k caused by err.
func Wrap(k Kind, err error, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...), Err: err}
}

// Error implements error. It returns the code, the detail and the cause, if any.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Detail, e.Err)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the kind of the first Error in err's chain, None for a nil error, and Internal if the chain has no Error.
func Of(err error) Kind {
	if err == nil {
		return None
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
