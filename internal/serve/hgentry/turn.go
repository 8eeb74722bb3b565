package hgentry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgturn"
)

// settleTime bounds the settlement of a turn whose caller does not wait for it.
const settleTime = 3 * time.Second

// turn is a turn of a program that may run.
type turn struct {
	open  hgledger.OpenReply
	owner hgpeer.Info
	// kept says that the system keeps what is said.
	kept   bool
	closed bool
}

// openTurn asks whether a turn may run, and answers the caller if not.
func (x *exchange) openTurn() bool {
	a := x.attempt
	q := hgledger.OpenRequest{
		Program: a.Program, Attempt: a.ID, Prompt: a.Prefix, Budget: a.Budget, HasBudget: a.HasBudget, Most: a.MostOut, Estimate: a.Estimate,
	}
	q.NoNew = x.entry.places.IsFull(x.service(), x.route.Priority)
	if x.route.Retain {
		q.Previous, q.Kept = a.Previous, true
	}
	began := x.entry.timer.Now()
	reply, owner := x.entry.programs.Open(x.ctx, q)
	x.openTook = x.entry.timer.Now() - began
	x.entry.figures.Observe("turnOpen", x.openTook)
	switch reply.Verdict {
	case hgledger.Granted:
		x.turn = &turn{open: reply, owner: owner, kept: x.route.Retain}
		return true
	case hgledger.Spent:
		x.answer(http.StatusPaymentRequired, "budget is spent", 0)
	case hgledger.NoTurn:
		x.answer(http.StatusNotFound, "previous turn does not exist", 0)
	case hgledger.Busy:
		x.answer(http.StatusServiceUnavailable, "replicas are busy with programs under way", comeBackFull*(0.5+rand.Float64()))
	case hgledger.Outage:
		x.answer(http.StatusServiceUnavailable, "store is out of reach", comeBackOutage*(0.8+0.4*rand.Float64()))
	default:
		x.answer(http.StatusServiceUnavailable, "state of the program is not known", comeBackStepIn*(0.5+rand.Float64()))
	}
	return false
}

// closeTurn settles a turn. A whole one that is kept is durable before its answer ends, else the answer is broken off.
func (x *exchange) closeTurn(s *stream, whole bool) {
	if x.turn == nil || x.turn.closed {
		return
	}
	x.turn.closed = true
	q := hgledger.CloseRequest{
		Program: x.attempt.Program, Prompt: x.attempt.Prefix, Attempt: x.attempt.ID, Holder: x.turn.open.Holder,
		Used: s.events * x.tokensPerEvent(), Replica: x.replica,
	}
	if !whole || !x.turn.kept {
		go x.settle(q)
		return
	}
	q.Turn = &hgturn.Turn{ID: x.attempt.ID, Previous: x.attempt.Previous, Input: x.body, Output: s.output}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), max(x.left(), time.Millisecond))
	defer cancel()
	began := x.entry.timer.Now()
	err := x.entry.programs.Close(ctx, x.turn.owner, q)
	x.keepTook = x.entry.timer.Now() - began
	x.entry.figures.Observe("turnKeep", x.keepTook)
	if err != nil {
		x.abort("turn could not be kept: " + err.Error())
	}
}

func (x *exchange) settle(q hgledger.CloseRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	if err := x.entry.programs.Close(ctx, x.turn.owner, q); err != nil {
		x.entry.log.Warn("turn not settled", "attempt", q.Attempt, "error", err)
	}
}

// mayHandOut says whether the turn's reservation holds one more event.
func (x *exchange) mayHandOut(s *stream) bool {
	return x.turn == nil || !x.attempt.HasBudget || (s.events+1)*x.tokensPerEvent() <= max(x.turn.open.Most, x.tokensPerEvent())
}

// tokensPerEvent returns the tokens that an event of the route's engines counts.
func (x *exchange) tokensPerEvent() int {
	for _, s := range x.route.Shares {
		if e := x.state.Services[s.Service].Engine; e != nil && e.TokensPerEvent > 0 {
			return e.TokensPerEvent
		}
	}
	return 1
}
