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
	// unreadTime is how long a caller may leave a block of a plain answer unread. The answer holds memory that all answers share; callers
	// who read slowly take a block of 16 KiB in far less, and wait for no answer longer.
	unreadTime = 10 * time.Second
)

// answerWriter writes a buffered answer to the caller, and ends with an error if a write takes longer than unreadTime.
type answerWriter struct {
	w    http.ResponseWriter
	conn *http.ResponseController
}

// Write implements io.Writer.
func (a answerWriter) Write(p []byte) (n int, err error) {
	_ = a.conn.SetWriteDeadline(time.Now().Add(unreadTime)) // an error means that the connection is closed, as the write shows
	return a.w.Write(p)
}

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
	t, err := x.send(want, requestBody{input: x.body}, "")
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
	conn := http.NewResponseController(x.w)
	if _, err := answer.WriteTo(answerWriter{x.w, conn}); err != nil {
		reason = "caller did not take the answer"
	} else if err := conn.SetWriteDeadline(time.Time{}); err != nil {
		x.entry.log.Debug("connection already closed", "attempt", x.attempt.ID, "error", err)
	}
	x.logResult(t.resp.StatusCode, reason)
	return nil
}

// service returns the service that runs this attempt: a hash of the attempt's identifier selects one by the weights of the
// route.
func (x *exchange) service() string {
	return x.route.Pick(fraction(x.attempt.ID))
}
