package hgentry

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgreplica"
	"hyssopgrade/internal/serve/hgsuspect"
)

// maxTries bounds the replicas that one request is sent to, including those that refuse it.
const maxTries = 4

// hopHeaders are the hop-by-hop headers of HTTP, which a proxy must not forward.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of the headers without the hop-by-hop ones, including those that the Connection header names.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// Errors of a try. Their texts are sent to callers.
var (
	// errNotSent means that no byte of the request was written.
	errNotSent = errors.New("request was not sent")
	// errNotRun means that the replica refused the request and did not run it.
	errNotRun = errors.New("replica refused the request")
	// errAnswerLost means that there is no usable response although the replica may have run the request.
	errAnswerLost = errors.New("answer was lost")
	// errNoHead means that the connection ended, or brought what is no answer, before the head of the response was complete.
	errNoHead = errors.New("replica broke off before its answer began")
	// errFalsePromise means that the status of the response promises callers what does not hold, as that the request was not run.
	errFalsePromise = errors.New("replica answered with a status that does not hold")
	// errNoReplica means that the service has no usable replica that was not tried yet.
	errNoReplica = errors.New("no replica is left")
	// errBusy means that replicas are too busy for a new program.
	errBusy = errors.New("replicas are busy with programs under way")
	// errSuspect means that the request is refused because replicas seem to have crashed while they ran it or requests with
	// the same content.
	errSuspect = errors.New("replicas broke off under this request")
	// errStopping means that the node stops before the request may have ended.
	errStopping = errors.New("VM is stopping")
	// errOverCap means that the team has used its cap.
	errOverCap = errors.New("team is over its usage cap")
	// errNoLease means that no replica had room before the wait for a lease was over.
	errNoLease = errors.New("no replica had room in time")
)

// try is one send of a request to a replica.
type try struct {
	lease  *hgreplica.Lease
	resp   *http.Response
	answer hgattempt.Answer
	began  time.Duration
	conn   connUse
	// ended is called when the try ends.
	ended func()
	// probe bounds a request to a replica that is suspected of hanging; nil for others.
	probe *probe
}

// end closes the response, which closes the connection unless the body was read to its end, and releases the lease.
func (t *try) end() {
	if t.resp != nil {
		t.resp.Body.Close()
	}
	t.probe.end()
	t.lease.Release()
	t.ended()
}

// maxRefusalBytes is the largest body of a refusal after which its connection is reused.
const maxRefusalBytes = 4096

// drain reads the rest of the response in the background, so that the connection can be reused. The end of the request ends it too.
func (t *try) drain() {
	body := t.resp.Body
	t.resp = nil
	go func() {
		defer body.Close()
		_, _ = io.Copy(io.Discard, io.LimitReader(body, maxRefusalBytes)) // an error ends the connection
	}()
}

// requestBody is the body of a request to a replica: the text of the turns that it continues, and the caller's input.
type requestBody struct{ text, input []byte }

func (b requestBody) len() int64 { return int64(len(b.text) + len(b.input)) }

// reader returns a reader that the transport cannot start again, so that it does not resend the request on its own.
func (b requestBody) reader() io.ReadCloser {
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.text), bytes.NewReader(b.input)))
}

// send leases a replica, sends the request to it and returns once the response headers have come. On an error the lease
// is released already.
func (x *exchange) send(w hgreplica.Want, body requestBody, lastEvent string) (t *try, err error) {
	w.Repeatable, w.Left = x.mayProbe(lastEvent), x.remaining()
	lease, err := x.acquireLease(w)
	if err != nil {
		return nil, err
	}
	// Replicas may have crashed under copies of this request while it waited for the lease.
	if _, refused := x.entry.suspects.Refused(x.digests); refused || x.sent > 0 && !x.entry.suspects.MayRetry(x.digests) {
		lease.Release()
		return nil, errSuspect
	}
	if x.sent == 0 && x.isTooLate() {
		lease.Release()
		return nil, errStopping
	}
	team, err := x.reauthorize()
	if err != nil {
		lease.Release()
		return nil, err
	}
	x.team = team
	if !x.recountCap() {
		lease.Release()
		return nil, errOverCap
	}
	x.tries++
	x.replica, x.decision = lease.ID, lease.Why
	w.Exclude[lease.ID] = true
	t = &try{lease: lease, began: x.entry.timer.Now(), conn: connUse{mayDispatch: x.mayDispatch}, ended: x.entry.uses.run(x.team.Name)}
	if err = x.roundTrip(t, body, lastEvent); err != nil {
		t.end()
		return nil, err
	}
	return t, nil
}

