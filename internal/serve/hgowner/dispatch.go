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

// probeTimeout bounds one status or outcome request to an endpoint.
const probeTimeout = 500 * time.Millisecond

// callModel sends a model call to an endpoint and decides how the attempt ended.
func (j *job) callModel(ctx context.Context, ep hgendpoint.Endpoint, g hgsched.Grant) attemptResult {
	res, err := ep.Chat(ctx, hgendpoint.ChatRequest{
		Program: j.c.Program, Request: j.c.Request, Model: j.c.Target, MaxTokens: j.plan.MaxTokens, Fence: j.fence(),
		Messages: append(append([]hgcall.Message(nil), j.plan.History...), j.c.Messages...),
	}, func(text string) {
		j.markProven()
		j.change(func() { j.pieces = append(j.pieces, text) })
	})
	if err != nil {
		return j.dispatchFailed(ctx, ep, g, err)
	}
	j.markProven()
	j.o.requestSucceeded(j.plan.Content)
	j.o.cfg.Scheduler.Done(g, hgsched.Result{Timing: hgroute.Timing{
		FirstToken: res.FirstToken, Total: res.Total,
		Computed: int(res.PromptTokens - min(res.CachedTokens, res.PromptTokens)), Output: int(res.OutputTokens),
	}})
	j.recordPrefix(g.Endpoint, int(res.PromptTokens+res.OutputTokens))
	return attemptResult{result: hgcall.Result{
		State: hgcall.Done, Status: 200, Answer: []byte(res.Text),
		InputTokens: res.PromptTokens - min(j.plan.Context, res.PromptTokens), OutputTokens: res.OutputTokens,
	}}
}

// recordPrefix records that the endpoint now holds the program's prefix, of the given number of tokens.
func (j *job) recordPrefix(endpoint string, tokens int) {
	var orders []hgretain.Order
	_, _ = j.s.update(j.o.cfg.Journal, j.epoch, func(_ *hgprogram.Shard, k *hgretain.Keeper) []hgprogram.Record {
		orders = k.Ran(j.c.Program, endpoint, tokens, j.o.now())
		return nil
	})
	j.o.sendOrders(j.s, j.epoch, orders)
}

// callTool sends a tool call to an endpoint and decides how the attempt ended.
func (j *job) callTool(ctx context.Context, ep hgendpoint.Endpoint, g hgsched.Grant) attemptResult {
	j.recordPause()
	_, op, _ := strings.Cut(j.c.Target, "/")
	start := j.o.now()
	res, err := ep.Call(ctx, hgendpoint.ToolRequest{
		Program: j.c.Program, Request: j.c.Request, Operation: op, Body: j.c.Body, Idempotent: j.c.Idempotent, Fence: j.fence(),
	})
	if err != nil {
		return j.dispatchFailed(ctx, ep, g, err)
	}
	j.markProven()
	j.o.requestSucceeded(j.plan.Content)
	j.o.cfg.Scheduler.Done(g, hgsched.Result{Timing: hgroute.Timing{Total: j.o.now() - start}})
	return attemptResult{result: toolResult(res)}
}

func toolResult(t hgendpoint.ToolResult) hgcall.Result {
	r := hgcall.Result{State: hgcall.Done, Status: t.Status, Answer: t.Body}
	if t.Status >= 400 {
		r.State, r.Reason = hgcall.Failed, hgcall.ReasonEndpointFailed
	}
	return r
}

// recordPause records that the program waits for a tool; the keeper may release its prefix meanwhile.
func (j *job) recordPause() {
	var orders []hgretain.Order
	_, _ = j.s.update(j.o.cfg.Journal, j.epoch, func(_ *hgprogram.Shard, k *hgretain.Keeper) []hgprogram.Record {
		orders = k.Paused(j.c.Program, j.c.Target, j.o.now())
		return nil
	})
	j.o.sendOrders(j.s, j.epoch, orders)
}

