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
	"hyssopgrade/internal/state/hgreach"
	"hyssopgrade/internal/state/hgturn"
)

// Verdict is the decision whether a turn may run.
type Verdict string

// Verdicts of Ledger.Open. The values are sent to peers and logged.
const (
	// Granted means that the turn may run.
	Granted Verdict = "granted"
	// Spent means that the rest of the budget is too small for the turn.
	Spent Verdict = "spent"
	// NoTurn means that the turn to continue does not exist. The newest rows have been read.
	NoTurn Verdict = "noTurn"
	// Undecided means that the decision could not be made in time, mostly because the store did not answer.
	Undecided Verdict = "unsure"
	// Outage means that the store is unreachable and the turn cannot be granted without it.
	Outage Verdict = "outage"
	// Busy means that the replicas are busy, so that new programs have to wait.
	Busy Verdict = "busy"
	// NoMemory means that there is no memory for the texts of the turns that this one continues.
	NoMemory Verdict = "noMemory"
)

// Opener identifies a process of a node that opens turns in ledgers of others, with its address for calls of peers.
type Opener struct{ Boot, Address string }

// OpenRequest asks whether a turn of a program may run. Peers exchange it with encoding/gob under its Go field names.
type OpenRequest struct {
	Program, Attempt string
	// Opener is the node that asks and extends and settles the turn.
	Opener Opener
	// Previous identifies the turn to continue; it is empty if the turn continues none.
	Previous string
	// Budget is the program's budget and Most the maximum output of the turn, in tokens; both are ignored without
	// HasBudget.
	Budget, Most int
	HasBudget    bool
	// Estimate is the expected output of the turn, in tokens; 0 if it is not known.
	Estimate int
	// Prompt lists the parts of the prompt with their lengths, for the estimate of cached tokens.
	Prompt []hgattempt.Part
	// Kept is set if the turn has to be stored when it ends.
	Kept bool
	// NoNew is set if the replicas are busy, so that only programs that have been served before may continue.
	NoNew bool
	// Offline is set if the store is unreachable, so that the decision rests on the state in memory.
	Offline bool
	// KnownOnly is set if an offline ledger must not claim tokens for a program of which it holds no share yet.
	KnownOnly bool
	// Whole is set if an offline ledger must not grant fewer tokens than Most.
	Whole bool
	// Here is set if the ledger must not name another one in Elsewhere before it has waited for the store.
	Here bool
	// Team is the team that the turn belongs to; empty without teams.
	Team string
	// Extendable is set if the asking node extends a reservation that is smaller than Most while the turn runs.
	Extendable bool
	// Charge is called with the size of Text before it is made; after an error the verdict is NoMemory. Nil charges nothing. It is not
	// sent to peers.
	Charge func(bytes int) error
}

// text returns the inputs and outputs of the turns that the turn continues.
func (q OpenRequest) text(path []hgturn.Turn) (text []byte, err error) {
	if q.Charge != nil && len(path) > 0 {
		if err := q.Charge(hgturn.Size(path)); err != nil {
			return nil, err
		}
	}
	return hgturn.Text(path), nil
}

// OpenReply is the decision on a turn. Peers exchange it with encoding/gob under its Go field names.
type OpenReply struct {
	Verdict Verdict
	// Text holds the inputs and outputs of the turns that this one continues.
	Text []byte
	// Kept maps replicas to the number of prompt tokens that they are expected to have cached.
	Kept map[string]int
	// Holder names the ledger that holds the reservation. Most is the size of the reservation, in tokens: if the
	// program has a budget, no more than that may be delivered to the caller.
	Holder string
	Most   int
	// New is set if the ledger has served no turn of the program before.
	New bool
	// Elsewhere names a ledger with a share of the budget, if the store is unreachable or slow and this ledger has none.
	Elsewhere string
	// Release ends the charge for Text at the node that decided, once the reply is sent; nil if there is none. It is not sent.
	Release func()
}

// ExtendRequest asks for more tokens for a turn whose reservation is smaller than its maximum output. Peers exchange it with
// encoding/gob under its Go field names.
type ExtendRequest struct {
	Program, Attempt string
	// Holder is the Holder of the OpenReply, or empty if that ledger does not answer.
	Holder string
	// Budget is the program's budget and Tokens the number of tokens to add. Rest is the number that the turn may still need, these
	// included.
	Budget, Tokens, Rest int
}

// ExtendReply is the answer to an ExtendRequest. Peers exchange it with encoding/gob under its Go field names.
type ExtendReply struct {
	// Tokens is the number of tokens that were added to the reservation; 0 if there are none to be had.
	Tokens int
	// NotHolder is set if the request was for another ledger, for example one that ended with its process.
	NotHolder bool
}

