package hgledger

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"hyssopgrade/internal/state/hgreach"
)

// Backup gives a ledger access to its peers, which hold copies of its claims while it cannot write them to the store.
type Backup interface {
	// Ask asks all peers whether they hold a share of a program's budget, and counts their answers.
	Ask(ctx context.Context, q SoleRequest) Answers
	// RowsMayBeStale reports whether this node or a peer has recently been without the store or has unsaved claims.
	RowsMayBeStale() bool
	// LacksMajority reports whether this node hears no majority of all nodes, so that the others may take it for dead.
	LacksMajority() bool
	// Copy sends a copy of a claim to peers and returns how many of them hold it.
	Copy(ctx context.Context, c Copy) (copies int)
}

// SoleRequest asks a peer whether it knows of any claim on a program's budget. Peers exchange it with encoding/gob
// under its Go field names.
type SoleRequest struct {
	Program string
	// Ledger is the ledger that asks.
	Ledger string
	// New is set if the asking ledger takes the program for new: the peer then replies Sole only if it does not know of
	// the program at all.
	New bool
	// Excess announces that the asking ledger may exceed the budget on the unused shares of others: from now on the program is known.
	Excess bool
}

// SoleReply is the answer to a SoleRequest. Peers exchange it with encoding/gob under its Go field names.
type SoleReply struct {
	// Ledger is the ledger that answers.
	Ledger string
	// Sole is set if the peer knows of no claims on the budget.
	Sole bool
	// Uninformed is set if the peer has not read the watched tables since it started, so that it may have forgotten the program.
	Uninformed bool
	// Asked are the ledgers to which the peer has replied Sole for a new program.
	Asked []string
	// Taken maps ledgers to the claims that the peer knows of, in tokens.
	Taken map[string]int
}

// Answers summarizes the answers of all peers to a SoleRequest.
type Answers struct {
	// Sole counts the peers that replied with Sole, Holding those that replied without, and Unanswered those that did not
	// answer. Uninformed counts those that replied with Sole but may have forgotten the program.
	Sole, Holding, Unanswered, Uninformed int
	// Ledgers are the ledgers that answered, and Asked those that any of them has told before that it does not know of the program.
	Ledgers, Asked []string
	// Minority is set if the peers that answered, with this node, are no majority of all nodes.
	Minority bool
	// Taken maps ledgers to the largest claim that any peer knows of, in tokens.
	Taken map[string]int
}

// Add adds the reply of one peer.
func (a *Answers) Add(r SoleReply) {
	a.Ledgers, a.Asked = append(a.Ledgers, r.Ledger), append(a.Asked, r.Asked...)
	switch {
	case r.Sole && r.Uninformed:
		a.Uninformed++
	case r.Sole:
		a.Sole++
	default:
		a.Holding++
		a.Taken = maxClaims(a.Taken, r.Taken)
	}
}

// maxClaims merges two maps of claims by ledger and keeps the larger claim of each ledger.
func maxClaims(a, b map[string]int) map[string]int {
	all := lo.Assign(a)
	for ledger, claim := range b {
		all[ledger] = max(all[ledger], claim)
	}
	return all
}

// Copy is a copy of a ledger's claim on a program's budget that is not in a durable row. Peers exchange it with
// encoding/gob under its Go field names.
type Copy struct {
	Program, Ledger string
	Taken           int
	// ClaimsLost is set if a claim that yet another ledger made without the row may have been lost.
	ClaimsLost bool
}

// peerTimeout bounds requests to peers. The latency between peers is half a millisecond.
const peerTimeout = 150 * time.Millisecond

// minReservation is the smallest number of tokens that reserveOffline reserves for a turn whose maximum is not smaller.
// A turn with fewer tokens is not worth running if the caller gives no estimate. An estimate raises the bound only.
const minReservation = 100

// offlineNeed returns the number of tokens to reserve for a turn without the store: the expected ones if the reservation can
// be extended, so that turns that run at the same time fit into the share, and the maximum otherwise.
func (q OpenRequest) offlineNeed() int {
	if q.Extendable && !q.Whole {
		return min(q.Most, max(q.Estimate, minReservation))
	}
	return q.Most
}

// leastReservation returns the number of tokens below which a turn is not granted without the store.
func (q OpenRequest) leastReservation() int {
	switch {
	case q.Whole:
		return q.Most
	case q.Extendable:
		return min(q.Most, minReservation)
	}
	return min(q.Most, max(q.Estimate, minReservation))
}

