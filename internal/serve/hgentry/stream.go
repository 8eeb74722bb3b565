package hgentry

import (
	"bufio"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgreplica"
)

const (
	// maxEventBytes is the largest event of a stream.
	maxEventBytes = 256 << 10
	// fetchSetup is the fixed cost of fetching cached prompt parts from another replica, on top of the time per token. The
	// platform's documents give 0.6 ms.
	fetchSetup = time.Millisecond
	// fetchCharge is the cost of each fetched token on top of its transfer time. Transferred memory is charged 0.4 per GB,
	// which is 6.6e-5 per token of 164 kB, while programs on busy engines earn 1.2 to 1.6 per second of a request.
	fetchCharge = 50 * time.Microsecond
	// streamRemoteCost is the cost of picking a replica in another failure domain for a turn. It is high because a program's
	// later turns go where the first one went, and traffic between domains is charged by the byte for all of their history
	// and events.
	streamRemoteCost = 25 * time.Millisecond
)

// fraction hashes an identifier to a number in [0, 1).
func fraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// stream is the state of a streamed response as far as it was sent to the caller.
type stream struct {
	// headWritten says that status and headers were sent, after which no error response is possible.
	headWritten bool
	// lastEvent is the identifier of the last event that was sent; another replica resumes after it.
	lastEvent string
	sequence  sequence
	// events is the number of events that were sent, and received that of all events, with those that the caller had before.
	events, received int
	// skipTo is the identifier of the last event that the caller had from earlier attempts, until the replica has sent that event.
	// Only retained turns have one: they are generated from the start, as the output of the whole turn is stored.
	skipTo string
	// output is the data of the events, each with a line feed; nil unless the turn is retained.
	output *hgmemory.Claim
}

// newStream returns the state of a response of which nothing was sent.
func (x *exchange) newStream() *stream {
	if x.isRetained() {
		return &stream{skipTo: x.attempt.LastEvent, output: x.entry.account.OpenOutput()}
	}
	return &stream{lastEvent: x.attempt.LastEvent, sequence: newSequence(x.attempt.LastEvent)}
}

// close ends the charge for the output.
func (s *stream) close() {
	if s.output != nil {
		s.output.Close()
	}
}

// hasBegun reports whether a replica that is sent the request now has to continue the stream of another one.
func (s *stream) hasBegun() bool { return s.headWritten || s.received > 0 }

// skip reports whether the caller had an event from earlier attempts. An error means that the stream does not have the event that the
// caller names as its last one.
func (s *stream) skip(e event) (had bool, err error) {
	if s.skipTo == "" {
		return false, nil
	}
	if e.hasID && e.id == s.skipTo {
		s.skipTo = ""
		return true, nil
	}
	if newSequence(s.skipTo).isFollowedBy(e) {
		return false, errUnknownEvent
	}
	return true, nil
}

// forwardStream forwards a request whose response is a stream of events, and resumes it at other replicas if the route
// allows that.
func (x *exchange) forwardStream() {
	s := x.newStream()
	defer s.close()
	want := hgreplica.Want{Service: x.service(), Exclude: map[string]bool{}, Prompt: x.attempt.TokensIn, Far: streamRemoteCost}
	if engine := x.state.Services[want.Service].Engine; engine != nil {
		want.Fetch = hgreplica.FetchCost{Setup: fetchSetup, PerToken: engine.FetchPerToken, Charge: fetchCharge}
	}
	body := requestBody{input: x.body}
	if x.turn != nil {
		want.Kept, body.text = x.turn.open.Kept, x.turn.open.Text
	}
	for {
		err := x.tryStream(s, want, body)
		if err == nil {
			x.closeTurn(s, true)
			x.setResetOnClose(false)
			x.entry.metrics.Observe("stream", x.entry.timer.Now()-x.start)
			x.logResult(x.status, "")
			return
		}
		if s.sequence.unnumbered || !x.canRetry(err) {
			x.closeTurn(s, false)
			x.endStream(s, err)
			return
		}
	}
}

// endStream ends a response after the last try failed.
func (x *exchange) endStream(s *stream, err error) {
	if s.headWritten {
		x.abort("stream broke off: " + err.Error())
	}
	x.respondError(err)
}

// tryStream sends the request to one replica and relays its events.
func (x *exchange) tryStream(s *stream, want hgreplica.Want, body requestBody) error {
	t, err := x.send(want, body, s.lastEvent)
	if err != nil {
		return err
	}
	defer t.end()
	if t.resp.StatusCode != http.StatusOK {
		return x.forwardNonStream(t, s)
	}
	if err := x.copyEvents(s, t); err != nil {
		if lo.SomeBy(finalErrors, func(final error) bool { return errors.Is(err, final) }) { // none is the replica's fault
			return err
		}
		if x.r.Context().Err() == nil {
			t.lease.MarkFailed()
		}
		if !errors.Is(err, errNotContinued) {
			x.recordCrash(t)
		}
		return err
	}
	x.entry.suspects.RecordCompletion(x.digests)
	return nil
}

