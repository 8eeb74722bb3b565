package hgowner

import (
	"context"
	"fmt"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgquarantine"
	"hyssopgrade/internal/serve/hgsched"
)

// errQuarantined refuses a request that has crashed too many endpoints.
var errQuarantined = hgcall.NewRefusal(hgcall.KindNotRun, hgcall.ReasonQuarantined, 0, "requests with this content crashed endpoints and are no longer run")

// place waits for a slot on an endpoint and for the request's turn, and returns the function that ends the turn. Until the request
// is proven, its copies run one at a time in the cell. A suspect runs on an endpoint without other suspects of the cell.
func (j *job) place(ctx context.Context, exclude string) (g hgsched.Grant, leave func(), err error) {
	for {
		verdict := j.o.quarantineVerdict(j.plan.Content)
		if verdict == hgquarantine.Refused {
			return g, nil, errQuarantined
		}
		j.alone = verdict == hgquarantine.Alone
		if g, err = j.acquire(ctx, exclude); err != nil {
			return g, nil, err
		}
		if leave, ok := j.enterTurn(ctx, g, verdict); ok {
			return g, leave, nil
		}
		j.o.cfg.Scheduler.Done(g, hgsched.Result{})
		select {
		case <-ctx.Done():
			return g, nil, hgcall.NewRefusal(hgcall.KindNotRun, hgcall.ReasonDeadline, notRunRetryAfter, "no endpoint was free for a suspect, or a copy of the request ran, until the deadline")
		case <-time.After(isolationRetryInterval):
		}
	}
}

// enterTurn takes the request's turn and, for a suspect, the isolation row of the endpoint. It also fails if the verdict about the
// request has changed meanwhile.
func (j *job) enterTurn(ctx context.Context, g hgsched.Grant, verdict hgquarantine.Verdict) (leave func(), ok bool) {
	j.turnAttempts++
	if !j.o.cfg.Turns.Enter(j.plan.Content, j.turnHolder()) {
		return nil, false
	}
	j.proven = false
	leave = func() { j.leaveTurn(j.proven) }
	if j.o.quarantineVerdict(j.plan.Content) != verdict {
		leave()
		return nil, false
	}
	if !j.alone {
		return leave, true
	}
	entered, err := j.o.isolation.acquire(ctx, g.Endpoint)
	if err != nil {
		j.o.cfg.Log.Warn("isolation row not acquired; suspect request waits", "program", j.c.Program, "endpoint", g.Endpoint, "err", err)
	}
	if !entered {
		leave()
		return nil, false
	}
	return func() {
		j.o.isolation.release(g.Endpoint)
		j.leaveTurn(j.proven)
	}, true
}

// markProven ends the turn and lets other copies of the request run, as an endpoint has begun to answer this one. A suspect keeps
// its turn until it has ended.
func (j *job) markProven() {
	if !j.proven && !j.alone {
		j.proven = true
		j.leaveTurn(true)
	}
}

func (j *job) leaveTurn(proven bool) {
	j.o.cfg.Turns.Leave(j.plan.Content, j.turnHolder(), proven)
}

// turnHolder identifies this copy of the request and its current attempt to take a turn, so that a late message that ends the turn
// of an earlier attempt does not end the current one.
func (j *job) turnHolder() hgquarantine.Holder {
	return hgquarantine.HolderOf(j.o.cfg.Run, j.c.Program, fmt.Sprintf("%s %d", j.c.Request, j.turnAttempts))
}

func (j *job) acquire(ctx context.Context, exclude string) (g hgsched.Grant, err error) {
	deadline, _ := ctx.Deadline()
	r := hgsched.Request{
		Program: j.c.Program, Request: j.c.Request, Target: j.c.Service(),
		New:    j.c.Seq == 1 && j.c.Root() == j.c.Program && j.c.Kind == hgcall.Model,
		Served: j.plan.Served, Tokens: int(j.plan.Context + j.c.NewBytes()/bytesPerToken), Output: int(min(j.plan.MaxTokens, expectedOutput)),
		Exclude: exclude, Alone: j.alone, Remaining: time.Until(deadline),
	}
	if j.c.Kind == hgcall.Model {
		r.Home, r.HomeTokens = j.s.prefixEndpoint(j.c.Program)
	}
	g, err = j.o.cfg.Scheduler.Acquire(ctx, r)
	j.times.Queue += g.Waited
	return g, err
}

// bytesPerToken is the usual size of a token in bytes, for estimates only.
const bytesPerToken = 4

// expectedOutput caps the number of output tokens that the scheduler is told to expect of a call.
const expectedOutput = 256

// prefixEndpoint returns the endpoint that holds a program's prefix, and the prefix's length in tokens.
func (s *shard) prefixEndpoint(program string) (endpoint string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keeper == nil {
		return "", 0
	}
	endpoint, tokens, _ = s.keeper.Home(program)
	return endpoint, tokens
}
