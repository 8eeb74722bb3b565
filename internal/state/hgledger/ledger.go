package hgledger

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/state/hgturn"
)

// Verdict is the answer to the question whether a turn may run.
type Verdict string

// The verdicts.
const (
	// Granted turns may run.
	Granted Verdict = "granted"
	// Spent means that the budget does not hold the turn.
	Spent Verdict = "spent"
	// NoTurn means that the turn to continue certainly does not exist.
	NoTurn Verdict = "noTurn"
	// Unsure means that the store could not tell.
	Unsure Verdict = "unsure"
	// Outage means that no node reaches the store.
	Outage Verdict = "outage"
	// Busy means that the program is a new one and has to wait.
	Busy Verdict = "busy"
)

// OpenRequest asks whether a turn may run.
type OpenRequest struct {
	Program, Attempt string
	// Previous is the turn to continue, or empty.
	Previous string
	// Budget and Most are the program's budget and the turn's most, in tokens; without HasBudget neither counts.
	Budget, Most int
	HasBudget    bool
	// Estimate is the expected length of the turn, in tokens; 0 if it is not known.
	Estimate int
	// Prompt lists the parts of the prompt.
	Prompt []hgattempt.Part
	// Kept says that the turn is to be kept.
	Kept bool
	// NoNew says that the replicas are busy, so that only programs under way go on.
	NoNew bool
	// Offline says that no node reaches the store, so that only what is in memory counts.
	Offline bool
	// KnownOnly says that nothing is taken for a program that this ledger has taken nothing for before.
	KnownOnly bool
	// Whole says that less than Most is not worth having.
	Whole bool
}

// OpenReply is the decision on a turn.
type OpenReply struct {
	Verdict Verdict
	// Text is what was said in the turns that this one continues.
	Text []byte
	// Kept is the number of the prompt's tokens that a replica need not read again, by replica.
	Kept map[string]int
	// Holder names the ledger that holds the reservation, and Most is its size; a turn of a program with a budget hands
	// out no more than that.
	Holder string
	Most   int
	// New says that the ledger has served no turn of the program before.
	New bool
}

// CloseRequest settles a turn.
type CloseRequest struct {
	Program, Attempt string
	// Holder is that of the reply to the opening, or empty if there was none; another ledger leaves the reservation alone.
	Holder string
	// Used is the number of tokens that the caller got.
	Used int
	// Replica is the replica that ran the turn, and Prompt what it read.
	Replica string
	Prompt  []hgattempt.Part
	// Turn is the turn to keep, or nil.
	Turn *hgturn.Turn
}

const (
	// openWait bounds an opening; a caller's attempt is worth little after that.
	openWait = 1200 * time.Millisecond
	// onlineWait bounds its writes, after which the part of the store counts as away for this turn. It is longer than
	// a write takes in a slow store.
	onlineWait = 800 * time.Millisecond
	// shards is the number of locks over the programs in memory.
	shards = 16
)

// Ledger holds the programs that this node has served lately; it is safe for concurrent use.
type Ledger struct {
	id     string
	table  hgstore.Table
	timer  hgtimer.Timer
	log    *slog.Logger
	commit *committer
	backup Backup
	seen   seen
	// unsaved is the number of programs whose rows tell less than was taken.
	unsaved atomic.Int64
	// bypassed says which parts' accounts may be elsewhere, markersRead that this is known, and bypassAt when this
	// ledger last kept one elsewhere.
	bypassed    [parts]atomic.Bool
	markersRead atomic.Bool
	bypassAt    atomic.Int64
	shards      [shards]shard
}

// NewLedger returns an empty ledger over a table; id is unique among all ledgers that ever were.
func NewLedger(id string, table hgstore.Table, timer hgtimer.Timer, log *slog.Logger, opts ...Option) *Ledger {
	o := newOptions(opts)
	l := &Ledger{id: id, table: table, timer: timer, log: log, commit: newCommitter(table, o), backup: o.backup, seen: seen{at: map[uint64]time.Duration{}, complete: o.complete}}
	l.markersRead.Store(!o.markers)
	for i := range l.shards {
		l.shards[i].programs = map[string]*program{}
	}
	return l
}

