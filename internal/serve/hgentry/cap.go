package hgentry

import (
	"context"
	"math/rand/v2"
	"net/http"

	"hyssopgrade/internal/serve/hgcap"
	"hyssopgrade/internal/serve/hgdesired"
)

// Caps decides whether a request is within the usage cap of its team.
type Caps interface {
	Take(ctx context.Context, q hgcap.Request) hgcap.Reply
	// Return gives back what a request took that was not sent to a replica.
	Return(q hgcap.Request, r hgcap.Reply)
}

// WithCaps sets what enforces usage caps; without it there are none.
func WithCaps(c Caps) Option { return func(e *Entry) { e.caps = c } }

// minRetryCap is the least Retry-After of a request that is over the cap of its team, in seconds: callers that return sooner find the tokens
// taken by others.
const minRetryCap = 0.2

// takeCap counts the request against the cap of its team and reports whether it may go on. If not, it has responded to the caller.
func (x *exchange) takeCap() bool {
	if !x.hasCap() {
		return true
	}
	reply := x.entry.caps.Take(x.ctx, x.capRequest())
	x.capReply, x.capAt = reply, x.entry.timer.Now()
	if reply.Verdict == hgcap.Granted {
		return true
	}
	x.refuseCap()
	return false
}

// refuseCap responds to a request that was not granted and not run. Callers that were refused at the same time return at different times.
func (x *exchange) refuseCap() {
	retryAfter := max(x.capReply.RetryAfter.Seconds(), minRetryCap) * (1 + rand.Float64())
	if x.capReply.Verdict == hgcap.OverCap {
		x.respond(http.StatusTooManyRequests, errOverCap.Error(), retryAfter)
		return
	}
	x.respond(http.StatusServiceUnavailable, "usage cap of the team is not known", retryAfter)
}

// hasCap reports whether the requests of the team are counted.
func (x *exchange) hasCap() bool {
	return x.entry.caps != nil && x.team.Name != "" && !x.team.Cap.IsUnlimited()
}

// capRequest describes the request to Caps. The first turn of a program begins it.
func (x *exchange) capRequest() hgcap.Request {
	begins := x.route.Kind == hgdesired.Stream && x.route.Retain && x.attempt.Program != "" && x.attempt.Previous == ""
	return hgcap.Request{Team: x.team, New: begins}
}

// returnCap gives back what the request has taken if it was sent to no replica.
func (x *exchange) returnCap() {
	if x.hasCap() && x.sent == 0 {
		x.entry.caps.Return(x.capRequest(), x.capReply)
	}
}

// recountCap counts a request once more that has waited for a replica for so long that what it took belongs to an earlier span of time, or
// that a replica may have run already. It reports whether the request may be sent.
func (x *exchange) recountCap() bool {
	if !x.hasCap() || x.sent == 0 && x.entry.timer.Now()-x.capAt < hgcap.DispatchTime {
		return true
	}
	q := x.capRequest()
	if x.sent == 0 {
		x.entry.caps.Return(hgcap.Request{Team: x.team}, x.capReply)
	}
	q.New = false // The start of the program is counted already.
	reply := x.entry.caps.Take(x.ctx, q)
	x.capReply, x.capAt = reply, x.entry.timer.Now()
	return reply.Verdict == hgcap.Granted
}
