package hgowner

import (
	"context"
	"fmt"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgquarantine"
	"hyssopgrade/internal/serve/hgsched"
)

// errQuarantined refuses a request that crashed endpoints.
var errQuarantined = hgcall.NewRefusal(hgcall.KindNotRun, hgcall.ReasonQuarantined, 0, "requests with this content crashed endpoints and are no longer run")

// place waits for a place on an endpoint, and for the request's turn: no unproven copy of it runs at once with another,
// and a suspect runs on an endpoint without other suspects of the cell.
func (j *job) place(ctx context.Context, exclude string) (g hgsched.Grant, leave func(), err error) {
	for {
		verdict := j.o.check(j.plan.Content)
		if verdict == hgquarantine.Refused {
			return g, nil, errQuarantined
		}
		j.alone = verdict == hgquarantine.Alone
		if g, err = j.acquire(ctx, exclude); err != nil {
			return g, nil, err
		}
		if leave, ok := j.enter(ctx, g, verdict); ok {
			return g, leave, nil
		}
		j.o.cfg.Scheduler.Done(g, hgsched.Result{})
		select {
		case <-ctx.Done():
			return g, nil, hgcall.NewRefusal(hgcall.KindNotRun, hgcall.ReasonDeadline, retryNotRun, "no endpoint was free for a suspect, or a copy of the request ran, until the deadline")
		case <-time.After(isolationRetry):
		}
	}
}

// enter takes the request's turn, and a suspect's row; it fails if the verdict has changed meanwhile.
func (j *job) enter(ctx context.Context, g hgsched.Grant, verdict hgquarantine.Verdict) (leave func(), ok bool) {
	j.entries++
	if !j.o.cfg.Turns.Enter(j.plan.Content, j.holder()) {
		return nil, false
	}
	j.proven = false
	leave = func() { j.leaveTurn(j.proven) }
	if j.o.check(j.plan.Content) != verdict {
		leave()
		return nil, false
	}
	if !j.alone {
		return leave, true
	}
	entered, err := j.o.isolation.enter(ctx, g.Endpoint)
	if err != nil {
		j.o.cfg.Log.Warn("suspect waits", "program", j.c.Program, "endpoint", g.Endpoint, "err", err)
	}
	if !entered {
		leave()
		return nil, false
	}
	return func() {
		j.o.isolation.leave(g.Endpoint)
		j.leaveTurn(j.proven)
	}, true
}

// prove lets other copies of the request run: an endpoint has begun to answer it.
func (j *job) prove() {
	if !j.proven && !j.alone {
		j.proven = true
		j.leaveTurn(true)
	}
}

func (j *job) leaveTurn(proven bool) {
	j.o.cfg.Turns.Leave(j.plan.Content, j.holder(), proven)
}

// holder names the copy in its present entry, so that the end of an earlier one, told late, does not end this one's turn.
func (j *job) holder() hgquarantine.Holder {
	return hgquarantine.HolderOf(j.o.cfg.Run, j.c.Program, fmt.Sprintf("%s %d", j.c.Request, j.entries))
}

func (j *job) acquire(ctx context.Context, exclude string) (g hgsched.Grant, err error) {
	deadline, _ := ctx.Deadline()
	r := hgsched.Request{
		Program: j.c.Program, Request: j.c.Request, Target: j.c.Service(),
		New:    j.c.Seq == 1 && j.c.Root() == j.c.Program && j.c.Kind == hgcall.Model,
		Served: j.plan.Served, Tokens: int(j.plan.Context + j.c.NewBytes()/bytesPerToken), Output: int(min(j.plan.MaxTokens, expectedOutput)),
		Exclude: exclude, Alone: j.alone, Left: time.Until(deadline),
	}
	if j.c.Kind == hgcall.Model {
		r.Home, r.HomeTokens = j.s.home(j.c.Program)
	}
	g, err = j.o.cfg.Scheduler.Acquire(ctx, r)
	j.times.Queue += g.Waited
	return g, err
}

// bytesPerToken is the usual size of a token, for estimates only.
const bytesPerToken = 4

// expectedOutput is the number of output tokens that a call is expected to need at most.
const expectedOutput = 256

func (s *shard) home(program string) (endpoint string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keeper == nil {
		return "", 0
	}
	endpoint, tokens, _ = s.keeper.Home(program)
	return endpoint, tokens
}
