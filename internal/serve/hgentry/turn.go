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

// settleTimeout is the timeout for closing a turn in the background, when the caller does not wait for it.
const settleTimeout = 3 * time.Second

// turn is a granted turn of a program.
type turn struct {
	open  hgledger.OpenReply
	owner hgpeer.Info
	// team is the team that the turn belongs to.
	team string
	// retained says that input and output of the turn are stored.
	retained bool
	// closed says that the turn is being closed or was closed.
	closed bool
	// secured says that the node that opened the turn was asked for the whole rest of its tokens, because that node shuts down.
	secured bool
	// extension delivers the result of a request for more tokens; nil if none is in flight.
	extension chan int
}

// isRetained reports whether the request is a turn whose input and output are stored.
func (x *exchange) isRetained() bool { return x.turn != nil && x.turn.retained }

// openTurn asks x.entry.programs whether the turn may run, and reports the answer. If it may not, openTurn has responded to
// the caller.
func (x *exchange) openTurn() bool {
	a := x.attempt
	q := hgledger.OpenRequest{
		Program: a.Program, Attempt: a.ID, Prompt: a.Prefix, Budget: a.Budget, HasBudget: a.HasBudget, Most: a.MaxTokensOut, Estimate: a.Estimate, Extendable: true, Team: x.team.Name,
	}
	q.NoNew = x.entry.placer.IsFull(x.service(), x.team.Name, x.priority())
	if x.route.Retain {
		q.Previous, q.Kept = a.Previous, true
	}
	if q.Previous != "" {
		claim := x.entry.account.Open(func() {})
		x.heldText, q.Charge = claim, claim.Hold
	}
	began := x.entry.timer.Now()
	reply, owner := x.entry.programs.Open(x.ctx, q)
	x.openTime = x.entry.timer.Now() - began
	x.entry.metrics.Observe("turnOpen", x.openTime)
	switch reply.Verdict {
	case hgledger.Granted:
		x.turn = &turn{open: reply, owner: owner, retained: x.route.Retain, team: q.Team}
		if q.Charge == nil || q.Charge(len(reply.Text)) == nil { // a peer has not charged it here
			return true
		}
		x.closeTurn(&stream{}, false)
		x.refuseText()
	case hgledger.NoMemory:
		x.refuseText()
	case hgledger.Spent:
		x.respond(http.StatusPaymentRequired, "budget is spent", 0)
	case hgledger.NoTurn:
		x.respond(http.StatusNotFound, "previous turn does not exist", 0)
	case hgledger.Busy:
		x.respond(http.StatusServiceUnavailable, "replicas are busy with programs under way", retryAfterFull*(0.5+rand.Float64()))
	case hgledger.Outage:
		x.respond(http.StatusServiceUnavailable, "store is out of reach", retryAfterOutage*(0.8+0.4*rand.Float64()))
	default:
		x.respond(http.StatusServiceUnavailable, "state of the program is not known", retryAfterFailover*(0.5+rand.Float64()))
	}
	return false
}

// refuseText refuses a turn as there is no memory for the text that it continues.
func (x *exchange) refuseText() {
	x.entry.metrics.Count("text_refused_memory")
	x.refuse(http.StatusServiceUnavailable, reasonMemory)
}

// closeTurn closes a turn. A complete turn that is retained must be durable before its response ends; if it can't be stored,
// the response is aborted.
func (x *exchange) closeTurn(s *stream, complete bool) {
	if x.turn == nil || x.turn.closed {
		return
	}
	x.turn.closed = true
	q := hgledger.CloseRequest{
		Program: x.attempt.Program, Prompt: x.attempt.Prefix, Attempt: x.attempt.ID, Holder: x.turn.open.Holder,
		Used: s.events * x.tokensPerEvent(), Replica: x.replica,
	}
	if !complete || !x.turn.retained {
		x.entry.running.Add(1)
		go x.settle(q)
		return
	}
	output, err := s.output.Bytes()
	if err != nil {
		x.entry.running.Add(1)
		go x.settle(q)
		x.abort("turn could not be kept: " + errNoMemory.Error())
	}
	q.Turn = &hgturn.Turn{ID: x.attempt.ID, Team: x.turn.team, Previous: x.attempt.Previous, Input: x.body, Output: output}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), max(x.remaining(), time.Millisecond))
	defer cancel()
	began := x.entry.timer.Now()
	err = x.entry.programs.Close(ctx, x.turn.owner, q)
	x.retainTime = x.entry.timer.Now() - began
	x.entry.metrics.Observe("turnKeep", x.retainTime)
	if err != nil {
		x.abort("turn could not be kept: " + err.Error())
	}
}

// settle closes a turn in the background. Until then its request counts as running.
func (x *exchange) settle(q hgledger.CloseRequest) {
	defer x.entry.running.Add(-1)
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := x.entry.programs.Close(ctx, x.turn.owner, q); err != nil {
		x.entry.log.Warn("could not close turn", "attempt", q.Attempt, "error", err)
	}
}

// tokensPerEvent returns the number of tokens that one event stands for: as the service that runs the attempt says in the desired state
// that the request was served under.
func (x *exchange) tokensPerEvent() int {
	if e := x.state.Services[x.service()].Engine; e != nil && e.TokensPerEvent > 0 {
		return e.TokensPerEvent
	}
	return 1
}
