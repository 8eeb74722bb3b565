package hgledger

import (
	"context"
	"time"

	"hyssopgrade/internal/state/hgreach"
)

const (
	// returnTimeout bounds the write of a program's row at the end of a turn, as other turns of the program wait for the lock
	// meanwhile. A write usually takes 5 to 10 ms.
	returnTimeout = 50 * time.Millisecond
	// returnLockTimeout bounds the wait for the program's lock before that write, which delays the turn's own rows. It is shorter than
	// a write, so that turns which end at the same time do not wait for each other: what they leave is returned with the next one.
	returnLockTimeout = 2 * time.Millisecond
	// returnIdle is how long a program must not have been used before its share is returned apart from a turn.
	returnIdle = 500 * time.Millisecond
)

// ReturnUnused reduces this ledger's shares of all budgets to what is used or reserved by open turns, so that other nodes can
// claim the rest and know that nothing more of them will be returned. Claims without a row are written too. It returns the numbers of
// rows written and of programs that failed.
func (l *Ledger) ReturnUnused(ctx context.Context) (returned, failed int) {
	return l.forEachProgram(func(p *program) (done bool, err error) { return l.returnUnused(ctx, p) })
}

func (l *Ledger) returnUnused(ctx context.Context, p *program) (returned bool, err error) {
	if !p.lock(ctx) {
		return false, ctx.Err()
	}
	defer p.unlock()
	for l.isReturnDue(p) {
		// The write may be applied even if no reply arrives, so the returned tokens must not be used from here on.
		p.account = p.account.ReturnUnused(p.shortfall(""))
		if returned, err := l.writeAccount(ctx, p, p.account); returned || err != nil {
			return returned, err
		}
		// The row had changed and was read again, with the share as it was.
	}
	return false, nil
}

// isReturnDue reports whether the row of a program claims more for this ledger than it needs, or lacks a claim, or does not say that the
// claim is settled.
func (l *Ledger) isReturnDue(p *program) bool {
	isUsedUp := p.isUsedUp(p.account) && p.rowKnown
	return p.unsaved || p.account.Available() > p.shortfall("") || isUsedUp && !p.row.Settled[l.id]
}

// settleBeside settles the tokens of a turn whose rows are about to be written, and returns the tokens that do not count yet and
// a change that adjusts this ledger's share, to be written beside those rows. There is no change, and nothing is
// settled, if the change could delay the rows.
func (l *Ledger) settleBeside(q CloseRequest) (used int, beside []change) {
	p := l.program(q.Program)
	ctx, cancel := context.WithTimeout(context.Background(), returnLockTimeout)
	defer cancel()
	if q.Holder != l.id || !p.lock(ctx) {
		return q.Used, nil
	}
	if _, open := p.reservations[q.Attempt]; !open || !l.canReturnBeside(p) {
		p.unlock()
		return q.Used, nil
	}
	p.settleTokens(q.Attempt, q.Used)
	w, ok := l.adjustShare(p)
	if !ok {
		p.unlock()
		return 0, nil
	}
	writeCtx, cancelWrite := context.WithTimeout(context.Background(), returnTimeout)
	w.change = w.change.within(writeCtx)
	go func() {
		defer cancelWrite()
		defer p.unlock()
		if err := l.finishWrite(p, w, w.change.wait()); err != nil {
			l.log.Debug("share not adjusted", "program", p.id, "error", err)
		}
	}()
	return 0, []change{w.change}
}

// canReturnBeside reports whether the program's row can be written in the transaction that keeps a turn, and soon.
func (l *Ledger) canReturnBeside(p *program) bool {
	return l.reach() == hgreach.Reachable && p.rowKnown && !p.unsaved && !p.account.Closed &&
		!l.committer.isUnreachable(p.partition())
}

// adjustShare returns the write that adjusts this ledger's share at the end of a kept turn, if one is due: the share is to hold what open
// turns may use and a small part of the rest, so that the next turns need no write.
func (l *Ledger) adjustShare(p *program) (w accountWrite, ok bool) {
	held := p.shortfall("")
	ahead := p.account.Ahead(held, p.lastKept.Budget, p.lastKept.Most)
	left := p.account.Available() - held
	if left <= ahead && (left >= p.lastKept.Most || ahead < p.lastKept.Most) {
		return w, false
	}
	adjusted := p.account.ClaimOnly(held, ahead, p.lastKept.Budget)
	// The write may be applied even if no reply arrives, so returned tokens must not be used from here on.
	p.account.Mine = min(p.account.Mine, adjusted.Mine)
	w, err := l.newAccountWrite(p, adjusted)
	if err != nil {
		l.log.Warn("share not adjusted", "program", p.id, "error", err)
	}
	return w, err == nil
}

// returnLeft returns what kept turns of an idle program could not return with their own writes: as the store was slow, the row had
// changed, or an opening was given up whose write was applied. The caller holds the lock of p.
func (l *Ledger) returnLeft(ctx context.Context, p *program) (returned bool, err error) {
	if p.lastKept.Most == 0 || p.unsaved || p.account.Closed || len(p.reservations) > 0 || l.timer.Now()-p.lastUsed < returnIdle {
		return false, nil
	}
	if !p.rowKnown {
		if err := l.readAccount(ctx, p); err != nil {
			return false, err
		}
	}
	for {
		ahead := p.account.Ahead(0, p.lastKept.Budget, p.lastKept.Most)
		if p.account.Available() <= ahead {
			return false, nil
		}
		p.account = p.account.ClaimOnly(0, ahead, p.lastKept.Budget)
		if returned, err := l.writeAccount(ctx, p, p.account); returned || err != nil {
			return returned, err
		}
		// The row had changed and was read again, with the share as it was.
	}
}