// CloseRequest settles a turn. Peers exchange it with encoding/gob under its Go field names.
type CloseRequest struct {
	Program, Attempt string
	// Holder is the Holder of the OpenReply, or empty if no reply was received. A ledger that Holder does not name
	// keeps its reservation; if Holder is empty, any ledger releases it.
	Holder string
	// Used is the number of tokens that were delivered to the caller.
	Used int
	// Replica is the replica that ran the turn, and Prompt lists the parts of the prompt that it processed.
	Replica string
	Prompt  []hgattempt.Part
	// Turn is the turn to store, or nil.
	Turn *hgturn.Turn
}

const (
	// openTimeout bounds Open, and the wait for the program's lock when a turn is settled. An attempt that waits longer
	// for its opening is of little use to the caller.
	openTimeout = 1200 * time.Millisecond
	// numShards is the number of shards of the map of programs, each with its own lock.
	numShards = 16
)

// Ledger decides which turns of programs may run, and holds the programs that this node has served recently. It is safe
// for concurrent use.
type Ledger struct {
	id        string
	table     hgstore.Table
	timer     hgtimer.Timer
	log       *slog.Logger
	committer *committer
	reach     func() hgreach.State
	// informed reports whether this process has read the watched table from the store since it started.
	informed func() bool
	backup   Backup
	texts    texts
	known    knownPrograms
	asks     askLog
	// unsaved is the number of programs of which this ledger has claimed more than their rows record.
	unsaved atomic.Int64
	shards  [numShards]shard
}

// NewLedger returns an empty ledger over a table. The id must not have been used by any ledger before, also not by an
// earlier process of the same node, as claims in rows are recorded under it.
func NewLedger(id string, table hgstore.Table, timer hgtimer.Timer, log *slog.Logger, opts ...Option) *Ledger {
	o := newOptions(opts)
	l := &Ledger{id: id, table: table, timer: timer, log: log, committer: newCommitter(table, timer, o), reach: o.reach, informed: o.informed, backup: o.backup,
		texts: texts{limit: o.textLimit, dropped: o.textDropped},
		known: knownPrograms{lastSeen: map[uint64]time.Duration{}, complete: o.complete}, asks: askLog{entries: map[uint64]askEntry{}}}
	for i := range l.shards {
		l.shards[i].programs = map[string]*program{}
	}
	return l
}

// Open decides whether a turn may run. If the program has a budget, it reserves tokens for the turn.
func (l *Ledger) Open(ctx context.Context, q OpenRequest) (reply OpenReply) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	defer l.trimTexts()
	p := l.program(q.Program)
	if !p.lockForOpening(ctx, q) {
		return OpenReply{Verdict: Undecided}
	}
	defer p.unlock()
	p.lastUsed = l.timer.Now()
	isNew := l.informed() && l.known.isNew(q.Program)
	p.isNew = p.isNew || isNew
	switch {
	case q.Offline && q.Kept:
		return OpenReply{Verdict: Outage}
	case q.NoNew && q.Previous == "" && p.isUnserved():
		return OpenReply{Verdict: Busy}
	}
	path, verdict, err := l.history(ctx, p, q.Previous, q.Team)
	if verdict != Granted {
		l.logRefusal("previous turns not available", q, verdict, err)
		return OpenReply{Verdict: verdict}
	}
	text, err := q.text(path)
	if err != nil {
		return OpenReply{Verdict: NoMemory}
	}
	reply = OpenReply{Verdict: Granted, Text: text, Kept: p.cached.tokens(q.Prompt), Holder: l.id, New: q.Previous == "" && p.isUnserved()}
	if !q.HasBudget {
		return reply
	}
	if q.Kept {
		p.lastKept = OpenRequest{Budget: q.Budget, Most: q.Most}
	}
	if reply.Most, verdict, err = l.reserve(ctx, p, q, isNew); verdict != Granted {
		l.logRefusal("turn not granted", q, verdict, err)
		reply = OpenReply{Verdict: verdict}
		if verdict == Outage && l.needsHolder(p, q) {
			reply.Elsewhere = l.holder(ctx, p)
		}
		return reply
	}
	l.known.add(q.Program, p.lastUsed)
	p.reservations[q.Attempt] = reply.Most
	p.openers[q.Attempt] = q.Opener
	if reply.Most < q.Most {
		p.shortfalls[q.Attempt] = q.Most - reply.Most
	}
	if p.closedEarly[q.Attempt] {
		l.release(p, q.Attempt, 0)
		return OpenReply{Verdict: Undecided}
	}
	return reply
}

func (l *Ledger) logRefusal(msg string, q OpenRequest, v Verdict, err error) {
	l.log.Info(msg, "attempt", q.Attempt, "program", q.Program, "previous", q.Previous, "budget", q.Budget, "most", q.Most,
		"verdict", v, "error", err)
}

