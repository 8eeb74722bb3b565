package hgcall

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// RefusalKind is what a refusal guarantees about its request.
type RefusalKind string

// The kinds of refusals.
const (
	// KindNotRun guarantees that the request was not run and never will be.
	KindNotRun RefusalKind = "notRun"
	// KindRunning means that the request is running already.
	KindRunning RefusalKind = "running"
	// KindUnknown means that the request may have run; it will not run again.
	KindUnknown RefusalKind = "unknown"
	// KindUnavailable guarantees nothing; the same request may be sent again under the same identifier.
	KindUnavailable RefusalKind = "unavailable"
	// KindInvalid means that Field has to change before the request can run.
	KindInvalid RefusalKind = "invalid"
)

// Reason is the cause for which a request was refused or failed.
type Reason string

// The reasons of refusals and failures.
const (
	// ReasonOverload means that the expected wait is too long or that the preset in force takes no new programs.
	ReasonOverload Reason = "overload"
	// ReasonDeadline means that the call's deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonBudget means that the tokens left in the root program's budget do not cover the call.
	ReasonBudget Reason = "budget"
	// ReasonOutOfOrder means that earlier calls of the program have not ended.
	ReasonOutOfOrder Reason = "outOfOrder"
	// ReasonEnded means that the program has ended.
	ReasonEnded Reason = "ended"
	// ReasonQuarantined means that requests with the same content crashed endpoints.
	ReasonQuarantined Reason = "quarantined"
	// ReasonStore means that the platform's store is not reachable or did not confirm a record in time.
	ReasonStore Reason = "storeUnavailable"
	// ReasonOwner means that the owner of the program's shard is not reachable.
	ReasonOwner Reason = "ownerUnavailable"
	// ReasonEndpointUnavailable means that there was no connection to an endpoint for the target.
	ReasonEndpointUnavailable Reason = "endpointUnavailable"
	// ReasonPreset means that the node can't confirm the preset in force.
	ReasonPreset Reason = "presetUnconfirmed"
	// ReasonOutcomeLost means that the call was dispatched and its outcome was lost.
	ReasonOutcomeLost Reason = "dispatchedWithoutOutcome"
	// ReasonInProgress means that the request is running already.
	ReasonInProgress Reason = "inProgress"
	// ReasonBadField means that a field of the request is invalid.
	ReasonBadField Reason = "badField"
	// ReasonEndpointFailed means that the endpoint failed while it ran the call, or that a tool answered with a status of 400 or more.
	ReasonEndpointFailed Reason = "endpointFailed"
	// ReasonNoAnswer is set by the callers' client library only.
	ReasonNoAnswer Reason = "noFinalAnswer"
)

// Refusal is the answer to a request that gets no result. It is an error.
type Refusal struct {
	Kind   RefusalKind `json:"kind"`
	Reason Reason      `json:"reason"`
	// Field is the name of the invalid field, for KindInvalid.
	Field string `json:"field,omitempty"`
	// Detail explains the refusal to a human reader.
	Detail string `json:"detail"`
	// RetryAfter is the time after which to retry; 0 means never to retry this request.
	RetryAfter time.Duration `json:"retryAfter"`
}

// Error returns the kind, reason, detail and field in one line.
func (r *Refusal) Error() string {
	s := fmt.Sprintf("%s (%s): %s", r.Kind, r.Reason, r.Detail)
	if r.Field != "" {
		s = fmt.Sprintf("field %q: %s", r.Field, s)
	}
	return s
}

// WithRetryAfter returns a copy of the refusal with RetryAfter set to d.
func (r Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return &r
}

// Status returns the HTTP status of the refusal.
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

// NewRefusal returns a refusal whose detail is formatted from format and args.
func NewRefusal(kind RefusalKind, reason Reason, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Invalid returns a refusal of the kind KindInvalid for the field, with a formatted detail.
func Invalid(field, format string, args ...any) *Refusal {
	r := NewRefusal(KindInvalid, ReasonBadField, 0, format, args...)
	r.Field = field
	return r
}

// AsRefusal returns the Refusal that err wraps. Any other error becomes a refusal of the kind KindUnavailable with the reason
// ReasonOwner and the error's text as its detail.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return NewRefusal(KindUnavailable, ReasonOwner, time.Second, "%v", err)
}