// roundTrip sends the request to the leased replica and sets t.resp and t.answer.
func (x *exchange) roundTrip(t *try, body requestBody, lastEvent string) (err error) {
	ctx := x.ctx
	if limit := t.lease.Why.Probe; limit > 0 {
		t.probe, ctx = newProbe(ctx, limit)
	}
	r := (&http.Request{
		Method: x.r.Method, URL: x.target(t.lease.Address), Host: x.r.Host, Header: endToEnd(x.r.Header),
		Body: body.reader(), ContentLength: body.len(),
	}).WithContext(httptrace.WithClientTrace(ctx, t.conn.hooks()))
	x.entry.dialect.Prepare(r.Header, hgattempt.Send{
		Replica: t.lease.ID, Left: x.remaining(), LastEvent: lastEvent, Anew: x.isRetained() && lastEvent == "", FetchFrom: t.lease.FetchFrom,
		Team: x.team.Name, HasTeams: x.hasTeams(),
	})
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""}
	}
	t.lease.MarkSent()
	t.resp, err = t.lease.Client.Do(r)
	if refused := t.conn.refused.Load(); err != nil && refused != nil {
		return *refused
	}
	if t.probe.isLate(err) {
		return x.recordLateProbe(t)
	}
	if err != nil {
		if x.r.Context().Err() == nil {
			t.lease.MarkFailed()
		}
		if t.conn.wroteHeaders.Load() {
			x.sent++
			x.recordCrash(t)
			return errors.Join(errAnswerLost, errNoHead, err)
		}
		return errors.Join(errNotSent, err)
	}
	t.resp.Body = &replicaBody{ReadCloser: t.resp.Body, ctx: x.ctx}
	t.answer = x.entry.dialect.DecodeAnswer(t.resp.StatusCode, t.resp.Header)
	x.headTime = x.entry.timer.Now() - t.began
	x.entry.metrics.Observe(string(x.route.Kind)+"Head", x.headTime)
	t.lease.RecordAnswer(t.answer, x.headTime)
	if t.answer.Leaving && t.lease.MarkLeaving() {
		x.entry.log.Info("replica announced shutdown, sending it no new requests", "replica", t.lease.ID, "attempt", x.attempt.ID, "status", t.resp.StatusCode)
	}
	return x.checkAnswer(t)
}

// recordCrash records a suspected crash of the replica. After the deadline or the caller's disconnect the connection breaks
// in any case, so that only the end of the replica itself shows a crash.
func (x *exchange) recordCrash(t *try) {
	r := x.digests.WithRun(hgsuspect.Run{Replica: t.lease.ID, Incarnation: t.lease.Born(), Began: t.began})
	if x.ctx.Err() == nil || t.lease.ReplicaEnded() {
		x.entry.suspects.RecordCrash(r)
		return
	}
	x.entry.suspects.RecordUnanswered(r, t.lease.ID)
}

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// checkAnswer returns an error for refusals, for responses to other requests, for those with a status that HTTP does not have and for 2xx
// responses without a seal. Encoded responses and switches to another protocol are rejected too.
func (x *exchange) checkAnswer(t *try) error {
	// A response to another request says nothing about this one. One without an identifier may have been written for any request, or for
	// none, before this one was read.
	mismatched := t.answer.AttemptID != x.attempt.ID
	switch {
	case t.resp.StatusCode < http.StatusOK, t.resp.StatusCode > maxStatus:
		// After 101 the body is the connection itself, which no longer ends with the request's context. That of any other status is not to
		// be used again, and may be back in the transport's pool if there is no body.
		x.sent++
		t.lease.MarkFailed()
		t.conn.close()
		return errAnswerLost
	case t.answer.NotRun && !mismatched:
		// A replica refuses other weights with the same status.
		if t.resp.StatusCode == http.StatusMisdirectedRequest && x.attempt.Version == "" {
			t.lease.MarkMisdirected()
		}
		t.drain()
		return errNotRun
	case mismatched, t.resp.StatusCode/100 == 2 && !t.answer.Sealed, t.resp.Header.Get("Content-Encoding") != "":
		x.sent++
		t.lease.MarkFailed()
		// The transport may have put the connection of a response without a body back into its pool already.
		t.conn.close()
		return errAnswerLost
	}
	x.sent++
	return nil
}

