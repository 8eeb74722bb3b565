package hgsoak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/proof/hgsite"
)

const (
	// recoverTime is the platform's recover_s: the time after a loss of all VMs within which each kept turn reaches a replica.
	recoverTime = 12 * time.Second
	// contactTime is the platform's contact_ms: the time without disruption after which a VM is in touch.
	contactTime = 3 * time.Second
	// keptTries is the number of tries within which a kept turn reaches a replica while all is calm.
	keptTries = 5
	// maxKeptTurns is the number of kept turns that are tried, the newest ones, and keptAtOnce the number tried at the same time;
	// they leave the engines under half full.
	maxKeptTurns = 60
	keptAtOnce   = 6
	// keptPause is the pause before a kept turn is tried again.
	keptPause = 100 * time.Millisecond
	// keptAge is the age up to which turns are tried; the routes retain them for a minute.
	keptAge = 40 * time.Second
)

// keptTurn is the last turn of a program that was answered completely, with all inputs and outputs up to its end.
type keptTurn struct {
	program, id, history string
	// next is the program's next input, and budget its budget.
	next   string
	budget int
	at     time.Time
	// unreached counts the tries that reached no replica, by status or error.
	unreached map[string]int
}

// keepTurn records a turn that was answered completely in place of the program's turn before it.
func (c *checker) keepTurn(t keptTurn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.at = time.Now()
	c.kept[t.program] = t
}

// leavesTurn reports whether a program's budget surely leaves a turn: one that had no whole answer counts with its maximum.
func (c *checker) leavesTurn(q hgsite.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return q.Budget-c.spent[q.Program] >= q.MaxTokensOut
}

// newestKept returns the kept turns to try, newest first.
func (c *checker) newestKept() []keptTurn {
	c.mu.Lock()
	defer c.mu.Unlock()
	turns := lo.Filter(lo.Values(c.kept), func(t keptTurn, _ int) bool { return time.Since(t.at) < keptAge })
	slices.SortFunc(turns, func(a, b keptTurn) int { return b.at.Compare(a.at) })
	return turns[:min(len(turns), maxKeptTurns)]
}

// checkKeptAfterLoss ends all processes at once and checks that each kept turn reaches a replica within recoverTime.
func (s *soak) checkKeptAfterLoss(ctx context.Context) {
	for _, p := range s.procs {
		p.mu.Lock()
		p.stopping = true
		p.mu.Unlock()
		p.signal(syscall.SIGKILL)
	}
	for _, p := range s.procs {
		p.end(syscall.SIGKILL, time.Second)
		s.restart(p)
	}
	s.calmSince = time.Now()
	deadline := s.calmSince.Add(recoverTime)
	s.tryKept(ctx, "after the loss of all VMs", func(int) bool { return time.Now().Before(deadline) })
}

// checkKeptInCalm waits until all VMs are in touch and checks that each kept turn reaches a replica within keptTries.
func (s *soak) checkKeptInCalm(ctx context.Context) {
	time.Sleep(time.Until(s.calmSince.Add(contactTime)))
	s.tryKept(ctx, "in the calm", func(tries int) bool { return tries < keptTries })
}

// tryKept tries each kept turn, through one VM after the other, until it reaches a replica or goOn returns false.
func (s *soak) tryKept(ctx context.Context, when string, goOn func(tries int) bool) {
	slots := make(chan struct{}, keptAtOnce)
	var wg sync.WaitGroup
	for i, t := range s.check.newestKept() {
		wg.Go(func() {
			t.unreached = map[string]int{}
			for tries := 0; goOn(tries); tries++ {
				slots <- struct{}{}
				done := s.tryKeptTurn(ctx, &t, i+tries)
				<-slots
				if done {
					s.check.count("kept turns tried "+when, 1)
					return
				}
				time.Sleep(keptPause)
			}
			s.check.violateNow("turn %s of program %s reaches no replica %s: answers %v", t.id, t.program, when, t.unreached)
		})
	}
	wg.Wait()
}

// tryKeptTurn sends the turn that follows a kept turn; done reports whether it reached a replica or need not.
func (s *soak) tryKeptTurn(ctx context.Context, t *keptTurn, vm int) (done bool) {
	q := hgsite.Turn(hgsite.ThreadPath, t.program, t.id, t.next)
	if q.Budget = t.budget; !s.check.leavesTurn(q) {
		return true
	}
	s.check.expectPrompt(q.ID, t.history+q.Body)
	running := s.runningVMs()
	reply, err := s.site.Call(ctx, s.node(running[vm%len(running)]), q)
	s.check.recordAnswer(q, false, reply, err)
	if err == nil && keptDenied[reply.Status] {
		s.check.turnDenied(q.ID, t.id)
	}
	if !s.reachedEngine(q.ID) {
		t.unreached[answerName(reply, err)]++
		return false
	}
	if err == nil && reply.Status == http.StatusOK && reply.Complete {
		s.check.keepTurn(keptTurn{program: t.program, id: q.ID, history: t.history + q.Body + s.site.Replicas["engine-0"].Output(), next: t.next, budget: t.budget})
	}
	return true
}

// keptDenied are the statuses that say that a turn does not exist.
var keptDenied = map[int]bool{http.StatusNotFound: true, http.StatusGone: true}

// answerName returns the status of an answer, or the error of a call that had none.
func answerName(reply hgsite.Reply, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(reply.Status)
}

// reachedEngine reports whether a turn reached a replica.
func (s *soak) reachedEngine(attempt string) bool {
	return lo.ContainsBy(s.site.Runs(hgsite.Engines), func(r hgsite.Run) bool { return r.Attempt == attempt })
}
