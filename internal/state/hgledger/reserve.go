package hgledger

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"hyssopgrade/internal/state/hgaccount"
	"hyssopgrade/internal/state/hgreach"
)

const (
	// reserveTimeout bounds a reservation through the store. After it the program's partition of the store counts as
	// unreachable for this turn. It is longer than a write takes in a slow store.
	reserveTimeout = 800 * time.Millisecond
	// hedgeDelay is the wait for the store after which a turn is granted without it, if possible. A write usually takes 5 to
	// 10 ms.
	hedgeDelay = 50 * time.Millisecond
	// extendTimeout bounds the extension of a reservation through the store. The turn has a few more events to deliver
	// meanwhile, and a pause in its stream is better than its end.
	extendTimeout = 800 * time.Millisecond
	// reachCheckPeriod is the time between two looks at the state of the store while a turn waits for it.
	reachCheckPeriod = 50 * time.Millisecond
)

// reserve reserves tokens for a turn and returns their number. The reservation goes through the program's row if its
// partition of the store is reachable. In a slow store the turn does not wait for the row if it can be granted without.
func (l *Ledger) reserve(ctx context.Context, p *program, q OpenRequest, isNew bool) (reserved int, v Verdict, err error) {
	if q.Offline || l.isUnreachable(p) {
		reserved, v = l.reserveOffline(ctx, p, q, isNew)
		return reserved, v, nil
	}
	l.fetchUnsavedClaims(ctx, p)
	if v, err = l.reserveOnlineWithin(ctx, p, q, l.hedgeDelay()); v != Undecided || ctx.Err() != nil {
		return q.Most, v, err
	}
	if reserved, v = l.reserveOffline(ctx, p, q, isNew); v == Granted {
		return reserved, Granted, nil
	}
	if !q.Here && l.needsHolder(p, q) && l.holder(ctx, p) != "" {
		return 0, Outage, nil
	}
	if v, err = l.reserveOnlineWithin(ctx, p, q, reserveTimeout); v != Undecided || ctx.Err() != nil {
		return q.Most, v, err
	}
	reserved, v = l.reserveOffline(ctx, p, q, isNew)
	if v == Granted || l.reach() == hgreach.Unreachable {
		return reserved, v, nil
	}
	return 0, Undecided, err
}

// needsHolder reports whether another ledger, which holds a share of the budget, may be able to grant a turn that this one
// cannot grant without the store.
func (l *Ledger) needsHolder(p *program, q OpenRequest) bool {
	return !q.KnownOnly && p.account.Mine == 0
}

// isUnreachable reports whether the program's partition of the store is unreachable.
func (l *Ledger) isUnreachable(p *program) bool {
	return l.reach() == hgreach.Unreachable || l.committer.isUnreachable(p.partition())
}

// hedgeDelay returns how long a turn waits for the store before it is granted without, if possible. A write that is in flight
// then may still be applied; the row records no less than what peers hold.
func (l *Ledger) hedgeDelay() time.Duration {
	if l.reach() != hgreach.Reachable {
		return 0
	}
	return hedgeDelay
}

// cancelAfter returns a context that is cancelled after a limit. Unlike the end of a deadline, that does not count as a failure
// of the store.
func (l *Ledger) cancelAfter(ctx context.Context, limit time.Duration) (limited context.Context, cancel context.CancelFunc) {
	limited, end := context.WithCancel(ctx)
	stop := l.timer.After(limit, func(time.Duration) { end() })
	return limited, func() {
		stop()
		end()
	}
}

// reserveOnlineWithin is reserveOnline with a limit to its duration; it also ends when the store turns out to be unreachable.
func (l *Ledger) reserveOnlineWithin(ctx context.Context, p *program, q OpenRequest, limit time.Duration) (v Verdict, err error) {
	if limit <= 0 {
		return Undecided, trace.ConnectionProblem(nil, "store is slow")
	}
	ctx, cancel := l.cancelAfter(ctx, limit)
	defer cancel()
	l.cancelIfUnreachable(ctx, cancel)
	return l.reserveOnline(ctx, p, claim{attempt: q.Attempt, budget: q.Budget, tokens: q.Most, kept: q.Kept})
}

// cancelIfUnreachable calls cancel when the store turns out to be unreachable before the context ends.
func (l *Ledger) cancelIfUnreachable(ctx context.Context, cancel context.CancelFunc) {
	l.timer.After(reachCheckPeriod, func(time.Duration) {
		switch {
		case ctx.Err() != nil:
		case l.reach() == hgreach.Unreachable:
			cancel()
		default:
			l.cancelIfUnreachable(ctx, cancel)
		}
	})
}

// touchAfter is the age of this ledger's last write of a program's row after which a turn writes it again, so that ledgers that served
// the program before do not delete its rows: they do so minutes after their last turn, if the row has not changed.
const touchAfter = 30 * time.Second

