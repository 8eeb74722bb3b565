package hgentry

import "hyssopgrade/internal/state/hgledger"

const (
	// extendAhead is the number of events that a reservation has left when it is extended, so that the stream does not wait
	// for the reply.
	extendAhead = 3
	// extendBy is the number of events by which a reservation is extended.
	extendBy = 6
)

// fitsReservation reports whether one more event of the stream fits the turn's token reservation, which it extends if
// necessary. The first event always fits.
func (x *exchange) fitsReservation(s *stream) bool {
	if x.turn == nil || !x.attempt.HasBudget || s.events == 0 {
		return true
	}
	perEvent := x.tokensPerEvent()
	needed := (s.events + 1) * perEvent
	x.pollExtension()
	switch {
	case x.turn.extension == nil && !x.turn.secured && x.entry.programs.IsStopping(x.turn.owner):
		x.turn.secured = true
		x.extendReservation(x.attempt.MaxTokensOut)
	case needed+extendAhead*perEvent > x.turn.open.Most:
		x.extendReservation(extendBy * perEvent)
	}
	if needed > x.turn.open.Most {
		x.awaitExtension()
	}
	if needed > x.turn.open.Most {
		// Other turns of the program may have returned tokens since the request was made.
		x.extendReservation(extendBy * perEvent)
		x.awaitExtension()
	}
	return needed <= x.turn.open.Most
}

// extendReservation asks for more tokens in the background, unless a request is in flight or the reservation covers the
// maximum output of the turn.
func (x *exchange) extendReservation(tokens int) {
	rest := x.attempt.MaxTokensOut - x.turn.open.Most
	tokens = min(tokens, rest)
	if x.turn.extension != nil || tokens <= 0 {
		return
	}
	done := make(chan int, 1)
	x.turn.extension = done
	q := hgledger.ExtendRequest{
		Program: x.attempt.Program, Attempt: x.attempt.ID, Holder: x.turn.open.Holder, Budget: x.attempt.Budget, Tokens: tokens, Rest: rest,
	}
	go func() { done <- x.entry.programs.Extend(x.ctx, x.turn.owner, q) }()
}

// pollExtension adds the tokens of an extension that has arrived to the reservation.
func (x *exchange) pollExtension() {
	select {
	case tokens := <-x.turn.extension:
		x.applyExtension(tokens)
	default:
	}
}

// awaitExtension is pollExtension but waits for an extension that is in flight.
func (x *exchange) awaitExtension() {
	if x.turn.extension == nil {
		return
	}
	select {
	case tokens := <-x.turn.extension:
		x.applyExtension(tokens)
	case <-x.ctx.Done():
	}
}

func (x *exchange) applyExtension(tokens int) {
	x.turn.open.Most += tokens
	x.turn.extension = nil
}
