package hgledger

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
)

// Backup is the peers of a ledger while it cannot write what it takes of budgets.
type Backup interface {
	// Ask returns how many peers have no part in a program, have one, and do not answer.
	Ask(ctx context.Context, q SoleRequest) Answers
	// Troubled says whether a peer has lately been without the store, or has taken tokens without a row.
	Troubled() bool
	// IsApart says whether this ledger hears no majority of all nodes, so that the others may hold it for gone.
	IsApart() bool
	// Copy returns how many peers hold a copy.
	Copy(ctx context.Context, c Copy) (copies int)
}

// SoleRequest asks a peer whether it has no part in a program; New demands that it has not heard of it either.
type SoleRequest struct {
	Program string
	New     bool
}

// SoleReply says whether a ledger has no part in a program, and what it knows to be taken of the budget, by ledger.
type SoleReply struct {
	Sole  bool
	Taken map[string]int
}

// Answers counts the answers of peers to a SoleRequest, and joins what they know to be taken.
type Answers struct {
	Sole, Part, None int
	Taken            map[string]int
}

// Add counts an answer.
func (a *Answers) Add(r SoleReply) {
	if r.Sole {
		a.Sole++
		return
	}
	a.Part++
	a.Taken = mostTaken(a.Taken, r.Taken)
}

// mostTaken joins two accounts of what ledgers have taken.
func mostTaken(a, b map[string]int) map[string]int {
	all := lo.Assign(a)
	for ledger, taken := range b {
		all[ledger] = max(all[ledger], taken)
	}
	return all
}

// Copy says what a ledger has taken of a program's budget without a durable row.
type Copy struct {
	Program, Ledger string
	Taken           int
}

// peerTime bounds the questions and copies to peers, which are half a millisecond away.
const peerTime = 150 * time.Millisecond

// minCap is the least length of a turn, in tokens, that is worth running when the caller gives no estimate.
const minCap = 100

// reserveOffline takes tokens of a budget while the store, or the program's part of it, is out of reach, and returns
// the most that the turn may hand out. What has been taken before is used. For a new program in which no other node has
// a part, one turn's most is taken without a row, once: if all copies of that are lost as well, callers have got no more
// than that beyond the budget. Peers hold copies, which they write when the store is back even if this ledger is gone.
func (l *Ledger) reserveOffline(ctx context.Context, p *program, q OpenRequest, isNew bool) (most int, v Verdict) {
	if p.account.Closed {
		return 0, Spent
	}
	a := p.account
	if a.Mine == 0 && a.Others == 0 && !q.KnownOnly && q.Most <= q.Budget && l.isSole(ctx, p, isNew) {
		a.Mine = q.Most
		ctx, cancel := context.WithTimeout(ctx, peerTime)
		defer cancel()
		copies := l.backup.Copy(ctx, Copy{Program: p.id, Ledger: l.id, Taken: a.Mine})
		if copies == 0 {
			return 0, Outage
		}
		l.markUnsaved(p, true)
		l.log.Info("taken without a row", "program", p.id, "attempt", q.Attempt, "taken", a.Mine, "copies", copies)
	}
	most = min(q.Most, a.Left())
	if most < min(q.Most, max(q.Estimate, minCap)) || q.Whole && most < q.Most {
		return 0, Outage
	}
	a.Open += most
	p.account = a
	return most, Granted
}

// isSole says whether no other node has a part in a program, and none takes one while the store is out of reach.
func (l *Ledger) isSole(ctx context.Context, p *program, isNew bool) bool {
	if l.backup == nil || !isNew {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	a := l.backup.Ask(ctx, SoleRequest{Program: p.id, New: true})
	l.log.Info("peers asked for a part", "program", p.id, "without", a.Sole, "with", a.Part, "silent", a.None)
	return a.Sole > 0 && a.Part == 0 && a.None == 0
}

// learnTaken asks peers what they have taken of a program of which this ledger knows no row, if they may not yet have
// written what they took while the store was out of reach.
func (l *Ledger) learnTaken(ctx context.Context, p *program) {
	if !p.known && l.backup != nil && l.backup.Troubled() {
		l.askTaken(ctx, p)
	}
}

// askTaken asks peers what they have taken of a program.
func (l *Ledger) askTaken(ctx context.Context, p *program) {
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	if a := l.backup.Ask(ctx, SoleRequest{Program: p.id}); len(a.Taken) > 0 {
		l.takeCopies(p, a.Taken)
	}
}

// takeCopies holds what other ledgers have taken until the row says as much.
func (l *Ledger) takeCopies(p *program, taken map[string]int) {
	p.copied = l.timer.Now()
	p.copies = mostTaken(p.copies, taken)
	l.reload(p, p.row, p.version, p.known)
}

// Unsaved says whether this ledger has taken tokens that no row tells of, or none in the program's own part.
func (l *Ledger) Unsaved() bool { return l.unsaved.Load() > 0 || l.bypassedLately() }

// markUnsaved sets whether a program's row tells less than was taken.
func (l *Ledger) markUnsaved(p *program, unsaved bool) {
	switch {
	case unsaved && !p.unsaved:
		l.unsaved.Add(1)
	case !unsaved && p.unsaved:
		l.unsaved.Add(-1)
	}
	p.unsaved = unsaved
}

// Part answers a peer's question about a program.
func (l *Ledger) Part(ctx context.Context, q SoleRequest) (r SoleReply) {
	p, ok := l.find(q.Program)
	if !ok {
		return SoleReply{Sole: !q.New || !l.seen.knows(q.Program)}
	}
	if !p.lock(ctx) {
		return r
	}
	defer p.unlock()
	if r.Taken = l.taken(p); p.account.Mine > 0 {
		r.Taken[l.id] = p.account.Mine
	}
	r.Sole = len(r.Taken) == 0 && (!q.New || !l.seen.knows(q.Program))
	return r
}

// TakeCopy holds a copy for a peer until the row says as much.
func (l *Ledger) TakeCopy(ctx context.Context, c Copy) (ok bool) {
	p := l.program(c.Program)
	if !p.lock(ctx) {
		return false
	}
	defer p.unlock()
	p.touched = l.timer.Now()
	l.takeCopies(p, map[string]int{c.Ledger: c.Taken})
	l.seen.note(c.Program, p.touched)
	return true
}

// copyAge is how long a copy waits for its ledger to write the row itself.
const copyAge = 2 * time.Second

// Save writes what was taken while the store was out of reach, by this ledger or by peers that have not done so.
func (l *Ledger) Save(ctx context.Context) (saved, left int) {
	return l.each(func(p *program) (done bool, err error) {
		if l.commit.isDown(p.at) {
			return false, nil
		}
		if !p.lock(ctx) {
			return false, ctx.Err()
		}
		defer p.unlock()
		return l.save(ctx, p)
	})
}

func (l *Ledger) save(ctx context.Context, p *program) (saved bool, err error) {
	due := len(p.copies) > 0 && l.timer.Now()-p.copied > copyAge
	if !p.unsaved && !due {
		return false, nil
	}
	if err := l.readAccount(ctx, p); err != nil {
		return false, err
	}
	missing := lo.PickBy(p.copies, func(ledger string, taken int) bool { return p.row.Taken[ledger] < taken })
	if len(missing) > 0 || p.account.Mine > p.row.Taken[l.id] {
		if written, err := l.writeAccount(ctx, p, p.account); err != nil || !written {
			return false, trace.CompareFailed("row of program %s changed: %v", p.id, err)
		}
	}
	l.markUnsaved(p, false)
	clear(p.copies)
	return true, nil
}