// dispatchFailed decides how an attempt ended whose dispatch returned an error, and returns the slot.
func (j *job) dispatchFailed(ctx context.Context, ep hgendpoint.Endpoint, g hgsched.Grant, err error) attemptResult {
	var de *hgendpoint.Error
	if !errors.As(err, &de) {
		de = &hgendpoint.Error{Sent: true, Err: err}
	}
	j.o.cfg.Log.Warn("dispatch failed", "program", j.c.Program, "request", j.c.Request, "endpoint", g.Endpoint,
		"sent", de.Sent, "cut", de.Cut, "draining", de.Draining, "fenced", de.Fenced, "err", err)
	if de.Sent && de.Cut && !isAlive(ep) {
		j.o.endpointDied(j.plan.Content, g.Endpoint, j.alone)
	}
	j.o.cfg.Scheduler.Done(g, hgsched.Result{Failed: !de.Fenced, Refused: de.Draining || !de.Sent && de.Cut})
	j.mayHaveRun = j.mayHaveRun || de.Sent
	switch {
	case de.Fenced:
		return attemptResult{shardLost: true}
	case !de.Sent:
		ref := hgcall.NewRefusal(hgcall.KindNotRun, hgcall.ReasonEndpointUnavailable, notRunRetryAfter, "no connection to an endpoint for %q", j.c.Target)
		e := j.abandonIfMayHaveRun(notRun(hgcall.ReasonEndpointUnavailable, ref))
		e.exclude, e.unsent = g.Endpoint, true
		return e
	case j.c.Repeatable() && ctx.Err() != nil:
		return attemptResult{result: hgcall.Result{State: hgcall.Failed, Reason: hgcall.ReasonDeadline}}
	case j.c.Repeatable():
		return attemptResult{abandon: true, exclude: g.Endpoint}
	}
	return j.queryOutcome(ep)
}

// queryOutcome asks the endpoint for the outcome of a dispatched call that may not run twice.
func (j *job) queryOutcome(ep hgendpoint.Endpoint) attemptResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	out, err := ep.Outcome(ctx, j.c.Request, j.fence())
	if err == nil && out.State == hgendpoint.OutcomeEnded {
		return attemptResult{result: toolResult(out.Result)}
	}
	return attemptResult{result: hgcall.Result{State: hgcall.Unknown, Reason: hgcall.ReasonOutcomeLost}}
}

// isAlive reports whether an endpoint answers a status request.
func isAlive(ep hgendpoint.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := ep.Status(ctx)
	return err == nil
}

// quarantineVerdict returns how a request with the digest may run: freely, isolated or not at all.
func (o *Owner) quarantineVerdict(digest string) hgquarantine.Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.quarantine.Check(digest)
}

// endpointDied records that an endpoint died while it ran a request, tells the peers, and drops the records of the prefixes that
// the endpoint held.
func (o *Owner) endpointDied(digest, endpoint string, alone bool) {
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

// requestSucceeded clears a suspect request that an endpoint has run to completion, and tells the peers.
func (o *Owner) requestSucceeded(digest string) {
	o.mu.Lock()
	s, ok := o.quarantine.Finished(digest, o.now())
	o.mu.Unlock()
	if ok {
		o.cfg.Sharer.Share(s)
	}
}

// allowRetry takes one retry from the retry budget; it returns false if none is left.
func (o *Owner) allowRetry() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.retries.Allow(o.now())
}

// sendOrders sends retention orders to endpoints in the background, under the shard's epoch.
func (o *Owner) sendOrders(s *shard, epoch uint64, orders []hgretain.Order) {
	for _, d := range orders {
		ep := o.cfg.Endpoints[d.Endpoint]
		if ep == nil {
			continue
		}
		o.cfg.Log.Info("sending retention order", "program", d.Program, "endpoint", d.Endpoint, "action", d.Action, "reason", d.Reason)
		o.wg.Go(func() {
			ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
			defer cancel()
			f := hgendpoint.Fence{Shard: s.number, Epoch: epoch}
			if err := ep.Order(ctx, hgendpoint.Order{Program: d.Program, Action: d.Action, Fence: f}); err != nil {
				o.cfg.Log.Warn("retention order failed", "program", d.Program, "endpoint", d.Endpoint, "err", err)
			}
		})
	}
}

// orderTimeout bounds one retention order to an endpoint, and the deletion of an isolation row.
const orderTimeout = 2 * time.Second
