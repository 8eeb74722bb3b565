package hgowner

import (
	"context"
	"errors"
	"strings"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgprogram"
	"hyssopgrade/hgquarantine"
	"hyssopgrade/hgretain"
	"hyssopgrade/hgroute"
	"hyssopgrade/internal/serve/hgendpoint"
	"hyssopgrade/internal/serve/hgsched"
)

// probeTimeout bounds the question whether an endpoint lives.
const probeTimeout = 500 * time.Millisecond

// chat runs a model call on an endpoint.
func (j *job) chat(ctx context.Context, ep hgendpoint.Endpoint, g hgsched.Grant) ending {
	res, err := ep.Chat(ctx, hgendpoint.ChatRequest{
		Program: j.c.Program, Request: j.c.Request, Model: j.c.Target, MaxTokens: j.plan.MaxTokens, Fence: j.fence(),
		Messages: append(append([]hgcall.Message(nil), j.plan.History...), j.c.Messages...),
	}, func(text string) {
		j.prove()
		j.change(func() { j.pieces = append(j.pieces, text) })
	})
	if err != nil {
		return j.failed(ctx, ep, g, err)
	}
	j.prove()
	j.o.succeeded(j.plan.Content)
	j.o.cfg.Scheduler.Done(g, hgsched.Result{Timing: hgroute.Timing{
		FirstToken: res.FirstToken, Total: res.Total,
		Computed: int(res.PromptTokens - min(res.CachedTokens, res.PromptTokens)), Output: int(res.OutputTokens),
	}})
	j.ran(g.Endpoint, int(res.PromptTokens+res.OutputTokens))
	return ending{result: hgcall.Result{
		State: hgcall.Done, Status: 200, Answer: []byte(res.Text),
		InputTokens: res.PromptTokens - min(j.plan.Context, res.PromptTokens), OutputTokens: res.OutputTokens,
	}}
}

// ran notes where the program's prefix is now.
func (j *job) ran(endpoint string, tokens int) {
	var orders []hgretain.Order
	_, _ = j.s.update(j.o.cfg.Journal, j.epoch, func(_ *hgprogram.Shard, k *hgretain.Keeper) []hgprogram.Record {
		orders = k.Ran(j.c.Program, endpoint, tokens, j.o.now())
		return nil
	})
	j.o.order(j.s, j.epoch, orders)
}

// tool runs a tool call on an endpoint.
func (j *job) tool(ctx context.Context, ep hgendpoint.Endpoint, g hgsched.Grant) ending {
	j.paused()
	_, op, _ := strings.Cut(j.c.Target, "/")
	start := j.o.now()
	res, err := ep.Call(ctx, hgendpoint.ToolRequest{
		Program: j.c.Program, Request: j.c.Request, Operation: op, Body: j.c.Body, Idempotent: j.c.Idempotent, Fence: j.fence(),
	})
	if err != nil {
		return j.failed(ctx, ep, g, err)
	}
	j.prove()
	j.o.succeeded(j.plan.Content)
	j.o.cfg.Scheduler.Done(g, hgsched.Result{Timing: hgroute.Timing{Total: j.o.now() - start}})
	return ending{result: toolResult(res)}
}

func toolResult(t hgendpoint.ToolResult) hgcall.Result {
	r := hgcall.Result{State: hgcall.Done, Status: t.Status, Answer: t.Body}
	if t.Status >= 400 {
		r.State, r.Reason = hgcall.Failed, hgcall.ReasonEndpointFail
	}
	return r
}

// paused tells the keeper that the program waits for a tool.
func (j *job) paused() {
	var orders []hgretain.Order
	_, _ = j.s.update(j.o.cfg.Journal, j.epoch, func(_ *hgprogram.Shard, k *hgretain.Keeper) []hgprogram.Record {
		orders = k.Paused(j.c.Program, j.c.Target, j.o.now())
		return nil
	})
	j.o.order(j.s, j.epoch, orders)
}

