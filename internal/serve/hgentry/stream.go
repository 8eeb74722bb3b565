package hgentry

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgreplica"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
	// fetchSetup is what each fetch of kept parts takes besides its tokens, by the users' sheets 0.6 ms.
	fetchSetup = time.Millisecond
	// moveCharge is what a token of moved memory counts besides: it is charged 0.4 a GB, 6.6e-5 a token of 164 kB, while
	// programs on busy engines earn 1.2 to 1.6 in each second of a request.
	moveCharge = 50 * time.Microsecond
	// streamFar is what another failure domain costs a turn: a program's later turns follow the first one, and all of
	// their history and events cross the domains, which is paid by the byte.
	streamFar = 25 * time.Millisecond
)

// fraction maps an identifier to a number in [0, 1).
func fraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// stream is the part of a streamed answer that the caller has.
type stream struct {
	begun bool
	// lastEvent is the identifier of the last event, and events their number.
	lastEvent string
	events    int
	// output is the data of the events, each with a line feed, if the turn is kept.
	output []byte
}

// forwardStream serves a request that is answered by events.
func (x *exchange) forwardStream() {
	s := &stream{lastEvent: x.attempt.LastEvent}
	want := hgreplica.Want{Service: x.service(), Exclude: map[string]bool{}, Prompt: x.attempt.TokensIn, Far: streamFar}
	if engine := x.state.Services[want.Service].Engine; engine != nil {
		want.Fetch = hgreplica.Fetch{Setup: fetchSetup, PerToken: engine.FetchPerToken, Charge: moveCharge}
	}
	body := x.body
	if x.turn != nil {
		want.Kept = x.turn.open.Kept
		if len(x.turn.open.Text) > 0 {
			body = append(append([]byte(nil), x.turn.open.Text...), x.body...)
		}
	}
	for {
		err := x.tryStream(s, want, body)
		if err == nil {
			x.closeTurn(s, true)
			x.entry.figures.Observe("stream", x.entry.timer.Now()-x.start)
			x.report(x.status, "")
			return
		}
		if !x.again(err) {
			x.closeTurn(s, false)
			x.endStream(s, err)
			return
		}
	}
}

// endStream ends a stream that is not whole.
func (x *exchange) endStream(s *stream, err error) {
	if s.begun {
		x.abort("stream broke off: " + err.Error())
	}
	x.giveUp(err)
}

func (x *exchange) tryStream(s *stream, want hgreplica.Want, body []byte) error {
	t, err := x.send(want, body, s.lastEvent)
	if err != nil {
		return err
	}
	defer t.end()
	if t.resp.StatusCode != http.StatusOK {
		return x.passFailure(t, s)
	}
	if err := x.copyEvents(s, t); err != nil {
		if errors.Is(err, errCaller) || errors.Is(err, errLimit) {
			return err
		}
		if x.r.Context().Err() == nil {
			t.lease.Failed()
		}
		x.broke(t)
		return err
	}
	x.entry.suspects.Ended(x.suspect)
	return nil
}

// passFailure passes on an answer of a replica that is no stream.
func (x *exchange) passFailure(t *try, s *stream) error {
	answer, err := x.entry.memory.Read(t.resp.Body, maxEventBytes)
	if err != nil {
		if !errors.Is(err, hgmemory.ErrFull) {
			x.broke(t)
		}
		return errors.Join(errBroken, err)
	}
	defer answer.Release()
	if s.begun || x.again(errBroken) {
		return errBroken
	}
	x.closeTurn(s, false)
	x.copyHead(t.resp)
	x.status = t.resp.StatusCode
	x.w.WriteHeader(x.status)
	if _, err := x.w.Write(answer.Bytes); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}

// errLimit means that the turn's tokens are used up before its end.
var errLimit = errors.New("turn is longer than what was reserved for it")

// errCaller means that the caller does not take the answer.
var errCaller = errors.New("caller left")

// copyEvents passes on whole events as they come, so that a stream that broke off can go on after its last one.
func (x *exchange) copyEvents(s *stream, t *try) error {
	flush := http.NewResponseController(x.w).Flush
	events := bufio.NewScanner(t.resp.Body)
	events.Buffer(make([]byte, 0, 4096), maxEventBytes)
	events.Split(splitEvent)
	for events.Scan() {
		if !x.mayHandOut(s) {
			return errLimit
		}
		x.begin(s, t)
		x.note(s, events.Bytes())
		if _, err := x.w.Write(events.Bytes()); err != nil {
			return errors.Join(errCaller, err)
		}
		if err := flush(); err != nil {
			return errors.Join(errCaller, err)
		}
	}
	if err := events.Err(); err != nil {
		return errors.Join(errBroken, err)
	}
	x.begin(s, t)
	return nil
}

// begin passes on the head of the first answer, once there is something of it: until then another one may take its place.
func (x *exchange) begin(s *stream, t *try) {
	if s.begun {
		return
	}
	s.begun = true
	x.copyHead(t.resp)
	x.w.Header().Del("Content-Length")
	x.status = http.StatusOK
	x.w.WriteHeader(x.status)
}

var errTornEvent = errors.New("stream ends within an event")

// splitEvent is a bufio.SplitFunc for events with the blank line that ends them.
func splitEvent(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if i := bytes.Index(data, []byte("\n\n")); i >= 0 {
		return i + 2, data[:i+2], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, errTornEvent
	}
	return 0, nil, nil
}

// note keeps what is needed of an event.
func (x *exchange) note(s *stream, event []byte) {
	s.events++
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			s.lastEvent = string(value)
		case "data":
			if x.turn != nil && x.turn.kept {
				s.output = append(append(s.output, value...), '\n')
			}
		}
	}
}