// reserveOffline reserves tokens for a turn while the store, or the program's partition of it, is unreachable, and
// returns their number. It uses the share that this ledger has claimed before.
//
// For a new program of which no other node holds a share, the maximum of one turn is claimed without a durable row,
// once. Peers hold copies of that claim and write them when the store is reachable again, even if this ledger has died.
// If all copies are lost as well, the budget is exceeded by no more than that one turn.
func (l *Ledger) reserveOffline(ctx context.Context, p *program, q OpenRequest, isNew bool) (reserved int, v Verdict) {
	if p.account.Closed {
		return 0, Spent
	}
	a := p.account
	if a.Mine == 0 && a.Others == 0 && !q.KnownOnly && q.Most <= q.Budget && l.isSoleHolder(ctx, p, isNew) {
		a.Mine = q.Most
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		copies := l.backup.Copy(ctx, Copy{Program: p.id, Ledger: l.id, Taken: a.Mine, ClaimsLost: p.claimsLost})
		if copies == 0 {
			return 0, Outage
		}
		l.setUnsaved(p, true)
		l.log.Info("budget claimed without a durable row", "program", p.id, "attempt", q.Attempt, "taken", a.Mine, "copies", copies)
	}
	if l.reach() != hgreach.Unreachable && !p.holdsWhole(q) {
		q.Whole = true
	}
	available := a.Available()
	if q.Whole {
		available -= p.shortfall(q.Attempt)
	}
	if reserved = min(q.offlineNeed(), available); reserved < q.leastReservation() {
		return 0, Outage
	}
	a.Open += reserved
	p.account = a
	return reserved, Granted
}

// holdsWhole reports whether the budget, as far as this ledger knows, holds the maximum of a turn beside that of all open turns, so
// that a smaller reservation can be extended.
func (p *program) holdsWhole(q OpenRequest) bool {
	a := p.account
	return a.Others+a.Used+a.Open+p.shortfall(q.Attempt)+q.Most <= q.Budget
}

// isSoleHolder reports whether a program is new and all peers, at least one, have answered that they do not know of it, and whether no
// claim without a row may have been lost: it may be of one turn, as may the next one. Then no other node holds a share of its budget, and
// none claims one while the store is unreachable.
func (l *Ledger) isSoleHolder(ctx context.Context, p *program, isNew bool) bool {
	if l.backup == nil || !isNew {
		return false
	}
	a := l.askClaims(ctx, p, SoleRequest{New: true})
	lost := l.noteLostClaims(p, a)
	l.log.Info("peers asked for shares of the budget", "program", p.id, "without", a.Sole, "with", a.Holding, "silent", a.Unanswered,
		"uninformed", a.Uninformed, "lost", lost)
	return a.Sole > 0 && a.Holding == 0 && a.Unanswered == 0 && lost == 0
}

// holder returns the ledger with the largest share of a program's budget, other than this one, as far as the row and peers
// tell; it is empty if there is none.
func (l *Ledger) holder(ctx context.Context, p *program) (ledger string) {
	if l.backup == nil {
		return ""
	}
	if len(l.claims(p)) == 0 {
		l.askClaims(ctx, p, SoleRequest{})
	}
	most := 0
	for id, claim := range l.claims(p) {
		if id != l.id && claim > most {
			ledger, most = id, claim
		}
	}
	return ledger
}

// fetchUnsavedClaims asks peers for their claims on a program whose row this ledger does not know, if peers may hold
// claims from an outage of the store that they have not yet written.
func (l *Ledger) fetchUnsavedClaims(ctx context.Context, p *program) {
	if !p.rowKnown && l.backup != nil && l.backup.RowsMayBeStale() {
		l.askClaims(ctx, p, SoleRequest{})
	}
}

// askClaims asks peers for all claims on a program's budget that they know of. The question needs neither program nor ledger.
func (l *Ledger) askClaims(ctx context.Context, p *program, q SoleRequest) (a Answers) {
	q.Program, q.Ledger = p.id, l.id
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if a = l.backup.Ask(ctx, q); len(a.Taken) > 0 {
		l.mergeCopies(p, a.Taken)
	}
	return a
}

// mergeCopies keeps copies of the claims of other ledgers until the row records them.
func (l *Ledger) mergeCopies(p *program, claims map[string]int) {
	p.copiedAt = l.timer.Now()
	p.copies = maxClaims(p.copies, claims)
	l.reload(p, p.row, p.version, p.rowKnown)
}

