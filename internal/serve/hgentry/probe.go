package hgentry

import (
	"context"
	"errors"
	"time"

	"hyssopgrade/internal/serve/hgsuspect"
)

// errLateProbe means that a replica that is suspected of hanging did not answer a probe in time.
var errLateProbe = errors.New("replica is suspected of hanging and did not answer in time")

// probe bounds the time to the first byte of a request to a replica that is suspected of hanging. A nil probe bounds nothing.
type probe struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

func newProbe(ctx context.Context, limit time.Duration) (*probe, context.Context) {
	p := &probe{}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	p.timer = time.AfterFunc(limit, func() { p.cancel(errLateProbe) })
	return p, p.ctx
}

// isLate reports whether the request failed because the time was over. After an answer there is no limit any more.
func (p *probe) isLate(err error) bool {
	if p == nil {
		return false
	}
	p.timer.Stop()
	return err != nil && errors.Is(context.Cause(p.ctx), errLateProbe)
}

func (p *probe) end() {
	if p != nil {
		p.timer.Stop()
		p.cancel(nil)
	}
}

// mayProbe reports whether the request may go to a replica that is suspected of hanging: it can be sent to another one after that.
func (x *exchange) mayProbe(lastEvent string) bool {
	return lastEvent == "" && x.route.Repeatable() && x.sent+1 < x.route.MaxAttempts && x.tries+1 < maxTries
}

// recordLateProbe records a probe without an answer, and returns the error of the try. It counts as a crash only if the replica
// turns out to have ended, and not as a failure of the replica, which is suspected already.
func (x *exchange) recordLateProbe(t *try) error {
	if !t.conn.wroteHeaders.Load() {
		return errors.Join(errNotSent, errLateProbe)
	}
	x.sent++
	t.lease.MarkLateProbe()
	r := x.digests.WithRun(hgsuspect.Run{Replica: t.lease.ID, Incarnation: t.lease.Born(), Began: t.began})
	x.entry.suspects.RecordUnanswered(r, t.lease.ID)
	return errors.Join(errAnswerLost, errNoHead, errLateProbe)
}
