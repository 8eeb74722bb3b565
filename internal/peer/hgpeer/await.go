package hgpeer

import (
	"context"
	"time"
)

// patience is how long a message to a peer may take.
type patience struct {
	// limit bounds the message.
	limit time.Duration
	// tick is the time between two looks whether the peer has fallen silent.
	tick     time.Duration
	isSilent func() bool
}

// await sends a message to a peer and waits for its answer while patience lasts. An error that is not the caller's casts
// suspicion on the peer.
func await[R any](caller context.Context, m *Members, peer Info, p patience, send func(ctx context.Context) (R, error)) (reply R, err error) {
	ctx, cancel := context.WithTimeout(caller, p.limit)
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
		case <-time.After(p.tick):
			if p.isSilent() {
				cancel()
			}
		}
	}
}
