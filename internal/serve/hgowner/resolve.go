package hgowner

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgprogram"
	"hyssopgrade/hgretain"
	"hyssopgrade/internal/serve/hgendpoint"
)

const (
	// resolveTimeout is how long the endpoints are asked for the outcome of an open call.
	resolveTimeout = 10 * time.Second
	// resolveInterval is the pause between two rounds of these requests.
	resolveInterval = 250 * time.Millisecond
)

// resolveOpenCall closes a call that the previous owner left without an outcome. It waits first until that owner may no longer
// dispatch the call. A repeatable call (c.Idempotent, which is set for model calls too), and a call that no endpoint has run or
// will run, may run again afterwards.
func (o *Owner) resolveOpenCall(s *shard, epoch uint64, c hgprogram.OpenCall) {
	if !o.sleep(o.cfg.Limits.DispatchWindow) {
		return
	}
	if c.Idempotent {
		_, _ = s.update(o.cfg.Journal, epoch, func(st *hgprogram.Shard, _ *hgretain.Keeper) []hgprogram.Record {
			return st.Abandon(c.Program, c.Request, o.now())
		})
		return
	}
	r, unrun := o.findOutcome(hgendpoint.Fence{Shard: s.number, Epoch: epoch}, c)
	o.cfg.Log.Info("open call resolved", "program", c.Program, "request", c.Request, "state", r.State, "unrun", unrun)
	_, _ = s.update(o.cfg.Journal, epoch, func(st *hgprogram.Shard, _ *hgretain.Keeper) []hgprogram.Record {
		if unrun {
			return st.Withdraw(c.Program, c.Request, o.now())
		}
		return st.Finish(c.Program, c.Request, r, o.now())
	})
}

// sleep returns false if the Owner closes before d has passed.
func (o *Owner) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-o.ctx.Done():
		return false
	}
}

// findOutcome asks the endpoints of an open call's service for the call's outcome until the outcome is known, until no endpoint
// can report it any more, or until resolveTimeout has passed. unrun means that no endpoint has run the call and that each
// endpoint refuses it from now on under the previous owner's fencing number. A call that was once seen running is never unrun:
// its endpoint may have restarted since.
func (o *Owner) findOutcome(f hgendpoint.Fence, c hgprogram.OpenCall) (r hgcall.Result, unrun bool) {
	end := o.now() + resolveTimeout
	started := false
	for {
		a := o.queryOutcomes(f, c)
		started = started || a.started
		switch {
		case a.ended != nil:
			return toolResult(*a.ended), false
		case a.unrun && !started:
			return r, true
		case !a.pending || o.now() >= end || !o.sleep(resolveInterval):
			return hgcall.Result{State: hgcall.Unknown, Reason: hgcall.ReasonOutcomeLost}, false
		}
	}
}

// outcomeReplies sums up what the endpoints of a service know of an open call.
type outcomeReplies struct {
	// ended is the call's result, if an endpoint has run it to its end.
	ended *hgendpoint.ToolResult
	// started says that an endpoint runs the call.
	started bool
	// pending says that an endpoint runs the call or could not be reached.
	pending bool
	// unrun says that no endpoint has seen the call and that each endpoint now refuses it from the previous owner.
	unrun bool
}

// queryOutcomes asks each endpoint of an open call's service once for the call's outcome.
func (o *Owner) queryOutcomes(f hgendpoint.Fence, c hgprogram.OpenCall) outcomeReplies {
	ids := o.cfg.Targets[c.Service]
	a := outcomeReplies{unrun: len(ids) > 0}
	for _, id := range ids {
		ctx, cancel := context.WithTimeout(o.ctx, probeTimeout)
		out, err := o.cfg.Endpoints[id].Outcome(ctx, c.Request, f)
		cancel()
		if err == nil && out.State == hgendpoint.OutcomeEnded {
			return outcomeReplies{ended: &out.Result}
		}
		a.started = a.started || err == nil && out.State == hgendpoint.OutcomeRunning
		a.pending = a.pending || a.started || err != nil && !trace.IsNotFound(err)
		a.unrun = a.unrun && err == nil && out.State == hgendpoint.OutcomeUnseen && o.cfg.Fencing[id]
	}
	return a
}
