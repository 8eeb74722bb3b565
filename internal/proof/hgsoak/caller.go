package hgsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	hgplatform "hyssopgrade/platform"
)

const (
	// maxTurns is the most turns of a program.
	maxTurns = 8
	// think is the longest pause between two turns.
	think = 60 * time.Millisecond
	// callTime bounds a request of a caller.
	callTime = 6 * time.Second
	// tightShare is the share of programs whose budget holds a few turns only.
	tightShare = 0.2
)

// caller runs one program after another.
func (s *soak) caller(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.programs++
		program := fmt.Sprintf("p%d", s.programs)
		s.mu.Unlock()
		if r.IntN(2) == 0 {
			s.thread(ctx, r, program)
		} else {
			s.chat(ctx, r, program)
		}
	}
}

// thread runs a program whose turns are kept, each through any entry VM.
func (s *soak) thread(ctx context.Context, r *rand.Rand, program string) {
	previous, said := "", ""
	output := s.site.Replicas["engine-0"].Output()
	for turn := 0; turn < 1+r.IntN(maxTurns) && ctx.Err() == nil; turn++ {
		q := hgsite.Turn(hgsite.ThreadPath, program, previous, fmt.Sprintf("%s-%d ", program, turn))
		s.check.prompt(q.ID, said+q.Body)
		reply, ok := s.call(ctx, r, q, false)
		if reply.Status == http.StatusNotFound {
			s.check.lost(q.ID, previous)
			return
		}
		if ok {
			previous, said = q.ID, said+q.Body+output
		}
		s.tool(ctx, r)
	}
}

// chat runs a program that keeps nothing and may have a tight budget.
func (s *soak) chat(ctx context.Context, r *rand.Rand, program string) {
	tight := r.Float64() < tightShare
	for turn := 0; turn < 2+r.IntN(2*maxTurns) && ctx.Err() == nil; turn++ {
		q := hgsite.Turn(hgsite.ChatPath, program, "", "hello")
		if tight {
			q.Budget = 2 * q.MostOut
		}
		if _, _ = s.call(ctx, r, q, true); r.IntN(3) == 0 {
			s.tool(ctx, r)
		}
	}
}

// tool sends a check or a charge.
func (s *soak) tool(ctx context.Context, r *rand.Rand) {
	q := hgsite.Request{Path: hgsite.ChargePath + "x", Body: hgsite.NewAttempt()}
	repeatable := r.IntN(2) == 0
	if repeatable {
		q = hgsite.Request{Path: hgsite.CheckPath + "x", Method: http.MethodGet}
	}
	q.ID, q.Deadline = hgsite.NewAttempt(), 2*time.Second
	_, _ = s.call(ctx, r, q, repeatable)
}

// call sends a request through any entry VM and notes the answer; ok says that it was whole.
func (s *soak) call(ctx context.Context, r *rand.Rand, q hgsite.Request, repeatable bool) (reply hgsite.Reply, ok bool) {
	time.Sleep(time.Duration(r.Int64N(int64(think))))
	if r.IntN(20) == 0 {
		q.Header = http.Header{}
		hgplatform.Forge(q.Header)
	}
	limit := callTime
	if r.IntN(30) == 0 {
		limit = time.Duration(r.Int64N(int64(50 * time.Millisecond)))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	vm := r.IntN(len(s.procs))
	way := way{vm: vm, run: s.procs[vm].run.Load(), sent: time.Now()}
	reply, err := s.site.Call(ctx, vm, q)
	s.check.answered(q, repeatable, reply, err)
	s.check.passed(q.ID, way, reply, err)
	return reply, err == nil && reply.Status == http.StatusOK && reply.Complete
}