// forwardNonStream relays a response with a status other than 200, unless the request can be retried.
func (x *exchange) forwardNonStream(t *try, s *stream) error {
	answer, err := x.entry.memory.Read(t.resp.Body, maxEventBytes)
	if err != nil {
		if !errors.Is(err, hgmemory.ErrFull) {
			x.recordCrash(t)
		}
		return errors.Join(errAnswerLost, err)
	}
	defer answer.Release()
	if s.headWritten || x.canRetry(errAnswerLost) {
		return errAnswerLost
	}
	if x.isFalsePromise(t) {
		return errors.Join(errAnswerLost, errFalsePromise)
	}
	x.closeTurn(s, false)
	x.copyHead(t.resp)
	x.status = t.resp.StatusCode
	x.w.WriteHeader(x.status)
	if _, err := answer.WriteTo(x.w); err != nil {
		return errors.Join(errCallerLeft, err)
	}
	return nil
}

// errTokenLimit means that the turn's token reservation is used up before the stream ended.
var errTokenLimit = errors.New("turn is longer than what was reserved for it")

// errNoMemory means that the output of a turn that is retained found no memory.
var errNoMemory = errors.New("no memory is left for the answer")

// errCallerLeft means that writing to the caller failed.
var errCallerLeft = errors.New("caller left")

// errUnknownEvent means that a retained turn has no event with the identifier that the caller named as its last one.
var errUnknownEvent = errors.New("stream does not have the caller's last event")

// errNotContinued means that a replica which was to resume a stream did not go on with the event after the last one.
var errNotContinued = errors.New("replica did not continue the stream")

// copyEvents relays events as they arrive. It writes complete events only, so that a broken stream can be resumed after the
// last one. Of a replica that resumes a stream it relays nothing before the event that continues it.
func (x *exchange) copyEvents(s *stream, t *try) error {
	events := bufio.NewScanner(t.resp.Body)
	events.Buffer(make([]byte, 0, 4096), maxEventBytes)
	events.Split(splitEvent)
	resumes := s.hasBegun()
	for events.Scan() {
		e := parseEvent(events.Bytes())
		if resumes {
			if e.isEmpty() {
				continue
			}
			if !s.sequence.isContinuedBy(e) {
				return errors.Join(errAnswerLost, errNotContinued)
			}
			resumes = false
		}
		had, err := s.skip(e)
		if err != nil {
			return err
		}
		if had {
			err = x.recordEvent(s, e)
		} else {
			err = x.sendEvent(s, t, e, events.Bytes())
		}
		if err != nil {
			return err
		}
	}
	if err := events.Err(); err != nil {
		return errors.Join(errAnswerLost, err)
	}
	if resumes {
		return errors.Join(errAnswerLost, errNotContinued)
	}
	if x.lacksEvents(s, t) {
		return errors.Join(errAnswerLost, errNoEvent)
	}
	if s.skipTo != "" {
		return errUnknownEvent
	}
	x.writeHead(s, t)
	return nil
}

// sendEvent records an event and sends its bytes to the caller.
func (x *exchange) sendEvent(s *stream, t *try, e event, raw []byte) (err error) {
	if !e.isEmpty() && !x.fitsReservation(s) {
		return errTokenLimit
	}
	x.writeHead(s, t)
	if err := x.recordEvent(s, e); err != nil {
		return err
	}
	if !e.isEmpty() {
		s.events++
	}
	if _, err := x.w.Write(raw); err != nil {
		return errors.Join(errCallerLeft, err)
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return errors.Join(errCallerLeft, err)
	}
	return nil
}

// errNoEvent means that the replica closed the connection in order before the first event.
var errNoEvent = errors.New("stream ends without an event")

// lacksEvents reports whether a stream that ended with its connection brought no event at all. A whole stream has some, unless
// it resumes another one after the last event. With a length or chunks the replica says itself that the stream is whole.
func (x *exchange) lacksEvents(s *stream, t *try) bool {
	untilClose := t.resp.ContentLength < 0 && len(t.resp.TransferEncoding) == 0
	return untilClose && s.received == 0 && s.lastEvent == "" && x.r.Method != http.MethodHead
}

// writeHead writes status and headers, at the first event or the end of the stream. Until then the request can be
// retried without the caller noticing.
func (x *exchange) writeHead(s *stream, t *try) {
	if s.headWritten {
		return
	}
	s.headWritten = true
	x.copyHead(t.resp)
	x.w.Header().Del("Content-Length")
	x.status = http.StatusOK
	x.setResetOnClose(true)
	x.w.WriteHeader(x.status)
}

// recordEvent counts a received event, and stores its identifier and, for a turn that is retained, its data. A comment is no event. An
// error means that no memory is left for the data.
func (x *exchange) recordEvent(s *stream, e event) (err error) {
	if e.isEmpty() {
		return nil
	}
	s.received++
	s.sequence = s.sequence.With(e)
	if e.hasID {
		s.lastEvent = e.id
	}
	if s.output == nil {
		return nil
	}
	if _, err := s.output.Write(e.data); err != nil {
		x.entry.metrics.Count("output_refused_memory")
		return errors.Join(errNoMemory, err)
	}
	return nil
}
