package hgentry

import (
	"errors"
	"net/http"
	"os"
	"time"

	"hyssopgrade/internal/serve/hgdesired"
	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgserver"
)

const (
	// defaultMaxBody is the largest request body in bytes if the desired state sets no limit.
	defaultMaxBody = 4 << 20
	// defaultBodyBytes is the memory for the bodies of all requests of an Entry without WithAccount.
	defaultBodyBytes = 64 << 20
	// paceBytes and paceTime are the least pace of a body: each paceBytes of it, and its rest, have to come within paceTime. That is
	// 3.2 KB/s, a thousandth of the smallest VM's link of 30 Mbit/s, so that only a body that has stopped falls below it.
	paceBytes = 16 << 10
	paceTime  = 5 * time.Second
)

// WithAccount sets the memory that the bodies of all requests share with their connections and heads.
func WithAccount(a *hgmemory.Account) Option { return func(e *Entry) { e.account = a } }

// Reasons of refused bodies, as callers and the log see them; hgloss knows them by their beginning.
const (
	reasonTooLarge   = "body is too large"
	reasonUnreadable = "body could not be read"
	reasonSlow       = "body came too slowly; not run"
	reasonMemory     = "no memory is left for request bodies; not run"
)

// readBody reads the request's body and reports whether that succeeded. If not, it has responded to the caller. The bytes stay charged
// until closeBody.
func (x *exchange) readBody() bool {
	maxBytes := int64(defaultMaxBody)
	if x.state != nil && x.state.Limits.MaxBodyBytes > 0 {
		maxBytes = x.state.Limits.MaxBodyBytes
	}
	switch {
	case x.r.ContentLength > maxBytes:
		x.refuseBody(http.StatusRequestEntityTooLarge, reasonTooLarge, "body_refused_size")
		return false
	case x.r.ContentLength == 0 || x.r.Body == nil:
		x.body = []byte{}
		return true
	}
	conn := http.NewResponseController(x.w)
	setDeadline := func(t time.Time) {
		if err := conn.SetReadDeadline(t); err != nil {
			x.entry.log.Debug("cannot set the deadline of a body", "attempt", x.attempt.ID, "error", err)
		}
	}
	x.held = x.entry.account.OpenBody(hgserver.Claim(x.r.Context()), func() { setDeadline(time.Unix(1, 0)) })
	var route hgdesired.Route
	if x.state != nil {
		route, _ = x.state.Route(hostOnly(x.r.Host), x.r.URL.EscapedPath()) // an unknown route is refused later
	}
	began := time.Now()
	end := began.Add(x.allowed(route))
	mark, due := 0, began.Add(paceTime)
	body, err := x.held.Read(x.r.Body, x.r.ContentLength, maxBytes, func(size int) {
		switch {
		case size == 0:
			setDeadline(earlier(due, end))
		case size >= mark+paceBytes:
			mark, due = size, time.Now().Add(paceTime)
			setDeadline(earlier(due, end))
		}
	})
	switch {
	case err == nil:
		setDeadline(time.Time{})
		x.body = body
		return true
	case errors.Is(err, hgmemory.ErrTooLong):
		x.refuseBody(http.StatusRequestEntityTooLarge, reasonTooLarge, "body_refused_size")
	case errors.Is(err, hgmemory.ErrShed) || x.held.IsShed():
		x.closeBody()
		x.entry.metrics.Count("body_refused_memory")
		hgserver.RefuseShed(x.w, x.r, func() { x.refuse(http.StatusServiceUnavailable, reasonMemory) })
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.entry.metrics.Count("body_refused_pace")
		x.w.Header().Set("Connection", "close")
		x.refuse(http.StatusRequestTimeout, reasonSlow)
	default:
		x.refuse(http.StatusBadRequest, reasonUnreadable)
	}
	return false
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// refuseBody refuses a request whose body is not read, and frees its memory.
func (x *exchange) refuseBody(status int, reason, counter string) {
	x.closeBody()
	x.entry.metrics.Count(counter)
	if err := hgserver.Refuse(x.w, x.r, func() { x.refuse(status, reason) }); err != nil {
		x.entry.log.Debug("cannot linger", "attempt", x.attempt.ID, "error", err)
	}
}

// closeBody ends the charge for the memory of the body, and of the text before it.
func (x *exchange) closeBody() {
	if x.held != nil {
		x.held.Close()
		x.held = nil
	}
	if x.heldText != nil {
		x.heldText.Close()
		x.heldText = nil
	}
}
