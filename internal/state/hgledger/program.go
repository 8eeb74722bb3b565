package hgledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/state/hgaccount"
	"hyssopgrade/internal/state/hgturn"
)

// program is the state of a program in memory. Its lock is held while its row is written, so that concurrent turns of
// one program wait for each other's reservation instead of failing on version conflicts.
type program struct {
	id string
	// sem is the lock: it holds an element while the program is locked.
	sem chan struct{}
	// waiting is the sum of the maximum outputs of the kept turns that wait for the lock to be opened. One write claims the tokens
	// of all of them.
	waiting atomic.Int64

	// isNew is set if neither this ledger nor a peer that reports its programs to it had served the program before.
	isNew bool
	// rowKnown is set if row and version are the result of the last read or write. Version 0 means that no row exists.
	rowKnown bool
	version  uint64
	row      accountRow
	account  hgaccount.Account
	// reduction is the last reduction of the claim whose outcome is not known.
	reduction hgaccount.Reduction
	// unsaved is set if account.Mine exceeds the claim in the row, as tokens were claimed while the store was
	// unreachable.
	unsaved bool
	// claimsLost is set if a claim that another ledger made without the row may have been lost with it.
	claimsLost bool
	// isMarked is set if the marker of an exceeded budget is durable.
	isMarked bool
	// copies holds claims that peers have made without a durable row, by ledger. copiedAt is when the last of them
	// arrived.
	copies   map[string]int
	copiedAt time.Duration
	// writtenAt is when this ledger last wrote the row.
	writtenAt time.Duration
	// checkedAt is when the row was last read before a refusal.
	checkedAt time.Duration
	// lastKept is the last kept turn that was to be opened.
	lastKept OpenRequest
	// reservations maps the attempts of open turns to their reserved tokens.
	reservations map[string]int
	// openers maps the attempts of open turns to the nodes that opened them; a turn that was only extended here has none.
	openers map[string]Opener
	// shortfalls maps the attempts of open turns to the tokens by which their reservations are below the turns' maximum.
	shortfalls map[string]int
	// closedEarly holds attempts that were closed here before they were opened, as their entry VM had given up on them.
	closedEarly map[string]bool
	// turns holds turns whose text is in rows of the program, and textBytes is the size of their texts. droppedTurns maps the turns whose
	// text was dropped from memory to the numbers of their rows.
	turns        hgturn.Tree
	textBytes    int64
	droppedTurns map[string]int
	// cached estimates which tokens of the program's prompts the replicas have cached.
	cached   cachedPrompts
	lastUsed time.Duration
}

// shard is a part of the map of programs, with its own lock.
type shard struct {
	mu       sync.Mutex
	programs map[string]*program
}

// program returns a program and adds it if it is not in memory.
func (l *Ledger) program(id string) *program {
	s := &l.shards[hash(id)%numShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.programs[id]
	if !ok {
		p = &program{
			id: id, sem: make(chan struct{}, 1), copies: map[string]int{}, turns: hgturn.Tree{}, droppedTurns: map[string]int{}, cached: cachedPrompts{}, lastUsed: l.timer.Now(),
			reservations: map[string]int{}, openers: map[string]Opener{}, shortfalls: map[string]int{}, closedEarly: map[string]bool{},
		}
		s.programs[id] = p
	}
	return p
}

// find returns a program if it is in memory.
func (l *Ledger) find(id string) (p *program, ok bool) {
	s := &l.shards[hash(id)%numShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok = s.programs[id]
	return p, ok
}

// lock returns false if the context ends before the lock is free.
func (p *program) lock(ctx context.Context) bool {
	select {
	case p.sem <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// tryLock locks the program if the lock is free.
func (p *program) tryLock() bool {
	select {
	case p.sem <- struct{}{}:
		return true
	default:
		return false
	}
}

// lockForOpening is lock for the opening of a turn, which counts as waiting until then.
func (p *program) lockForOpening(ctx context.Context, q OpenRequest) bool {
	if q.HasBudget && q.Kept {
		p.waiting.Add(int64(q.Most))
		defer p.waiting.Add(-int64(q.Most))
	}
	return p.lock(ctx)
}

// partition returns the partition of the store that holds the account's row.
func (p *program) partition() int { return homePartition(p.id) }

// isUnserved reports whether this ledger has served no turn of the program.
func (p *program) isUnserved() bool {
	return p.account.Used == 0 && len(p.reservations) == 0 && len(p.turns) == 0 && len(p.droppedTurns) == 0 && len(p.cached) == 0
}

func (p *program) unlock() { <-p.sem }

// shortfall returns the tokens by which the reservations of open turns, other than one attempt, are below the turns' maximum.
func (p *program) shortfall(attempt string) int {
	return lo.Sum(lo.Values(p.shortfalls)) - p.shortfalls[attempt]
}

// isUsedUp reports whether all that an account of this ledger claims was delivered to callers.
func (p *program) isUsedUp(a hgaccount.Account) bool {
	return a.Mine > 0 && a.IsSettled() && p.shortfall("") == 0
}

// settleTokens replaces the reservation of an open turn by its used tokens. The turn counts as open until it is released.
func (p *program) settleTokens(attempt string, used int) {
	p.account = p.account.Settle(p.reservations[attempt], used)
	p.reservations[attempt] = 0
	delete(p.shortfalls, attempt)
}

// all returns the programs in memory.
func (l *Ledger) all() (programs []*program) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		programs = append(programs, lo.Values(s.programs)...)
		s.mu.Unlock()
	}
	return programs
}

// Programs returns the number of programs in memory.
func (l *Ledger) Programs() int { return len(l.all()) }
