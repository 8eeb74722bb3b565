package hgowner

import (
	"context"
	"errors"
	"sync"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgprogram"
	"hyssopgrade/hgretain"
	"hyssopgrade/internal/serve/hgendpoint"
	"hyssopgrade/internal/serve/hgsched"
)

// job is one call in progress; it continues after its caller has left.
type job struct {
	o *Owner
	s *shard
	c hgcall.Call
	// stream says that the caller gets the answer in pieces.
	stream bool
	epoch  uint64
	// intentRecord is the number of the intent's record, which has to be durable before the dispatch.
	intentRecord uint64
	plan         hgprogram.Run
	startedAt    time.Duration
	// intentAt is when the intent, or its last renewal, was given to the journal.
	intentAt time.Duration
	// mayHaveRun says that an earlier dispatch may have run, so that the call can no longer be refused as not run.
	mayHaveRun bool
	// alone says that the call is a suspect: it runs on an endpoint that runs nothing else of this node and no other suspect.
	alone bool
	// proven says that an endpoint has begun to answer the current dispatch.
	proven bool
	// turnAttempts counts the attempts to take the request's turn.
	turnAttempts int
	times        Times

	mu      sync.Mutex
	pieces  []string
	ended   bool
	result  hgcall.Result
	err     error
	changed chan struct{}
}

func newJob(o *Owner, s *shard, b beginResult, c hgcall.Call, stream bool) *job {
	now := o.now()
	plan := b.decision.(hgprogram.Run)
	return &job{
		o: o, s: s, c: c, stream: stream, epoch: b.epoch, intentRecord: b.lastRecord, plan: plan, startedAt: now, intentAt: now, changed: make(chan struct{}),
	}
}

// follow passes pieces to out until the job has ended or the caller has left.
func (j *job) follow(ctx context.Context, out Sink) (r hgcall.Result, err error) {
	sent := 0
	for {
		j.mu.Lock()
		pieces, ended, changed := j.pieces[sent:], j.ended, j.changed
		j.mu.Unlock()
		for _, p := range pieces {
			sent++
			if out == nil || out.Piece(p) != nil {
				out = nil
			}
		}
		if ended {
			return j.result, j.err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return r, hgcall.AsRefusal(ctx.Err())
		}
	}
}

func (j *job) change(fn func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fn()
	close(j.changed)
	j.changed = make(chan struct{})
}

// run executes the call, records its outcome and wakes the callers that follow it.
func (j *job) run() {
	ctx, cancel := context.WithTimeout(j.o.ctx, j.c.Deadline-min(answerMargin, j.c.Deadline/10))
	defer cancel()
	e := j.execute(ctx)
	r, err := j.finish(e)
	j.times.Total = j.o.now() - j.startedAt
	j.o.recordCall(j.c, r, j.times)
	j.change(func() { j.ended, j.result, j.err = true, r, err })
	j.s.mu.Lock()
	defer j.s.mu.Unlock()
	j.s.running--
	j.s.notify()
}

// attemptResult is how an attempt to run the call ended.
type attemptResult struct {
	// result is the outcome to record, unless abandon or shardLost is set.
	result hgcall.Result
	// refusal, if set, is the caller's answer in place of the result.
	refusal *hgcall.Refusal
	// abandon says that a repeatable call (hgcall.Call.Repeatable) was dispatched without a result and may run again.
	abandon bool
	// unsent says that the attempt reached no endpoint.
	unsent bool
	// shardLost says that the shard has another owner, which resolves the call.
	shardLost bool
	// exclude names the endpoint that failed. It is set only if the call may be tried on another endpoint: the call was abandoned
	// or never sent.
	exclude string
}

func notRun(reason hgcall.Reason, ref *hgcall.Refusal) attemptResult {
	return attemptResult{result: hgcall.Result{State: hgcall.NotRun, Reason: reason}, refusal: ref}
}

// maxUnsent is the number of attempts that reached no endpoint after which a call is given up.
const maxUnsent = 4

// execute attempts the call until the attempt's result is final, the deadline has passed, or no further attempt is allowed.
func (j *job) execute(ctx context.Context) attemptResult {
	exclude := ""
	for unsent := 0; ; {
		e := j.attempt(ctx, exclude)
		switch {
		case e.exclude == "" || ctx.Err() != nil:
			return e
		case e.unsent:
			if unsent++; unsent == maxUnsent {
				return e
			}
		case !j.prepareRetry():
			return e
		}
		exclude = e.exclude
	}
}

// prepareRetry begins a dispatched call again for one more dispatch. It returns false for a call whose pieces may have reached the
// caller, and when the retry budget is spent.
func (j *job) prepareRetry() bool {
	if j.hasStreamed() || !j.o.allowRetry() {
		return false
	}
	j.o.cfg.Recorder.Retried()
	return j.beginAgain()
}

func (j *job) hasStreamed() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stream && len(j.pieces) > 0
}

// beginAgain abandons the dispatched call and begins it again with a new reservation of tokens. The tokens reserved for the
// abandoned dispatch stay charged to the root program.
func (j *job) beginAgain() (ok bool) {
	lim := j.o.limits()
	n, err := j.s.update(j.o.cfg.Journal, j.epoch, func(st *hgprogram.Shard, _ *hgretain.Keeper) []hgprogram.Record {
		now := j.o.now()
		recs := st.Abandon(j.c.Program, j.c.Request, now)
		var run hgprogram.Run
		if run, ok = st.Begin(j.c, lim, now).(hgprogram.Run); ok {
			j.plan = run
			recs = append(recs, run.Records...)
		}
		return recs
	})
	j.intentRecord = n
	j.intentAt = j.o.now()
	return ok && err == nil
}

