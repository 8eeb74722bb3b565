package hgcall

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// RefusalKind says what a refusal promises.
type RefusalKind string

// The kinds of refusals.
const (
	// KindNotRun promises that the request was not run and never will be.
	KindNotRun RefusalKind = "notRun"
	// KindRunning says that a copy of the request is running.
	KindRunning RefusalKind = "running"
	// KindUnknown says that the request may have run; it will not run again.
	KindUnknown RefusalKind = "unknown"
	// KindUnavailable promises nothing; the same request may be sent again.
	KindUnavailable RefusalKind = "unavailable"
	// KindInvalid names a field that has to change before the request can run.
	KindInvalid RefusalKind = "invalid"
)

// Reason says why a request was refused or failed.
type Reason string

// The reasons of refusals.
const (
	ReasonOverload     Reason = "overload"
	ReasonDeadline     Reason = "deadline"
	ReasonBudget       Reason = "budget"
	ReasonOutOfOrder   Reason = "outOfOrder"
	ReasonEnded        Reason = "ended"
	ReasonQuarantined  Reason = "quarantined"
	ReasonStore        Reason = "storeUnavailable"
	ReasonOwner        Reason = "ownerUnavailable"
	ReasonEndpoint     Reason = "endpointUnavailable"
	ReasonPreset       Reason = "presetUnconfirmed"
	ReasonDispatched   Reason = "dispatchedWithoutOutcome"
	ReasonInProgress   Reason = "inProgress"
	ReasonBadField     Reason = "badField"
	ReasonEndpointFail Reason = "endpointFailed"
	// ReasonNoAnswer is given by the caller library alone.
	ReasonNoAnswer Reason = "noFinalAnswer"
)

// Refusal is the final answer to a request that gets no result.
type Refusal struct {
	Kind   RefusalKind `json:"kind"`
	Reason Reason      `json:"reason"`
	// Field names the bad field of an invalid request.
	Field string `json:"field,omitempty"`
	// Detail explains the refusal to a person.
	Detail string `json:"detail"`
	// RetryAfter is when to come back; 0 means never with this request.
	RetryAfter time.Duration `json:"retryAfter"`
}

// Error returns the refusal as one line.
func (r *Refusal) Error() string {
	s := fmt.Sprintf("%s (%s): %s", r.Kind, r.Reason, r.Detail)
	if r.Field != "" {
		s = fmt.Sprintf("field %q: %s", r.Field, s)
	}
	return s
}

// WithRetryAfter returns the refusal with another time to come back.
func (r Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return &r
}

// Status returns the HTTP status for the refusal.
func (r *Refusal) Status() int {
	switch {
	case r.Kind == KindInvalid:
		return http.StatusUnprocessableEntity
	case r.Kind == KindRunning:
		return http.StatusConflict
	case r.Kind == KindUnknown:
		return http.StatusBadGateway
	case r.Reason == ReasonOverload:
		return http.StatusTooManyRequests
	case r.Reason == ReasonBudget:
		return http.StatusPaymentRequired
	case r.Reason == ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// NewRefusal returns a refusal of the given kind.
func NewRefusal(kind RefusalKind, reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Invalid returns the refusal of a bad field.
func Invalid(field, format string, args ...any) *Refusal {
	r := NewRefusal(KindInvalid, ReasonBadField, 0, format, args...)
	r.Field = field
	return r
}

// AsRefusal returns the Refusal in err; any other error becomes an unavailable refusal.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return NewRefusal(KindUnavailable, ReasonOwner, time.Second, "%v", err)
}