// Close settles a turn. If the request holds a turn to store, Close returns once that is durable, or with the error.
func (l *Ledger) Close(ctx context.Context, q CloseRequest) (err error) {
	defer func() { err = trace.Wrap(err, "turn %s of program %s", q.Attempt, q.Program) }()
	if q.Turn == nil {
		l.settle(q, q.Used, false)
		return nil
	}
	used, beside := l.settleBeside(q)
	err = l.storeTurn(ctx, q.Program, *q.Turn, beside...)
	l.settle(q, used, err == nil)
	l.trimTexts()
	return err
}

// settle releases the reservation of a turn and updates the program in memory; used are the tokens that do not count yet. It does not
// depend on the context of the request, so that the turn is settled even if the caller has left. While other turns hold the program's
// lock for longer than openTimeout, for example as they wait for a slow store, the turn is settled later.
func (l *Ledger) settle(q CloseRequest, used int, stored bool) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	l.withLock(ctx, l.program(q.Program), q, func(p *program) { l.settleLocked(p, q, used, stored) })
}

// withLock calls do with the program locked: at once if the lock is free before the context ends, and later otherwise.
func (l *Ledger) withLock(ctx context.Context, p *program, q CloseRequest, do func(p *program)) {
	if p.lock(ctx) {
		defer p.unlock()
		do(p)
		return
	}
	l.log.Info("turn waits to be settled", "program", q.Program, "attempt", q.Attempt)
	go func() {
		if p.lock(context.Background()) {
			defer p.unlock()
			do(p)
		}
	}()
}

// settleLocked is settle for a locked program.
func (l *Ledger) settleLocked(p *program, q CloseRequest, used int, stored bool) {
	p.lastUsed = l.timer.Now()
	if q.Holder == l.id || q.Holder == "" {
		l.release(p, q.Attempt, used)
	} else {
		l.releaseExtension(p, q)
	}
	if q.Replica != "" {
		p.cached.add(q.Replica, q.Prompt, q.Used)
	}
	if stored {
		l.keepTurns(p, *q.Turn)
	}
}

// writeConcurrency is the number of programs whose rows are written concurrently. Their writes share transactions.
const writeConcurrency = 32

// forEachProgram calls do for all programs in memory, several at a time. It returns the number of calls that reported
// true and the number that failed.
func (l *Ledger) forEachProgram(do func(p *program) (done bool, err error)) (done, failed int) {
	var succeeded, errored atomic.Int64
	group := errgroup.Group{}
	group.SetLimit(writeConcurrency)
	for _, p := range l.all() {
		group.Go(func() error {
			switch done, err := do(p); {
			case err != nil:
				errored.Add(1)
			case done:
				succeeded.Add(1)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		l.log.Debug("programs not written", "error", err)
	}
	return int(succeeded.Load()), int(errored.Load())
}

// OpenTurns returns the numbers of turns with a reservation in this ledger, by the nodes that opened them. A program that is locked
// counts as one turn of an unknown node, which is the zero Opener.
func (l *Ledger) OpenTurns() (turns map[Opener]int) {
	turns = map[Opener]int{}
	for _, p := range l.all() {
		select {
		case p.sem <- struct{}{}:
			for attempt := range p.reservations {
				turns[p.openers[attempt]]++
			}
			p.unlock()
		default:
			turns[Opener{}]++
		}
	}
	return turns
}

// release settles a turn's reservation. The caller holds the lock of p. An attempt that is closed before it was opened
// is remembered, so that its late opening reserves nothing.
func (l *Ledger) release(p *program, attempt string, used int) {
	reserved, ok := p.reservations[attempt]
	if !ok {
		p.closedEarly[attempt] = true
		return
	}
	delete(p.reservations, attempt)
	delete(p.shortfalls, attempt)
	delete(p.openers, attempt)
	p.account = p.account.Settle(reserved, used)
}

// ReleaseExtension releases what this ledger has reserved for a turn that another one has opened and settled.
func (l *Ledger) ReleaseExtension(q CloseRequest) {
	p, ok := l.find(q.Program)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	l.withLock(ctx, p, q, func(p *program) { l.releaseExtension(p, q) })
}

// releaseExtension is ReleaseExtension for a program whose lock the caller holds. All tokens of the extension count as delivered, as
// far as the turn has delivered so many: which ones came from it is not known.
func (l *Ledger) releaseExtension(p *program, q CloseRequest) {
	if reserved, ok := p.reservations[q.Attempt]; ok {
		l.release(p, q.Attempt, min(reserved, q.Used))
	}
}

// String names the ledger in logs.
func (l *Ledger) String() string { return "ledger " + l.id }