// isWriteDue reports whether a turn has to write the row although this ledger's share holds it.
func (l *Ledger) isWriteDue(p *program) bool { return l.timer.Now()-p.writtenAt > touchAfter }

// recheckAfter is the age of the last read after which the row is read again before a turn is refused because of the
// shares of other nodes.
const recheckAfter = 500 * time.Millisecond

// claim asks for tokens of a budget for an attempt.
type claim struct {
	attempt        string
	budget, tokens int
	// kept is set if the turn returns most of what it leaves when it ends. The claim is then small, as it is lost with a VM that is
	// killed before.
	kept bool
}

// grant decides on a claim, beside what other open turns may still need.
func (p *program) grant(c claim) hgaccount.Grant {
	held := p.shortfall(c.attempt)
	if !c.kept {
		return p.account.ReserveBeside(held, c.budget, c.tokens)
	}
	next := max(int(p.waiting.Load()), p.account.Ahead(held+c.tokens, c.budget, c.tokens))
	return p.account.ReserveOnly(held, next, c.budget, c.tokens)
}

// reserveOnline reserves tokens of the budget. It writes the row if this ledger's share is too small.
func (l *Ledger) reserveOnline(ctx context.Context, p *program, c claim) (v Verdict, err error) {
	for announced := false; ; {
		g := p.grant(c)
		mayOverrun := l.backup != nil && p.account.MayOverrun(g, c.budget)
		switch {
		case mayOverrun && l.backup.LacksMajority():
			return Undecided, errNoMajority()
		case mayOverrun && !announced:
			if err := l.announceExcess(ctx, p); err != nil {
				return Undecided, err
			}
			announced = true
		case g.Spent && l.mayBeStale(p):
			p.checkedAt = l.timer.Now()
			if err := l.readAccount(ctx, p); err != nil {
				p.rowKnown = false
				return Undecided, err
			}
		case g.Spent:
			l.closeAccount(ctx, p, c.budget, c.tokens)
			return Spent, nil
		case !g.NeedsWrite && !l.isWriteDue(p):
			p.account = g.Account
			return Granted, nil
		default:
			written, err := l.writeAccount(ctx, p, g.Account)
			if err != nil {
				return Undecided, err
			}
			if written {
				p.account.Open += c.tokens
				return Granted, nil
			}
		}
	}
}

func errNoMajority() error {
	return trace.LimitExceeded("no majority of the nodes is heard; other nodes may serve the program without a durable row")
}

// closeAccount records in the row that a budget is exhausted, once. If the write fails, other nodes find out by
// themselves.
func (l *Ledger) closeAccount(ctx context.Context, p *program, budget, maxTokens int) {
	if !p.account.IsExhausted(budget, maxTokens) {
		return
	}
	closed := p.account
	closed.Closed = true
	if _, err := l.writeAccount(ctx, p, closed); err != nil {
		l.log.Debug("exhausted account not closed", "program", p.id, "error", err)
	}
}

// mayBeStale reports whether the row has to be read again before a turn is refused, as other nodes may have returned
// unused tokens since.
func (l *Ledger) mayBeStale(p *program) bool {
	return !p.rowKnown || p.account.Others > 0 && l.timer.Now()-p.checkedAt > recheckAfter
}

// Extend adds tokens to the reservation of a turn, from this ledger's share of the budget or, while the store answers, from the
// rest of the budget. Without a holder the tokens are reserved in this ledger, whichever one has opened the turn.
func (l *Ledger) Extend(ctx context.Context, q ExtendRequest) (reply ExtendReply) {
	if q.Holder != l.id && q.Holder != "" {
		return ExtendReply{NotHolder: true}
	}
	p := l.program(q.Program)
	if q.Tokens <= 0 || !p.lock(ctx) {
		return reply
	}
	defer p.unlock()
	if _, open := p.reservations[q.Attempt]; !open && q.Holder == l.id {
		return reply
	}
	reply.Tokens = max(min(q.Tokens, p.account.Available()), 0)
	p.account.Open += reply.Tokens
	if rest := q.Tokens - reply.Tokens; rest > 0 && l.reach() != hgreach.Unreachable {
		l.fetchUnsavedClaims(ctx, p)
		ctx, cancel := l.cancelAfter(ctx, extendTimeout)
		defer cancel()
		if v, err := l.reserveOnline(ctx, p, claim{attempt: q.Attempt, budget: q.Budget, tokens: rest}); v == Granted {
			reply.Tokens += rest
		} else if err != nil {
			l.log.Debug("reservation not extended through the store", "program", p.id, "attempt", q.Attempt, "error", err)
		}
	}
	if reply.Tokens == 0 {
		return reply
	}
	p.lastUsed = l.timer.Now()
	l.known.add(q.Program, p.lastUsed)
	p.reservations[q.Attempt] += reply.Tokens
	p.shortfalls[q.Attempt] = max(p.shortfalls[q.Attempt]-reply.Tokens, 0)
	return reply
}
