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

// job is one call in progress; it goes on when its caller is gone.
type job struct {
	o      *Owner
	s      *shard
	c      hgcall.Call
	stream bool
	epoch  uint64
	intent uint64
	plan   hgprogram.Run
	began  time.Duration
	// intended is when the intent was given to the journal.
	intended time.Duration
	// mayHaveRun says that an earlier dispatch may have run, so that the call can no longer be refused as not run.
	mayHaveRun bool
	// alone says that the call runs on an endpoint that runs nothing else of this node, and no other suspect.
	alone bool
	// proven says that an endpoint has begun to answer the dispatch.
	proven bool
	// entries counts the turns asked for.
	entries int
	times   Times

	mu      sync.Mutex
	pieces  []string
	ended   bool
	result  hgcall.Result
	err     error
	changed chan struct{}
}

func newJob(o *Owner, s *shard, b begun, c hgcall.Call, stream bool) *job {
	now := o.now()
	plan := b.decision.(hgprogram.Run)
	return &job{
		o: o, s: s, c: c, stream: stream, epoch: b.epoch, intent: b.n, plan: plan, began: now, intended: now, changed: make(chan struct{}),
	}
}

// follow passes pieces to out until the job ends or the caller is gone.
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

// run executes the call to its end.
func (j *job) run() {
	ctx, cancel := context.WithTimeout(j.o.ctx, j.c.Deadline-min(answerMargin, j.c.Deadline/10))
	defer cancel()
	e := j.execute(ctx)
	r, err := j.settle(e)
	j.times.Total = j.o.now() - j.began
	j.o.recordCall(j.c, r, j.times)
	j.change(func() { j.ended, j.result, j.err = true, r, err })
	j.s.mu.Lock()
	defer j.s.mu.Unlock()
	j.s.running--
	j.s.notify()
}

// ending is how an attempt ended.
type ending struct {
	// result is to be recorded, unless abandon or lost.
	result hgcall.Result
	// refusal is the caller's answer in place of the result.
	refusal *hgcall.Refusal
	// abandon says that an idempotent call was dispatched without a result and may run again.
	abandon bool
	// unsent says that the attempt reached no endpoint.
	unsent bool
	// lost says that the shard has another owner.
	lost bool
	// exclude names the endpoint that failed, if the call may be tried elsewhere: it was abandoned, or never sent.
	exclude string
}

func notRun(reason hgcall.Reason, ref *hgcall.Refusal) ending {
	return ending{result: hgcall.Result{State: hgcall.NotRun, Reason: reason}, refusal: ref}
}

// maxUnsent is the number of attempts at endpoints that took no connection.
const maxUnsent = 4

// execute attempts the call until it has an ending that is not tried again.
func (j *job) execute(ctx context.Context) ending {
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
		case !j.retry():
			return e
		}
		exclude = e.exclude
	}
}

// retry prepares one more dispatch of a call that was dispatched and abandoned; it is refused to calls whose pieces
// were passed on, and without retry budget.
func (j *job) retry() bool {
	if j.passedOn() || !j.o.allowRetry() {
		return false
	}
	j.o.cfg.Recorder.Retried()
	return j.reopen()
}

func (j *job) passedOn() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.stream && len(j.pieces) > 0
}

// reopen abandons the dispatched call and begins it anew, with a reservation of its own.
func (j *job) reopen() (ok bool) {
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
	j.intent = n
	j.intended = j.o.now()
	return ok && err == nil
}

// attempt dispatches the call at most once.
func (j *job) attempt(ctx context.Context, exclude string) ending {
	durable := make(chan error, 1)
	go func() { durable <- j.o.confirm(ctx, j.s, j.epoch, j.intent) }()
	g, leave, err := j.place(ctx, exclude)
	if err != nil {
		ref := hgcall.AsRefusal(err)
		return j.unlessRan(notRun(ref.Reason, ref))
	}
	defer leave()
	waited := j.o.now()
	err = <-durable
	for err == nil && j.tooLate() {
		err = j.renew(ctx)
	}
	j.times.Commit += j.o.now() - waited
	if err != nil {
		j.o.cfg.Scheduler.Done(g, hgsched.Result{})
		return j.unowned(err)
	}
	return j.dispatch(ctx, g)
}

// unowned ends an attempt that could not prove in time that the shard is owned.
func (j *job) unowned(err error) ending {
	var other *NotOwner
	if errors.As(err, &other) {
		return ending{lost: true}
	}
	return j.unlessRan(notRun(hgcall.ReasonStore, errSlow))
}

// unlessRan turns a notRun ending of a call that may have run before into an abandoned one.
func (j *job) unlessRan(e ending) ending {
	if !j.mayHaveRun {
		return e
	}
	if e.result.Reason == hgcall.ReasonQuarantined {
		return ending{result: hgcall.Result{State: hgcall.Failed, Reason: hgcall.ReasonQuarantined}}
	}
	return ending{abandon: true, refusal: e.refusal}
}

// tooLate tells whether the time in which the intent may be dispatched has passed: another owner may have taken the shard.
func (j *job) tooLate() bool {
	return j.o.now()-j.intended >= j.o.cfg.Limits.DispatchWindow
}

// renew proves anew that the shard is owned.
func (j *job) renew(ctx context.Context) (err error) {
	intended := j.o.now()
	n, err := j.s.update(j.o.cfg.Journal, j.epoch, func(st *hgprogram.Shard, _ *hgretain.Keeper) []hgprogram.Record {
		return st.Renew(j.c.Program, j.c.Request, intended)
	})
	if err != nil {
		return err
	}
	j.intended = intended
	return j.o.confirm(ctx, j.s, j.epoch, n)
}

// answerMargin is the time before the deadline at which a call is given up, so that its final answer is in time.
const answerMargin = 500 * time.Millisecond

// settle records the ending and returns the caller's answer once the record is durable.
func (j *job) settle(e ending) (r hgcall.Result, err error) {
	if e.lost {
		return r, &NotOwner{Shard: j.s.no}
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
		ref := hgcall.NewRefusal(hgcall.KindUnavailable, hgcall.ReasonEndpointFail, retryOutOfOrder, "the call's endpoint failed; ask again under the same identifier")
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
	return settled(e.result)
}

// dispatch sends the call on the granted place.
func (j *job) dispatch(ctx context.Context, g hgsched.Grant) ending {
	start := j.o.now()
	ep := j.o.cfg.Endpoints[g.Endpoint]
	var e ending
	if j.c.Kind == hgcall.Model {
		e = j.chat(ctx, ep, g)
	} else {
		e = j.tool(ctx, ep, g)
	}
	j.times.Endpoint += j.o.now() - start
	return e
}

// fence returns the fencing number under which the call is dispatched.
func (j *job) fence() hgendpoint.Fence { return hgendpoint.Fence{Shard: j.s.no, Epoch: j.epoch} }
