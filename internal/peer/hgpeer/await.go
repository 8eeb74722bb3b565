package hgpeer

import (
	"context"
	"time"
)

// waitPolicy bounds the wait for the reply to a call.
type waitPolicy struct {
	// timeout bounds the call, whether or not the peer shows signs of life.
	timeout time.Duration
	// checkInterval is the time between two calls of isSilent, which ends the wait when it returns true.
	checkInterval time.Duration
	isSilent      func() bool
}

// await calls a peer and waits for its reply within the policy. A failed call marks the peer as suspect, unless the
// caller's own context has ended.
func await[R any](caller context.Context, m *Members, peer Info, p waitPolicy, send func(ctx context.Context) (R, error)) (reply R, err error) {
	ctx, cancel := context.WithTimeout(caller, p.timeout)
	defer cancel()
	type result struct {
		reply R
		err   error
	}
	done := make(chan result, 1)
	go func() {
		reply, err := send(ctx)
		done <- result{reply, err}
	}()
	for {
		select {
		case r := <-done:
			if r.err != nil && caller.Err() == nil {
				m.Suspect(peer.Name)
			}
			return r.reply, r.err
		case <-time.After(p.checkInterval):
			if p.isSilent() {
				cancel()
			}
		}
	}
}