// Open decides whether a turn may run, and reserves its most.
func (l *Ledger) Open(ctx context.Context, q OpenRequest) (reply OpenReply) {
	ctx, cancel := context.WithTimeout(ctx, openWait)
	defer cancel()
	p := l.program(q.Program)
	if !p.lock(ctx) {
		return OpenReply{Verdict: Unsure}
	}
	defer p.unlock()
	p.touched = l.timer.Now()
	isNew := l.seen.isNew(q.Program)
	p.isNew = p.isNew || isNew
	switch {
	case q.Offline && q.Kept:
		return OpenReply{Verdict: Outage}
	case q.NoNew && q.Previous == "" && p.isUnserved():
		return OpenReply{Verdict: Busy}
	}
	text, verdict, err := l.text(ctx, p, q.Previous)
	if verdict != Granted {
		l.report("turn not found", q, verdict, err)
		return OpenReply{Verdict: verdict}
	}
	reply = OpenReply{Verdict: Granted, Text: text, Kept: p.cached.kept(q.Prompt), Holder: l.id, New: q.Previous == "" && p.isUnserved()}
	if !q.HasBudget {
		return reply
	}
	if reply.Most, verdict, err = l.take(ctx, p, q, isNew); verdict != Granted {
		l.report("turn not granted", q, verdict, err)
		return OpenReply{Verdict: verdict}
	}
	l.seen.note(q.Program, p.touched)
	p.open[q.Attempt] = reply.Most
	if p.ended[q.Attempt] {
		l.release(p, q.Attempt, 0)
		return OpenReply{Verdict: Unsure}
	}
	return reply
}

// take reserves the tokens of a turn, with the program's row if its part of the store answers, and returns how many.
func (l *Ledger) take(ctx context.Context, p *program, q OpenRequest, isNew bool) (most int, v Verdict, err error) {
	if !p.known && !l.markersRead.Load() {
		return 0, Unsure, trace.NotFound("markers have not been read")
	}
	if q.Offline || l.commit.isDown(p.at) && !l.bypass(ctx, p, isNew) {
		most, v = l.reserveOffline(ctx, p, q, isNew)
		return most, v, nil
	}
	l.learnTaken(ctx, p)
	online, cancel := context.WithTimeout(ctx, onlineWait)
	defer cancel()
	if v, err = l.reserve(online, p, q.Budget, q.Most); v != Unsure || ctx.Err() != nil {
		return q.Most, v, err
	}
	if most, v = l.reserveOffline(ctx, p, q, isNew); v == Granted {
		return most, Granted, nil
	}
	return 0, Unsure, err
}

func (l *Ledger) report(msg string, q OpenRequest, v Verdict, err error) {
	l.log.Info(msg, "attempt", q.Attempt, "program", q.Program, "previous", q.Previous, "budget", q.Budget, "most", q.Most,
		"verdict", v, "error", err)
}

// checkAgain is how long a refusal rests on what other nodes had taken before the row is read again.
const checkAgain = 500 * time.Millisecond

// reserve takes tokens of the budget, with a write if the node has not taken enough of it before.
func (l *Ledger) reserve(ctx context.Context, p *program, budget, most int) (v Verdict, err error) {
	if !p.known && l.bypassed[p.at].Load() {
		if err := l.readAccount(ctx, p); err != nil {
			return Unsure, err
		}
	}
	for asked := false; ; {
		g := p.account.Reserve(budget, most)
		beyond := l.backup != nil && p.account.IsBeyond(g, budget)
		switch {
		case beyond && l.backup.IsApart():
			return Unsure, trace.LimitExceeded("a majority may serve the program without a row")
		case beyond && !asked:
			asked = true
			l.askTaken(ctx, p)
		case g.Spent && l.stale(p):
			p.checked = l.timer.Now()
			if err := l.readAccount(ctx, p); err != nil {
				p.known = false
				return Unsure, err
			}
		case g.Spent:
			l.closeAccount(ctx, p, budget, most)
			return Spent, nil
		case !g.Durable:
			p.account = g.Account
			return Granted, nil
		default:
			written, err := l.writeAccount(ctx, p, g.Account)
			if err != nil {
				return Unsure, err
			}
			if written {
				p.account.Open += most
				return Granted, nil
			}
		}
	}
}

