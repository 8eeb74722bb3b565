package hgentry

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgreplica"
)

// maxTries bounds the replicas that are asked for one request, those that refuse it included.
const maxTries = 4

// hopHeaders concern a single connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of the headers without those that concern a single connection.
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

// Errors of a try.
var (
	// errNotSent means that no byte was written.
	errNotSent = errors.New("request was not sent")
	// errNotRun means that the replica refused the request.
	errNotRun = errors.New("replica refused the request")
	// errBroken means that the replica may have run the request.
	errBroken = errors.New("answer was lost")
	// errNoReplica means that no replica is left.
	errNoReplica = errors.New("no replica is left")
	// errFull means that a new program has to wait for those under way.
	errFull = errors.New("replicas are busy with programs under way")
	// errSuspect means that replicas broke off under requests with this content.
	errSuspect = errors.New("replicas broke off under this request")
	// errNoPlace means that no replica had room in time.
	errNoPlace = errors.New("no replica had room in time")
)

// try is one send of a request to a replica.
type try struct {
	lease  *hgreplica.Lease
	resp   *http.Response
	answer hgattempt.Answer
	began  time.Duration
}

// end closes the connection, unless the answer was read to its end, and frees the place.
func (t *try) end() {
	if t.resp != nil {
		t.resp.Body.Close()
	}
	t.lease.Release()
}

// onceBody is a body that can be had only once, so that the transport has no occasion to send a request again.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// send sends the request to a replica and returns with the head of its answer. On an error the try has ended.
func (x *exchange) send(w hgreplica.Want, body []byte, lastEvent string) (t *try, err error) {
	lease, err := x.take(w)
	if err != nil {
		return nil, err
	}
	// Replicas may have broken off under copies while this one waited.
	if _, refused := x.entry.suspects.Refused(x.suspect); refused {
		lease.Release()
		return nil, errSuspect
	}
	x.tries++
	x.replica, x.why = lease.ID, lease.Why
	w.Exclude[lease.ID] = true
	t = &try{lease: lease, began: x.entry.timer.Now()}
	if err = x.roundTrip(t, body, lastEvent); err != nil {
		t.end()
		return nil, err
	}
	return t, nil
}

func (x *exchange) roundTrip(t *try, body []byte, lastEvent string) (err error) {
	var wrote atomic.Bool
	ctx := httptrace.WithClientTrace(x.ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }})
	r := (&http.Request{
		Method: x.r.Method, URL: x.target(t.lease.Address), Host: x.r.Host, Header: endToEnd(x.r.Header),
		Body: onceBody{bytes.NewReader(body)}, ContentLength: int64(len(body)),
	}).WithContext(ctx)
	x.entry.dialect.Prepare(r.Header, hgattempt.Send{Replica: t.lease.ID, Left: x.left(), LastEvent: lastEvent, FetchFrom: t.lease.FetchFrom})
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = []string{""}
	}
	t.resp, err = t.lease.Client.Do(r)
	if err != nil {
		if x.r.Context().Err() == nil {
			t.lease.Failed()
		}
		if wrote.Load() {
			x.sent++
			x.broke(t)
			return errors.Join(errBroken, err)
		}
		return errors.Join(errNotSent, err)
	}
	t.answer = x.entry.dialect.DecodeAnswer(t.resp.StatusCode, t.resp.Header)
	x.headTook = x.entry.timer.Now() - t.began
	x.entry.figures.Observe(string(x.route.Kind)+"Head", x.headTook)
	t.lease.Answered(t.answer, x.headTook)
	if t.answer.Leaving && t.lease.Leaves() {
		x.entry.log.Info("replica says that it leaves", "replica", t.lease.ID, "attempt", x.attempt.ID, "status", t.resp.StatusCode)
	}
	return x.check(t)
}

// broke tells that the replica broke off. Once the time is up or the caller has left, only the replica's end shows that.
func (x *exchange) broke(t *try) {
	if x.ctx.Err() == nil || t.lease.HasEnded() {
		x.entry.suspects.Broke(x.suspect)
		return
	}
	x.entry.suspects.Unanswered(x.suspect, t.lease.ID)
}

// check sorts out answers of other requests and refusals.
func (x *exchange) check(t *try) error {
	// A refusal may bear no identifier; one that bears another belongs to another request, and says nothing of this one.
	strange := t.answer.AttemptID != x.attempt.ID && (t.answer.AttemptID != "" || !t.answer.NotRun)
	switch {
	case t.answer.NotRun && !strange:
		if t.resp.StatusCode == http.StatusMisdirectedRequest {
			t.lease.Misdirected()
		}
		// The rest of the refusal is read so that its connection can be used again.
		if _, err := io.Copy(io.Discard, io.LimitReader(t.resp.Body, 4096)); err != nil {
			t.lease.Failed()
		}
		return errNotRun
	case strange, t.resp.StatusCode/100 == 2 && !t.answer.Sealed, t.resp.Header.Get("Content-Encoding") != "":
		x.sent++
		t.lease.Failed()
		return errBroken
	}
	x.sent++
	return nil
}

// target returns the URL at an address with path and query as the caller sent them.
func (x *exchange) target(address string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address, Path: x.r.URL.Path, RawPath: x.r.URL.RawPath, RawQuery: x.r.URL.RawQuery, ForceQuery: x.r.URL.ForceQuery}
	if path, _, _ := strings.Cut(x.r.RequestURI, "?"); strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		u.Opaque = path
	}
	return u
}

// again says whether the request may go to another replica after an error.
func (x *exchange) again(err error) bool {
	switch {
	case x.ctx.Err() != nil, x.tries >= maxTries, errors.Is(err, errNoReplica), errors.Is(err, errFull), errors.Is(err, errNoPlace), errors.Is(err, errSuspect), errors.Is(err, errCaller), errors.Is(err, errLimit):
		return false
	case errors.Is(err, errBroken):
		return x.route.Repeatable() && x.sent < x.route.MaxAttempts
	}
	return true
}

// giveUp answers a request after its last try, nothing of an answer having reached the caller.
func (x *exchange) giveUp(err error) {
	switch {
	case x.r.Context().Err() != nil:
		x.abort("caller left")
	case errors.Is(err, errSuspect) && x.sent == 0:
		left, _ := x.entry.suspects.Refused(x.suspect)
		x.answer(http.StatusServiceUnavailable, err.Error(), left.Seconds())
	case errors.Is(err, errFull):
		x.answer(http.StatusServiceUnavailable, err.Error(), comeBackFull*(0.5+rand.Float64()))
	case x.sent == 0 && x.ctx.Err() == nil && !x.entry.replicas.HasAny(hgreplica.Want{Service: x.service()}):
		x.answer(http.StatusServiceUnavailable, "the service has no replica", comeBackNone*(0.5+rand.Float64()))
	case x.sent == 0 && x.ctx.Err() == nil:
		x.answer(http.StatusServiceUnavailable, err.Error(), comeBackBusy*(0.5+rand.Float64()))
	case x.sent == 0 && !errors.Is(err, errBroken):
		x.answer(http.StatusServiceUnavailable, "no replica in time", comeBackBusy)
	case x.ctx.Err() != nil:
		x.answer(http.StatusGatewayTimeout, "no answer in time", 0)
	default:
		x.answer(http.StatusBadGateway, err.Error(), 0)
	}
}

// copyHead passes the head of an answer to the caller.
func (x *exchange) copyHead(resp *http.Response) {
	h := x.w.Header()
	for name, values := range endToEnd(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}
