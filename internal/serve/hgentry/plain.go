package hgentry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgreplica"
)

const (
	// maxPlainBytes bounds the answer of a plain service, which is held until it is whole.
	maxPlainBytes = 8 << 20
	// plainFar is what another failure domain costs a request of a plain service: two ways of half a millisecond.
	plainFar = time.Millisecond
)

// forwardPlain serves a request whose answer is one piece.
func (x *exchange) forwardPlain() {
	want := hgreplica.Want{Service: x.service(), Exclude: map[string]bool{}, Far: plainFar}
	for {
		err := x.tryPlain(want)
		if err == nil {
			return
		}
		if !x.again(err) {
			x.giveUp(err)
			return
		}
	}
}

func (x *exchange) tryPlain(want hgreplica.Want) error {
	t, err := x.send(want, x.body, "")
	if err != nil {
		return err
	}
	defer t.end()
	answer, err := x.entry.memory.Read(t.resp.Body, maxPlainBytes)
	if errors.Is(err, hgmemory.ErrFull) {
		// That is neither the replica's fault nor the request's.
		return errors.Join(errBroken, err)
	}
	if err != nil {
		t.lease.Failed()
		x.broke(t)
		return errors.Join(errBroken, err)
	}
	defer answer.Release()
	body := answer.Bytes
	if t.resp.StatusCode >= http.StatusInternalServerError && x.again(errBroken) {
		return errBroken
	}
	if !t.answer.Failed {
		x.entry.suspects.Ended(x.suspect)
	}
	x.copyHead(t.resp)
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(t.resp.StatusCode)
	x.entry.figures.Observe(string(x.route.Kind), x.entry.timer.Now()-x.start)
	reason := ""
	if _, err := x.w.Write(body); err != nil {
		reason = "caller did not take the answer"
	}
	x.report(t.resp.StatusCode, reason)
	return nil
}

// service picks the service of the route for this attempt.
func (x *exchange) service() string {
	return x.route.Pick(fraction(x.attempt.ID))
}
