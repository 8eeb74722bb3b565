package hgowner

import (
	"context"
	"errors"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgprogram"
	"hyssopgrade/hgretain"
)

// Sink takes the pieces of an answer as they come; a piece is no promise that the answer will be whole.
type Sink interface {
	// Piece passes generated text on; an error ends the passing on, not the call.
	Piece(text string) (err error)
}

// begun is what Begin decided under an epoch.
type begun struct {
	epoch    uint64
	n        uint64
	decision hgprogram.Decision
}

// Call runs a call, or answers it from the record, and returns its result once it is durable.
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
		return settled(d.Result)
	case hgprogram.Refuse:
		if len(d.Records) > 0 {
			if err := o.confirm(ctx, s, b.epoch, b.n); err != nil {
				return r, err
			}
		}
		return r, d.Refusal
	}
	j := newJob(o, s, b, c, out != nil)
	o.wg.Go(j.run)
	return j.follow(ctx, out)
}

// settled turns a recorded result without an answer into its refusal.
func settled(r hgcall.Result) (hgcall.Result, error) {
	switch r.State {
	case hgcall.NotRun:
		return r, hgcall.NewRefusal(hgcall.KindNotRun, r.Reason, retryNotRun, "the request was not run and will not be; send it under a new identifier")
	case hgcall.Unknown:
		return r, hgcall.NewRefusal(hgcall.KindUnknown, r.Reason, 0, "the request was dispatched and its outcome is not known; it will not run again")
	}
	return r, nil
}

// retryNotRun is when to come back with a new identifier.
const retryNotRun = time.Second

// begin asks the state machine until the call can be decided.
func (o *Owner) begin(ctx context.Context, s *shard, c hgcall.Call) (b begun, err error) {
	ctx, cancel := context.WithTimeout(ctx, min(o.cfg.Limits.Hold, c.Deadline))
	defer cancel()
	lim := o.limits()
	err = s.until(ctx, func() (bool, error) {
		if s.epoch == 0 {
			return false, &NotOwner{Shard: s.no}
		}
		if s.closing {
			return false, nil
		}
		b = o.decide(s, c, lim)
		_, wait := b.decision.(hgprogram.Wait)
		return !wait, nil
	})
	if errors.Is(err, context.DeadlineExceeded) {
		return b, hgcall.NewRefusal(hgcall.KindUnavailable, hgcall.ReasonOutOfOrder, retryOutOfOrder,
			"calls of program %q before %d have not ended", c.Program, c.Seq)
	}
	return b, err
}

// retryOutOfOrder is when to come back with a call whose predecessors have not ended.
const retryOutOfOrder = time.Second

// storeFailing is the time of failing commits after which new calls are refused at once.
const storeFailing = 300 * time.Millisecond

// errStore refuses new calls while the store fails.
var errStore = hgcall.NewRefusal(hgcall.KindUnavailable, hgcall.ReasonStore, 5*time.Second, "the platform's store is not reachable; ask again under the same identifier")

// decide runs Begin and appends its records; the caller holds the shard's lock.
func (o *Owner) decide(s *shard, c hgcall.Call, lim hgprogram.Limits) begun {
	if o.cfg.Journal.FailingFor() > storeFailing {
		d, ok := s.state.Known(c)
		if !ok {
			d = hgprogram.Refuse{Refusal: errStore}
		}
		return begun{epoch: s.epoch, decision: d}
	}
	d := s.state.Begin(c, lim, o.now())
	switch d := d.(type) {
	case hgprogram.Run:
		o.cfg.Journal.Append(s.no, s.epoch, d.Records)
		s.running++
		if c.Kind == hgcall.Model {
			s.keeper.Resumed(c.Program, o.now())
		}
		s.notify()
	case hgprogram.Refuse:
		o.cfg.Journal.Append(s.no, s.epoch, d.Records)
	}
	return begun{epoch: s.epoch, n: s.state.N(), decision: d}
}

// confirm waits for a record, but not longer than a caller should be kept without an answer.
func (o *Owner) confirm(ctx context.Context, s *shard, epoch, n uint64) (err error) {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.Limits.CommitWait)
	defer cancel()
	err = s.durable(ctx, epoch, n)
	if errors.Is(err, context.DeadlineExceeded) {
		return errSlow
	}
	return err
}

// End ends a program, once that is durable, and releases its engine memory.
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
	o.order(s, epoch, orders)
	return nil
}