// Unsaved reports whether this ledger holds claims that are not in a durable row.
func (l *Ledger) Unsaved() bool { return l.unsaved.Load() > 0 }

// setUnsaved sets whether this ledger has claimed more of the program's budget than the row records.
func (l *Ledger) setUnsaved(p *program, unsaved bool) {
	switch {
	case unsaved && !p.unsaved:
		l.unsaved.Add(1)
	case !unsaved && p.unsaved:
		l.unsaved.Add(-1)
	}
	p.unsaved = unsaved
}

// Share answers a peer's SoleRequest. If the program's lock is not free in time, the reply is not Sole.
func (l *Ledger) Share(ctx context.Context, q SoleRequest) (r SoleReply) {
	r.Ledger, r.Uninformed, r.Asked = l.id, !l.informed(), l.asks.of(q.Program)
	if q.Excess {
		l.AddKnownPrograms([]uint64{hash(q.Program)}, false)
	}
	if p, ok := l.find(q.Program); ok {
		if !p.lock(ctx) {
			return r
		}
		defer p.unlock()
		if r.Taken = l.claims(p); p.account.Mine > 0 {
			r.Taken[l.id] = p.account.Mine
		}
	}
	r.Sole = len(r.Taken) == 0 && (!q.New || !l.known.contains(q.Program))
	if r.Sole && q.New {
		l.asks.add(q.Program, q.Ledger, l.timer.Now())
	}
	return r
}

// TakeCopy keeps a copy of a peer's claim until the row records it. It returns false if the program's lock is not free
// in time.
func (l *Ledger) TakeCopy(ctx context.Context, c Copy) (ok bool) {
	p := l.program(c.Program)
	if !p.lock(ctx) {
		return false
	}
	defer p.unlock()
	p.lastUsed = l.timer.Now()
	p.claimsLost = p.claimsLost || c.ClaimsLost
	l.mergeCopies(p, map[string]int{c.Ledger: c.Taken})
	l.known.add(c.Program, p.lastUsed)
	return true
}

// copyGrace is how long the holder of a copy leaves it to the claiming ledger to write the row.
const copyGrace = 2 * time.Second

const (
	// saveTimeout bounds saving the claims on one program while the store answers as usual, as the program's turns wait for
	// the lock meanwhile.
	saveTimeout = 100 * time.Millisecond
	// saveIdle is how long a program must not have been used before its claims are saved in a slow store.
	saveIdle = time.Second
)

// SaveClaims writes claims that were made while the store was unreachable or slow: those of this ledger, and copies of claims
// that peers have not written within copyGrace. While the store answers as usual, it also returns what the kept turns of idle programs
// have left of their claims. It returns the numbers of programs that were written and that failed.
func (l *Ledger) SaveClaims(ctx context.Context) (saved, left int) {
	return l.forEachProgram(func(p *program) (done bool, err error) {
		state := l.reach()
		if state == hgreach.Unreachable || l.committer.isUnreachable(p.partition()) {
			return false, nil
		}
		if !p.lock(ctx) {
			return false, ctx.Err()
		}
		defer p.unlock()
		if state == hgreach.Slow {
			if l.timer.Now()-p.lastUsed < saveIdle {
				return false, nil
			}
			return l.saveProgram(ctx, p)
		}
		limited, cancel := l.cancelAfter(ctx, saveTimeout)
		defer cancel()
		if saved, err := l.saveProgram(limited, p); saved || err != nil {
			return saved, err
		}
		return l.returnLeft(limited, p)
	})
}

// saveProgram writes the unsaved claims on one program; p is locked.
func (l *Ledger) saveProgram(ctx context.Context, p *program) (saved bool, err error) {
	due := len(p.copies) > 0 && l.timer.Now()-p.copiedAt > copyGrace
	if !p.unsaved && !due {
		return false, nil
	}
	if err := l.readAccount(ctx, p); err != nil {
		return false, err
	}
	missing := lo.PickBy(p.copies, func(ledger string, claim int) bool { return p.row.Taken[ledger] < claim })
	if len(missing) > 0 || p.account.Mine > p.row.Taken[l.id] {
		if written, err := l.writeAccount(ctx, p, p.account); err != nil || !written {
			return false, trace.CompareFailed("row of program %s changed: %v", p.id, err)
		}
	}
	l.setUnsaved(p, false)
	clear(p.copies)
	return true, nil
}
