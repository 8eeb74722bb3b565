package hgowner

import (
	"context"
	"errors"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgprogram"
	"hyssopgrade/hgretain"
)

// Sink receives the pieces of an answer as the endpoint generates them; the answer may still break off after any piece.
type Sink interface {
	// Piece passes on generated text. After an error no more pieces are passed on; the call continues.
	Piece(text string) (err error)
}

// beginResult is the state machine's decision about a new call, the epoch under which it was taken, and the number of the shard's
// last record after it.
type beginResult struct {
	epoch      uint64
	lastRecord uint64
	decision   hgprogram.Decision
}

// Call runs a call, or answers a repeated one from its record, and returns the result once the record is durable.
// The error is a *NotOwner or a *hgcall.Refusal.
func (o *Owner) Call(ctx context.Context, c hgcall.Call, out Sink) (r hgcall.Result, err error) {
	if err := c.Check(); err != nil {
		return r, err
	}
	if !o.cfg.Scheduler.Serves(c.Service()) {
		return r, hgcall.Invalid("target", "no endpoint serves %q", c.Target)
	}
	s := o.shardOf(c.Program)
	b, err := o.begin(ctx, s, c)
	if err != nil {
		return r, err
	}
	switch d := b.decision.(type) {
	case hgprogram.Answer:
		if err := o.confirm(ctx, s, b.epoch, d.N); err != nil {
			return r, err
		}
		return resultOrRefusal(d.Result)
	case hgprogram.Refuse:
		if len(d.Records) > 0 {
			if err := o.confirm(ctx, s, b.epoch, b.lastRecord); err != nil {
				return r, err
			}
		}
		return r, d.Refusal
	}
	j := newJob(o, s, b, c, out != nil)
	o.wg.Go(j.run)
	return j.follow(ctx, out)
}

// resultOrRefusal returns a recorded result, and a refusal if the result holds no answer of an endpoint.
func resultOrRefusal(r hgcall.Result) (hgcall.Result, error) {
	switch r.State {
	case hgcall.NotRun:
		return r, hgcall.NewRefusal(hgcall.KindNotRun, r.Reason, notRunRetryAfter, "the request was not run and will not be; send it under a new identifier")
	case hgcall.Unknown:
		return r, hgcall.NewRefusal(hgcall.KindUnknown, r.Reason, 0, "the request was dispatched and its outcome is not known; it will not run again")
	}
	return r, nil
}

// notRunRetryAfter is the time after which a caller should send a call that was not run again, under a new identifier.
const notRunRetryAfter = time.Second

// begin waits until the state machine can decide about the call: until the program's earlier calls have ended, at most Limits.Hold.
func (o *Owner) begin(ctx context.Context, s *shard, c hgcall.Call) (b beginResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, min(o.cfg.Limits.Hold, c.Deadline))
	defer cancel()
	lim := o.limits()
	err = s.waitUntil(ctx, func() (bool, error) {
		if s.epoch == 0 {
			return false, &NotOwner{Shard: s.number}
		}
		if s.closing {
			return false, nil
		}
		b = o.decide(s, c, lim)
		_, wait := b.decision.(hgprogram.Wait)
		return !wait, nil
	})
	if errors.Is(err, context.DeadlineExceeded) {
		return b, hgcall.NewRefusal(hgcall.KindUnavailable, hgcall.ReasonOutOfOrder, outOfOrderRetryAfter,
			"calls of program %q before %d have not ended", c.Program, c.Seq)
	}
	return b, err
}

// outOfOrderRetryAfter is the time after which a caller should repeat a call under the same identifier, if the program's earlier
// calls had not ended or the call's endpoint failed.
const outOfOrderRetryAfter = time.Second

// storeFailureLimit is how long commits may fail before new calls are refused at once.
const storeFailureLimit = 300 * time.Millisecond

// errStoreUnreachable refuses new calls while commits to the store fail.
var errStoreUnreachable = hgcall.NewRefusal(hgcall.KindUnavailable, hgcall.ReasonStore, 5*time.Second, "the platform's store is not reachable; ask again under the same identifier")

// decide passes the call to the state machine and queues the records of the decision; the caller holds the shard's lock. While
// commits fail, it answers only calls that are on record.
func (o *Owner) decide(s *shard, c hgcall.Call, lim hgprogram.Defaults) beginResult {
	if o.cfg.Journal.FailingFor() > storeFailureLimit {
		d, ok := s.state.DecideDuplicate(c)
		if !ok {
			d = hgprogram.Refuse{Refusal: errStoreUnreachable}
		}
		return beginResult{epoch: s.epoch, decision: d}
	}
	d := s.state.Begin(c, lim, o.now())
	switch d := d.(type) {
	case hgprogram.Run:
		o.cfg.Journal.Append(s.number, s.epoch, d.Records)
		s.running++
		if c.Kind == hgcall.Model {
			s.keeper.Resumed(c.Program, o.now())
		}
		s.notify()
	case hgprogram.Refuse:
		o.cfg.Journal.Append(s.number, s.epoch, d.Records)
	}
	return beginResult{epoch: s.epoch, lastRecord: s.state.N(), decision: d}
}

// confirm waits until a record is durable, at most Limits.CommitWait: a caller gets an answer within that time also when the store
// does not respond.
func (o *Owner) confirm(ctx context.Context, s *shard, epoch, n uint64) (err error) {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.Limits.CommitWait)
	defer cancel()
	err = s.waitDurable(ctx, epoch, n)
	if errors.Is(err, context.DeadlineExceeded) {
		return errCommitTimeout
	}
	return err
}

// End ends a program, waits until the record is durable, and releases the program's engine memory.
func (o *Owner) End(ctx context.Context, programID string) (err error) {
	if err := hgcall.CheckProgram(programID); err != nil {
		return err
	}
	s := o.shardOf(programID)
	epoch := s.heldEpoch()
	var orders []hgretain.Order
	found := false
	n, err := s.update(o.cfg.Journal, epoch, func(st *hgprogram.Shard, k *hgretain.Keeper) []hgprogram.Record {
		_, found = st.Summary(programID, o.now())
		orders = k.Ended(programID)
		return st.End(programID, o.now())
	})
	if err != nil {
		return err
	}
	if !found {
		return hgcall.Invalid("program", "%q does not exist", programID)
	}
	if err := o.confirm(ctx, s, epoch, n); err != nil {
		return err
	}
	o.sendOrders(s, epoch, orders)
	return nil
}
