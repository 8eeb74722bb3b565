package hgsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/proof/hgsite"
	hgplatform "hyssopgrade/platform"
)

const (
	// maxTurns is the maximum number of turns of a thread; a chat may have about twice as many.
	maxTurns = 8
	// maxThinkTime is the longest pause of a caller before a request.
	maxThinkTime = 60 * time.Millisecond
	// callTimeout is the time after which a caller abandons a request.
	callTimeout = 6 * time.Second
	// tightShare is the share of chats whose budget is exhausted after a few turns.
	tightShare = 0.2
)

// caller runs one program after another until the context ends.
func (s *soak) caller(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.programs++
		n := s.programs
		s.mu.Unlock()
		if r.IntN(2) == 0 {
			s.thread(ctx, r, n)
		} else {
			s.chat(ctx, r, fmt.Sprintf("p%d", n))
		}
	}
}

// thread runs program n, whose turns are retained, sending each turn through a random entry VM. Of three programs one sends the
// inputs of others, and one may have a tight budget.
func (s *soak) thread(ctx context.Context, r *rand.Rand, n int) {
	program := fmt.Sprintf("p%d", n)
	input := lo.Ternary(n%3 == 0, equalInput, program+"-")
	previous, history := "", ""
	output := s.site.Replicas["engine-0"].Output()
	for turn := 0; turn < 1+r.IntN(maxTurns) && ctx.Err() == nil; turn++ {
		q := hgsite.Turn(hgsite.ThreadPath, program, previous, fmt.Sprintf("%s%d ", input, turn))
		if s.opts.TightBudgets && n%3 == 1 {
			q.Budget = maxTurns * q.MaxTokensOut
		}
		s.check.expectPrompt(q.ID, history+q.Body)
		reply, ok := s.call(ctx, r, q, false)
		if keptDenied[reply.Status] {
			s.check.turnDenied(q.ID, previous)
			return
		}
		if ok {
			previous, history = q.ID, history+q.Body+output
			s.check.keepTurn(keptTurn{program: program, id: previous, history: history, next: fmt.Sprintf("%s%d ", input, turn+1), budget: q.Budget})
		}
		s.tool(ctx, r)
	}
}

// chat runs a program whose turns are not retained; its budget may be tight.
func (s *soak) chat(ctx context.Context, r *rand.Rand, program string) {
	tight := r.Float64() < tightShare
	for turn := 0; turn < 2+r.IntN(2*maxTurns) && ctx.Err() == nil; turn++ {
		q := hgsite.Turn(hgsite.ChatPath, program, "", "hello")
		if tight {
			q.Budget = 2 * q.MaxTokensOut
		}
		if _, _ = s.call(ctx, r, q, true); r.IntN(3) == 0 {
			s.tool(ctx, r)
		}
	}
}

// tool sends a check, which may be repeated, or a charge, which may not.
func (s *soak) tool(ctx context.Context, r *rand.Rand) {
	q := hgsite.Request{Path: hgsite.ChargePath + "x", Body: hgsite.NewAttempt()}
	repeatable := r.IntN(2) == 0
	if repeatable {
		q = hgsite.Request{Path: hgsite.CheckPath + "x", Method: http.MethodGet}
	}
	q.ID, q.Deadline = hgsite.NewAttempt(), 2*time.Second
	_, _ = s.call(ctx, r, q, repeatable)
}

// call sends a request through a random entry VM and records the answer; ok reports whether it was complete. Some requests
// carry forged headers, and some callers disconnect within 50 ms.
func (s *soak) call(ctx context.Context, r *rand.Rand, q hgsite.Request, repeatable bool) (reply hgsite.Reply, ok bool) {
	time.Sleep(time.Duration(r.Int64N(int64(maxThinkTime))))
	if r.IntN(20) == 0 {
		q.Header = http.Header{}
		hgplatform.ForgeSystemHeaders(q.Header)
	}
	limit := callTimeout
	planned := s.planned.Load()
	if !planned && r.IntN(30) == 0 {
		limit = time.Duration(r.Int64N(int64(50 * time.Millisecond)))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	vm := s.anyVM(r)
	rt := route{vm: vm, generation: s.procs[vm].generation.Load(), sent: time.Now()}
	var err error
	if planned {
		q.NewConn = r.IntN(2) == 0
		reply, err = s.exchange(ctx, vm, q)
	} else {
		reply, err = s.site.Call(ctx, s.node(vm), q)
	}
	s.check.recordAnswer(q, repeatable, reply, err)
	s.check.recordRoute(q.ID, rt, reply, err)
	return reply, err == nil && reply.Status == http.StatusOK && reply.Complete
}