// failed decides about a dispatch that returned an error and gives its place back.
func (j *job) failed(ctx context.Context, ep hgendpoint.Endpoint, g hgsched.Grant, err error) ending {
	var de *hgendpoint.Error
	if !errors.As(err, &de) {
		de = &hgendpoint.Error{Sent: true, Err: err}
	}
	j.o.cfg.Log.Warn("dispatch failed", "program", j.c.Program, "request", j.c.Request, "endpoint", g.Endpoint,
		"sent", de.Sent, "cut", de.Cut, "draining", de.Draining, "fenced", de.Fenced, "err", err)
	if de.Sent && de.Cut && !alive(ep) {
		j.o.died(j.plan.Content, g.Endpoint, j.alone)
	}
	j.o.cfg.Scheduler.Done(g, hgsched.Result{Failed: !de.Fenced, Refused: de.Draining || !de.Sent && de.Cut})
	j.mayHaveRun = j.mayHaveRun || de.Sent
	switch {
	case de.Fenced:
		return ending{lost: true}
	case !de.Sent:
		ref := hgcall.NewRefusal(hgcall.KindNotRun, hgcall.ReasonEndpoint, retryNotRun, "no connection to an endpoint for %q", j.c.Target)
		e := j.unlessRan(notRun(hgcall.ReasonEndpoint, ref))
		e.exclude, e.unsent = g.Endpoint, true
		return e
	case j.c.Repeatable() && ctx.Err() != nil:
		return ending{result: hgcall.Result{State: hgcall.Failed, Reason: hgcall.ReasonDeadline}}
	case j.c.Repeatable():
		return ending{abandon: true, exclude: g.Endpoint}
	}
	return j.resolve(ep)
}

// resolve asks the endpoint for the outcome of a dispatched call that may not run again.
func (j *job) resolve(ep hgendpoint.Endpoint) ending {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	out, err := ep.Outcome(ctx, j.c.Request, j.fence())
	if err == nil && out.State == hgendpoint.OutcomeEnded {
		return ending{result: toolResult(out.Result)}
	}
	return ending{result: hgcall.Result{State: hgcall.Unknown, Reason: hgcall.ReasonDispatched}}
}

// alive tells whether an endpoint answers.
func alive(ep hgendpoint.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := ep.Status(ctx)
	return err == nil
}

// check returns how a request with the digest may run.
func (o *Owner) check(digest string) hgquarantine.Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.quarantine.Check(digest)
}

// died notes that an endpoint died under a request, tells the peers, and forgets the endpoint's memory.
func (o *Owner) died(digest, endpoint string, alone bool) {
	o.mu.Lock()
	s := o.quarantine.Died(digest, alone, o.now())
	o.mu.Unlock()
	o.cfg.Log.Warn("endpoint died", "endpoint", endpoint, "digest", digest, "deaths", s.Deaths)
	o.cfg.Sharer.Share(s)
	for _, sh := range o.shards {
		sh.mu.Lock()
		if sh.keeper != nil {
			sh.keeper.EndpointLost(endpoint)
		}
		sh.mu.Unlock()
	}
}

// succeeded clears a suspect.
func (o *Owner) succeeded(digest string) {
	o.mu.Lock()
	s, ok := o.quarantine.Finished(digest, o.now())
	o.mu.Unlock()
	if ok {
		o.cfg.Sharer.Share(s)
	}
}

// allowRetry takes one retry out of the budget.
func (o *Owner) allowRetry() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.retries.Allow(o.now())
}

// order gives orders to endpoints in the background, under the shard's epoch.
func (o *Owner) order(s *shard, epoch uint64, orders []hgretain.Order) {
	for _, d := range orders {
		ep := o.cfg.Endpoints[d.Endpoint]
		if ep == nil {
			continue
		}
		o.cfg.Log.Info("retention", "program", d.Program, "endpoint", d.Endpoint, "action", d.Action, "reason", d.Reason)
		o.wg.Go(func() {
			ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
			defer cancel()
			f := hgendpoint.Fence{Shard: s.no, Epoch: epoch}
			if err := ep.Order(ctx, hgendpoint.Order{Program: d.Program, Action: d.Action, Fence: f}); err != nil {
				o.cfg.Log.Warn("order failed", "program", d.Program, "endpoint", d.Endpoint, "err", err)
			}
		})
	}
}

// orderTimeout bounds one order to an endpoint.
const orderTimeout = 2 * time.Second
