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
	// resolveWithin bounds the time in which the outcome of an open call is asked for.
	resolveWithin = 10 * time.Second
	// resolveEvery is the time between two questions for it.
	resolveEvery = 250 * time.Millisecond
)

// resolveOpen waits until the previous owner may no longer dispatch a call and then closes it.
// An idempotent call, and one that no endpoint has run nor will run, may then run again.
func (o *Owner) resolveOpen(s *shard, epoch uint64, c hgprogram.OpenCall) {
	if !o.sleep(o.cfg.Limits.DispatchWindow) {
		return
	}
	if c.Idempotent {
		_, _ = s.update(o.cfg.Journal, epoch, func(st *hgprogram.Shard, _ *hgretain.Keeper) []hgprogram.Record {
			return st.Abandon(c.Program, c.Request, o.now())
		})
		return
	}
	r, unrun := o.findOutcome(hgendpoint.Fence{Shard: s.no, Epoch: epoch}, c)
	o.cfg.Log.Info("open call resolved", "program", c.Program, "request", c.Request, "state", r.State, "unrun", unrun)
	_, _ = s.update(o.cfg.Journal, epoch, func(st *hgprogram.Shard, _ *hgretain.Keeper) []hgprogram.Record {
		if unrun {
			return st.Withdraw(c.Program, c.Request, o.now())
		}
		return st.Finish(c.Program, c.Request, r, o.now())
	})
}

// sleep returns false when the owner closes meanwhile.
func (o *Owner) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-o.ctx.Done():
		return false
	}
}

// findOutcome asks the endpoints of an open call's service for its outcome as long as an answer may still come.
// unrun tells that no endpoint has run it, and that each refuses it under the previous owner's fencing number from now on.
func (o *Owner) findOutcome(f hgendpoint.Fence, c hgprogram.OpenCall) (r hgcall.Result, unrun bool) {
	end := o.now() + resolveWithin
	started := false
	for {
		a := o.askOutcome(f, c)
		started = started || a.started
		switch {
		case a.found != nil:
			return toolResult(*a.found), false
		case a.unrun && !started:
			return r, true
		case !a.pending || o.now() >= end || !o.sleep(resolveEvery):
			return hgcall.Result{State: hgcall.Unknown, Reason: hgcall.ReasonDispatched}, false
		}
	}
}

// answers is what the endpoints of a service know of an open call.
type answers struct {
	found *hgendpoint.ToolResult
	// started says that an endpoint runs it.
	started bool
	// pending says that an endpoint runs it or can't be reached.
	pending bool
	// unrun says that no endpoint has seen it, and that each now refuses it from the previous owner.
	unrun bool
}

// askOutcome asks each endpoint of an open call's service once.
func (o *Owner) askOutcome(f hgendpoint.Fence, c hgprogram.OpenCall) answers {
	ids := o.cfg.Targets[c.Service]
	a := answers{unrun: len(ids) > 0}
	for _, id := range ids {
		ctx, cancel := context.WithTimeout(o.ctx, probeTimeout)
		out, err := o.cfg.Endpoints[id].Outcome(ctx, c.Request, f)
		cancel()
		if err == nil && out.State == hgendpoint.OutcomeEnded {
			return answers{found: &out.Result}
		}
		a.started = a.started || err == nil && out.State == hgendpoint.OutcomeRunning
		a.pending = a.pending || a.started || err != nil && !trace.IsNotFound(err)
		a.unrun = a.unrun && err == nil && out.State == hgendpoint.OutcomeUnseen && o.cfg.Fencing[id]
	}
	return a
}