// attempt dispatches the call at most once. It waits for the commit of the intent and for a slot at the same time; the dispatch
// needs both.
func (j *job) attempt(ctx context.Context, exclude string) attemptResult {
	durable := make(chan error, 1)
	go func() { durable <- j.o.confirm(ctx, j.s, j.epoch, j.intentRecord) }()
	g, leave, err := j.place(ctx, exclude)
	if err != nil {
		ref := hgcall.AsRefusal(err)
		return j.abandonIfMayHaveRun(notRun(ref.Reason, ref))
	}
	defer leave()
	waited := j.o.now()
	err = <-durable
	for err == nil && j.dispatchWindowPassed() {
		err = j.renewIntent(ctx)
	}
	j.times.Commit += j.o.now() - waited
	if err != nil {
		j.o.cfg.Scheduler.Done(g, hgsched.Result{})
		return j.ownershipUnconfirmed(err)
	}
	return j.dispatch(ctx, g)
}

// ownershipUnconfirmed returns the result of an attempt whose intent was not durable in time, so that the node could not confirm
// that it still owns the shard.
func (j *job) ownershipUnconfirmed(err error) attemptResult {
	var other *NotOwner
	if errors.As(err, &other) {
		return attemptResult{shardLost: true}
	}
	return j.abandonIfMayHaveRun(notRun(hgcall.ReasonStore, errCommitTimeout))
}

// abandonIfMayHaveRun returns e if no earlier dispatch may have run. Otherwise the call cannot be reported as not run: it is
// abandoned, or failed if it is quarantined.
func (j *job) abandonIfMayHaveRun(e attemptResult) attemptResult {
	if !j.mayHaveRun {
		return e
	}
	if e.result.Reason == hgcall.ReasonQuarantined {
		return attemptResult{result: hgcall.Result{State: hgcall.Failed, Reason: hgcall.ReasonQuarantined}}
	}
	return attemptResult{abandon: true, refusal: e.refusal}
}

// dispatchWindowPassed reports whether the intent is too old for a dispatch: another owner may have taken the shard since.
func (j *job) dispatchWindowPassed() bool {
	return j.o.now()-j.intentAt >= j.o.cfg.Limits.DispatchWindow
}

// renewIntent commits a new record for the call, which confirms that the node still owns the shard and restarts the dispatch window.
func (j *job) renewIntent(ctx context.Context) (err error) {
	intended := j.o.now()
	n, err := j.s.update(j.o.cfg.Journal, j.epoch, func(st *hgprogram.Shard, _ *hgretain.Keeper) []hgprogram.Record {
		return st.Renew(j.c.Program, j.c.Request, intended)
	})
	if err != nil {
		return err
	}
	j.intentAt = intended
	return j.o.confirm(ctx, j.s, j.epoch, n)
}

// answerMargin is how long before its deadline a call is given up, so that the final answer reaches the caller in time.
const answerMargin = 500 * time.Millisecond

// finish records the result of the last attempt and returns the caller's answer once the record is durable. An abandoned call is
// answered without waiting for its record.
func (j *job) finish(e attemptResult) (r hgcall.Result, err error) {
	if e.shardLost {
		return r, &NotOwner{Shard: j.s.number}
	}
	n, err := j.s.update(j.o.cfg.Journal, j.epoch, func(st *hgprogram.Shard, _ *hgretain.Keeper) []hgprogram.Record {
		if e.abandon {
			return st.Abandon(j.c.Program, j.c.Request, j.o.now())
		}
		return st.Finish(j.c.Program, j.c.Request, e.result, j.o.now())
	})
	if err != nil {
		return r, err
	}
	if e.abandon {
		ref := hgcall.NewRefusal(hgcall.KindUnavailable, hgcall.ReasonEndpointFailed, outOfOrderRetryAfter, "the call's endpoint failed; ask again under the same identifier")
		if e.refusal != nil {
			ref.Reason, ref.Detail = e.refusal.Reason, e.refusal.Detail
		}
		return hgcall.Result{State: hgcall.Unknown, Reason: ref.Reason}, ref
	}
	start := j.o.now()
	err = j.o.confirm(j.o.ctx, j.s, j.epoch, n)
	j.times.Commit += j.o.now() - start
	if err != nil {
		return e.result, err
	}
	if e.refusal != nil {
		return e.result, e.refusal
	}
	return resultOrRefusal(e.result)
}

// dispatch sends the call to the endpoint of the granted slot.
func (j *job) dispatch(ctx context.Context, g hgsched.Grant) attemptResult {
	start := j.o.now()
	ep := j.o.cfg.Endpoints[g.Endpoint]
	var e attemptResult
	if j.c.Kind == hgcall.Model {
		e = j.callModel(ctx, ep, g)
	} else {
		e = j.callTool(ctx, ep, g)
	}
	j.times.Endpoint += j.o.now() - start
	return e
}

// fence returns the fencing number under which the call is dispatched.
func (j *job) fence() hgendpoint.Fence { return hgendpoint.Fence{Shard: j.s.number, Epoch: j.epoch} }
