package hgsoak

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/proof/hgsite"
)

// exchange is one request that a caller wrote to a connection, and how it ended.
type exchange struct {
	attempt, path string
	vm            int
	// conn is the kind of the connection: kept if it had carried another request before, or new.
	conn string
	// written is the time at which the last byte of the request was written, zero if it was not, and ended the time of the end.
	written, ended time.Time
	// deadline is the time that the caller gave the request; it is shorter than the time-outs of the routes.
	deadline time.Duration
	// answered reports whether the answer was complete.
	answered bool
	err      error
	// stopped is the time from the last SIGTERM of the VM to the end; 0 if there was none.
	stopped time.Duration
}

// String describes how the exchange ended.
func (e exchange) String() string {
	return fmt.Sprintf("attempt %s of %s at vm-%d on a %s connection ended %v after its last byte, %v after SIGTERM",
		e.attempt, e.path, e.vm, e.conn, e.age().Round(100*time.Microsecond), e.stopped.Round(time.Millisecond))
}

// age returns the time from the last byte of the request to the end.
func (e exchange) age() time.Duration { return e.ended.Sub(e.written) }

// observe returns a context for one call, and an exchange that is filled in as the call goes on.
func observe(ctx context.Context) (traced context.Context, take func() exchange) {
	var mu sync.Mutex
	var e exchange
	locked := func(set func()) {
		mu.Lock()
		defer mu.Unlock()
		set()
	}
	traced = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			locked(func() { e.conn, e.written = lo.Ternary(i.Reused, "kept", "new"), time.Time{} })
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			locked(func() {
				if i.Err == nil {
					e.written = time.Now()
				}
			})
		},
	})
	return traced, func() exchange {
		mu.Lock()
		defer mu.Unlock()
		return e
	}
}

// errBrokenOff is the error of an answer that ended before it was complete.
var errBrokenOff = errors.New("the answer broke off")

// exchange sends a request once and records how the exchange ended.
func (s *soak) exchange(ctx context.Context, vm int, q hgsite.Request) (reply hgsite.Reply, err error) {
	q.SendOnce = true
	traced, take := observe(ctx)
	reply, err = s.site.Call(traced, s.node(vm), q)
	e := take()
	e.attempt, e.path, e.vm, e.ended, e.err = q.ID, q.Path, vm, time.Now(), err
	e.answered, e.deadline = err == nil && reply.Complete, q.Deadline
	if err == nil && !reply.Complete {
		e.err = errBrokenOff
	}
	if at := s.procs[vm].stoppedAt.Load(); at != nil {
		e.stopped = e.ended.Sub(*at)
	}
	s.check.recordExchange(e)
	return reply, err
}
