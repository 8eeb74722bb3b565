package hgledger_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgreach"
	"hyssopgrade/internal/state/hgturn"
)

var errLate = errors.New("no reply yet")

// lateTable is a table that, while it is late, applies no transaction and gives no reply. It may apply them later.
type lateTable struct {
	*hgstore.Memory
	mu     sync.Mutex
	isLate bool
	late   []hgstore.Txn
}

func (l *lateTable) setLate(late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLate = late
}

func (l *lateTable) Commit(ctx context.Context, t hgstore.Txn) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isLate {
		l.late = append(l.late[max(len(l.late)-maxLate+1, 0):], t)
		return 0, errLate
	}
	return l.Memory.Commit(ctx, t)
}

// take removes one of the late transactions.
func (l *lateTable) take(r *rand.Rand) (t hgstore.Txn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.late) == 0 {
		return t, false
	}
	i := r.IntN(len(l.late))
	t = l.late[i]
	l.late = append(l.late[:i], l.late[i+1:]...)
	return t, true
}

// lateSite is ledgers that serve one program. Transactions may be applied late, and ledgers end with open turns.
type lateSite struct {
	table   *lateTable
	ledgers []*hgledger.Ledger
	slow    []atomic.Bool
	starts  int
	timer   *shiftedTimer
	open    []lateTurn
	// delivered are the tokens that callers got, and may still get of turns whose ledger has ended.
	delivered int
	log       []string
}

type lateTurn struct {
	ledger int
	q      hgledger.OpenRequest
	reply  hgledger.OpenReply
}

const (
	lateBudget  = 800
	lateMost    = 100
	lateLedgers = 2
	// maxLate bounds the transactions that may still be applied. The others are lost.
	maxLate = 2
)

func newLateSite(timer hgtimer.Timer) *lateSite {
	s := &lateSite{
		table: &lateTable{Memory: hgstore.NewMemory()}, ledgers: make([]*hgledger.Ledger, lateLedgers), slow: make([]atomic.Bool, lateLedgers),
		timer: &shiftedTimer{Timer: timer},
	}
	for i := range s.ledgers {
		s.start(i)
	}
	return s
}

// start starts a ledger in place of one that ends.
func (s *lateSite) start(i int) {
	s.starts++
	rest := s.open[:0]
	for _, o := range s.open {
		if o.ledger == i {
			s.delivered += o.reply.Most
			continue
		}
		rest = append(rest, o)
	}
	s.open = rest
	s.ledgers[i] = hgledger.NewLedger(fmt.Sprint("l", s.starts), s.table, s.timer, hglog.Discard(), hgledger.WithRetryAfter(time.Millisecond),
		hgledger.WithAllProgramsKnown(s.starts <= lateLedgers), hgledger.WithReachability(func() hgreach.State {
			if s.slow[i].Load() {
				return hgreach.Slow
			}
			return hgreach.Reachable
		}))
}

func (s *lateSite) note(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf(format, args...))
}

// worst returns the tokens that callers have got or may still get.
func (s *lateSite) worst() (tokens int) {
	tokens = s.delivered
	for _, o := range s.open {
		tokens += o.reply.Most
	}
	return tokens
}

func (s *lateSite) step(r *rand.Rand, step int) {
	i := r.IntN(lateLedgers)
	switch r.IntN(20) {
	case 0:
		s.start(i)
		s.note("restart %d", i)
	case 1:
		s.ledgers[i].ReturnUnused(context.Background())
		s.note("return at %d", i)
	case 2:
		s.slow[i].Store(!s.slow[i].Load())
		s.note("slow at %d: %t", i, s.slow[i].Load())
	case 3:
		s.read(i)
	case 4, 5:
		if t, ok := s.table.take(r); ok {
			_, err := s.table.Memory.Commit(context.Background(), t)
			s.note("late write: %v", err)
		}
	case 6, 7, 8, 9:
		s.end(r)
	default:
		q := hgledger.OpenRequest{Program: "p", Attempt: fmt.Sprint(step), Budget: lateBudget, Most: lateMost, HasBudget: true, Kept: r.IntN(4) > 0}
		reply := s.ledgers[i].Open(context.Background(), q)
		s.note("turn %d at %d, kept %t: %s %d", step, i, q.Kept, reply.Verdict, reply.Most)
		if reply.Verdict == hgledger.Granted {
			s.open = append(s.open, lateTurn{i, q, reply})
		}
	}
}

// end ends an open turn. Its rows and the account are written in order, or the reply is lost, or they are late.
func (s *lateSite) end(r *rand.Rand) {
	if len(s.open) == 0 {
		return
	}
	k := r.IntN(len(s.open))
	o := s.open[k]
	s.open = append(s.open[:k], s.open[k+1:]...)
	used := r.IntN(o.reply.Most + 1)
	s.delivered += used
	q := hgledger.CloseRequest{Program: "p", Attempt: o.q.Attempt, Holder: o.reply.Holder, Used: used}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fault := r.IntN(4)
	if o.q.Kept {
		q.Turn = &hgturn.Turn{ID: o.q.Attempt}
		switch fault {
		case 0:
			s.table.SetFault(hgstore.Fault{LoseReplies: 1})
		case 1:
			s.table.setLate(true)
			time.AfterFunc(5*time.Millisecond, cancel)
		}
	}
	err := s.ledgers[o.ledger].Close(ctx, q)
	s.note("end of %s at %d: used %d, fault %d, %v", o.q.Attempt, o.ledger, used, fault, err)
	if fault == 1 {
		// The return of unused tokens is given up meanwhile.
		s.ledgers[o.ledger].Share(context.Background(), hgledger.SoleRequest{Program: "p"})
		// The store is tried again.
		s.timer.skip(time.Second)
	}
	s.table.setLate(false)
	s.table.SetFault(hgstore.Fault{})
	if fault == 1 && r.IntN(2) == 0 {
		s.read(o.ledger)
	}
}

// read makes a ledger read all rows of the program, to look for a turn.
func (s *lateSite) read(i int) {
	v := s.ledgers[i].Open(context.Background(), hgledger.OpenRequest{Program: "p", Attempt: "read", Previous: "none"}).Verdict
	s.note("read at %d: %s", i, v)
}

// Callers get no more than the budget plus the maximum of one turn if ledgers return the unused part of their shares when turns end,
// while replies are lost, writes are applied late and ledgers end.
func TestBudgetHoldsWithLateReturns(t *testing.T) {
	const (
		seeds    = 400
		steps    = 60
		parallel = 8
	)
	group := errgroup.Group{}
	group.SetLimit(parallel)
	for seed := range uint64(seeds) {
		group.Go(func() error {
			timer := hgtimer.NewService()
			defer timer.Close()
			s := newLateSite(timer)
			r := rand.New(rand.NewPCG(seed, 34))
			for step := range steps {
				s.step(r, step)
				if worst := s.worst(); worst > lateBudget+lateMost {
					return fmt.Errorf("seed %d: %d tokens of a budget of %d:\n%s", seed, worst, lateBudget, strings.Join(s.log, "\n"))
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