// isFalsePromise reports whether the status of an accepted response would tell the caller what the replica does not vouch for: that
// the request was not run, that its previous turn does not exist, or that a turn was served which is not retained. Such a response
// can't be relayed under another status, as it carries the replica's seal.
func (x *exchange) isFalsePromise(t *try) bool {
	switch t.resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return !x.route.Repeatable()
	case http.StatusPaymentRequired:
		return x.turn != nil
	case http.StatusNotFound, http.StatusGone:
		return x.turn != nil && x.attempt.Previous != ""
	}
	return x.turn != nil && x.turn.retained && t.resp.StatusCode/100 == 2 && t.resp.StatusCode != http.StatusOK
}

// target returns the URL of the request at a replica's address, with path and query exactly as the caller sent them.
func (x *exchange) target(address string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address, Path: x.r.URL.Path, RawPath: x.r.URL.RawPath, RawQuery: x.r.URL.RawQuery, ForceQuery: x.r.URL.ForceQuery}
	if path, _, _ := strings.Cut(x.r.RequestURI, "?"); strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		u.Opaque = path
	}
	return u
}

// finalErrors are the errors after which a request is sent to no other replica.
var finalErrors = []error{
	errNoReplica, errBusy, errNoLease, errSuspect, errStopping, errOverCap, errCallerLeft, errTokenLimit, errNoMemory, errUnknownEvent, errNoKey, errStale, errOtherTeam,
}

// canRetry reports whether the request may be sent to another replica after an error.
func (x *exchange) canRetry(err error) bool {
	switch {
	case x.ctx.Err() != nil, x.tries >= maxTries, lo.SomeBy(finalErrors, func(final error) bool { return errors.Is(err, final) }):
		return false
	case errors.Is(err, errAnswerLost):
		return x.route.Repeatable() && x.sent < x.route.MaxAttempts
	}
	return true
}

// ownErrors are the errors whose texts are sent to callers, the more specific ones first.
var ownErrors = []error{
	errNoKey, errStale, errOtherTeam, errStopping, errSuspect, errOverCap, errBusy, errNoReplica, errNoLease, errNoHead, errFalsePromise, errUnknownEvent, errNotContinued, errNoEvent, errNoMemory, errAnswerLost, errNotRun, errNotSent,
}

// ownError returns what callers are told of an error. The text of a library's error may name addresses; it is logged only.
func ownError(err error) error {
	own, _ := lo.Find(ownErrors, func(own error) bool { return errors.Is(err, own) })
	return cmp.Or(own, errAnswerLost)
}

// respondError responds to a request that will not be retried, before any part of a response was written.
func (x *exchange) respondError(err error) {
	x.cause = err
	reason := ownError(err).Error()
	switch {
	case x.r.Context().Err() != nil:
		x.abort("caller left")
	case isUnauthorized(err) && x.sent == 0:
		x.respondUnauthorized(err)
	case errors.Is(err, errSuspect) && x.sent == 0:
		left, _ := x.entry.suspects.Refused(x.digests)
		x.respond(http.StatusServiceUnavailable, reason, left.Seconds())
	case errors.Is(err, errStopping):
		x.respond(http.StatusServiceUnavailable, reason, retryAfterStopping)
	case errors.Is(err, errOverCap) && x.sent == 0:
		x.refuseCap()
	case errors.Is(err, errBusy):
		x.respond(http.StatusServiceUnavailable, reason, retryAfterFull*(0.5+rand.Float64()))
	case x.sent == 0 && x.ctx.Err() == nil && !x.entry.replicas.HasAny(hgreplica.Want{Service: x.service()}):
		x.respond(http.StatusServiceUnavailable, "the service has no replica", retryAfterNoReplica*(0.5+rand.Float64()))
	case x.sent == 0 && x.ctx.Err() == nil:
		x.respond(http.StatusServiceUnavailable, reason, retryAfterBusy*(0.5+rand.Float64()))
	case x.sent == 0 && !errors.Is(err, errAnswerLost):
		x.respond(http.StatusServiceUnavailable, "no replica in time", retryAfterBusy)
	case x.ctx.Err() != nil:
		x.respond(http.StatusGatewayTimeout, "no answer in time", 0)
	default:
		x.respond(http.StatusBadGateway, reason, 0)
	}
}

// copyHead sets the caller's response headers from a replica's response.
func (x *exchange) copyHead(resp *http.Response) {
	x.announceClose()
	h := x.w.Header()
	for name, values := range endToEnd(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}
