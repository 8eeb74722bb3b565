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
	// maxPlainBytes is the largest response of a plain service; it is buffered until it is complete.
	maxPlainBytes = 8 << 20
	// plainRemoteCost is the cost of picking a replica in another failure domain for a request of a plain service: a round
	// trip, at half a millisecond each way.
	plainRemoteCost = time.Millisecond
)

// forwardPlain forwards a request whose response is not a stream, with retries at other replicas.
func (x *exchange) forwardPlain() {
	want := hgreplica.Want{Service: x.service(), Exclude: map[string]bool{}, Far: plainRemoteCost}
	for {
		err := x.tryPlain(want)
		if err == nil {
			return
		}
		if !x.canRetry(err) {
			x.respondError(err)
			return
		}
	}
}

// tryPlain sends the request to one replica and relays the response once it is complete.
func (x *exchange) tryPlain(want hgreplica.Want) error {
	t, err := x.send(want, x.body, "")
	if err != nil {
		return err
	}
	defer t.end()
	answer, err := x.entry.memory.Read(t.resp.Body, maxPlainBytes)
	if errors.Is(err, hgmemory.ErrFull) {
		// Other responses hold the memory: neither the replica nor the request is at fault.
		return errors.Join(errAnswerLost, err)
	}
	if err != nil {
		t.lease.MarkFailed()
		x.recordCrash(t)
		return errors.Join(errAnswerLost, err)
	}
	defer answer.Release()
	if t.resp.StatusCode >= http.StatusInternalServerError && x.canRetry(errAnswerLost) {
		return errAnswerLost
	}
	if !t.answer.Failed {
		x.entry.suspects.RecordCompletion(x.digests)
	}
	if x.isFalsePromise(t) {
		return errors.Join(errAnswerLost, errFalsePromise)
	}
	x.copyHead(t.resp)
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(answer.Len()))
	}
	x.w.WriteHeader(t.resp.StatusCode)
	x.entry.metrics.Observe(string(x.route.Kind), x.entry.timer.Now()-x.start)
	reason := ""
	if _, err := answer.WriteTo(x.w); err != nil {
		reason = "caller did not take the answer"
	}
	x.logResult(t.resp.StatusCode, reason)
	return nil
}

// service returns the service that runs this attempt: a hash of the attempt's identifier selects one by the weights of the
// route.
func (x *exchange) service() string {
	return x.route.Pick(fraction(x.attempt.ID))
}