// closeAccount notes in the row that a budget is spent for good, once. Without the note other nodes find it out themselves.
func (l *Ledger) closeAccount(ctx context.Context, p *program, budget, most int) {
	if !p.account.SpentForGood(budget, most) {
		return
	}
	closed := p.account
	closed.Closed = true
	if _, err := l.writeAccount(ctx, p, closed); err != nil {
		l.log.Debug("account not closed", "program", p.id, "error", err)
	}
}

// stale says whether a refusal needs a newer row: others may have given back what they took.
func (l *Ledger) stale(p *program) bool {
	return !p.known || p.account.Others > 0 && l.timer.Now()-p.checked > checkAgain
}

// Close settles a turn; it returns when the turn to keep is durable.
func (l *Ledger) Close(ctx context.Context, q CloseRequest) (err error) {
	defer func() { err = trace.Wrap(err, "turn %s of program %s", q.Attempt, q.Program) }()
	if q.Turn != nil {
		if err := l.keep(ctx, q.Program, *q.Turn); err != nil {
			l.settle(q, false)
			return err
		}
	}
	l.settle(q, true)
	return nil
}

// settle books a turn in memory, also for a caller that has gone.
func (l *Ledger) settle(q CloseRequest, kept bool) {
	ctx, cancel := context.WithTimeout(context.Background(), openWait)
	defer cancel()
	p := l.program(q.Program)
	if !p.lock(ctx) {
		return
	}
	defer p.unlock()
	p.touched = l.timer.Now()
	if q.Holder == l.id || q.Holder == "" {
		l.release(p, q.Attempt, q.Used)
	}
	if q.Replica != "" {
		p.cached.read(q.Replica, q.Prompt, q.Used)
	}
	if kept && q.Turn != nil {
		p.turns[q.Turn.ID] = *q.Turn
	}
}

// writers is the number of programs whose rows are written at the same time; their writes share transactions.
const writers = 32

// each does something with all programs in memory, several at a time, and counts those that were done and that failed.
func (l *Ledger) each(do func(p *program) (done bool, err error)) (done, failed int) {
	var ok, lost atomic.Int64
	group := errgroup.Group{}
	group.SetLimit(writers)
	for _, p := range l.all() {
		group.Go(func() error {
			switch done, err := do(p); {
			case err != nil:
				lost.Add(1)
			case done:
				ok.Add(1)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		l.log.Debug("programs not written", "error", err)
	}
	return int(ok.Load()), int(lost.Load())
}

// Return gives back what this ledger has taken of budgets and not lent to open turns.
func (l *Ledger) Return(ctx context.Context) (returned, failed int) {
	return l.each(func(p *program) (done bool, err error) { return l.returnOne(ctx, p) })
}

func (l *Ledger) returnOne(ctx context.Context, p *program) (returned bool, err error) {
	if !p.lock(ctx) {
		return false, ctx.Err()
	}
	defer p.unlock()
	if p.account.Left() <= 0 {
		return false, nil
	}
	// The write may succeed without an answer, so that nothing of what it returns is used any more.
	p.account = p.account.Return()
	return l.writeAccount(ctx, p, p.account)
}

// release closes a turn's reservation; p is locked.
func (l *Ledger) release(p *program, attempt string, used int) {
	most, ok := p.open[attempt]
	if !ok {
		p.ended[attempt] = true
		return
	}
	delete(p.open, attempt)
	p.account = p.account.Settle(most, used)
}

// String describes the ledger.
func (l *Ledger) String() string { return "ledger " + l.id }
