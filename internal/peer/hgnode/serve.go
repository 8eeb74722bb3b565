package hgnode

import (
	"context"
	"errors"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgmember"
	"hyssopgrade/hgshard"
	"hyssopgrade/internal/peer/hgnoderpc"
	"hyssopgrade/internal/serve/hgowner"
)

const (
	// routeTimeout is how long runOnOwner searches for a shard's owner.
	routeTimeout = 8 * time.Second
	// routeRetryInterval is the pause between the attempts of runOnOwner.
	routeRetryInterval = 50 * time.Millisecond
	// livenessInterval is the period of the check that the owner to which a task was forwarded is still live.
	livenessInterval = 100 * time.Millisecond
)

// errNoOwner is the answer to a caller when the shard's owner was not reached.
var errNoOwner = hgcall.NewRefusal(hgcall.KindUnavailable, hgcall.ReasonOwner, time.Second,
	"the program's owner can't be reached; ask again under the same identifier")

// errPresetUnconfirmed refuses new work under a preset that may no longer be in force.
var errPresetUnconfirmed = hgcall.NewRefusal(hgcall.KindUnavailable, hgcall.ReasonPreset, 2*time.Second,
	"this node can't confirm the preset in force; ask another node")

// ownerTask is work that only the owner of a program's shard can do.
type ownerTask struct {
	program string
	// local does the work on this node, remote on the node at address. Both return a *hgowner.NotOwner if that node does not
	// own the shard.
	local  func() error
	remote func(ctx context.Context, address string) error
	// retryable reports whether the work may be attempted again after a failure; nil means always.
	retryable func() bool
}

// runOnOwner runs a task on this node or on the owner it knows. When the shard moves or forwarding fails, it tries again with
// the owner known then, until routeTimeout or until the task is no longer retryable.
func (n *Node) runOnOwner(ctx context.Context, t ownerTask) (err error) {
	if err := hgcall.CheckProgram(t.program); err != nil {
		return err
	}
	shard := hgshard.Of(t.program, uint32(n.cfg.Node.Shards))
	end := n.now() + routeTimeout
	var notOwner *hgowner.NotOwner
	var refusal *hgcall.Refusal
	for {
		err = t.local()
		if !errors.As(err, &notOwner) {
			return err
		}
		if m, ok := n.ownerOf(shard); ok {
			err = n.forward(ctx, m, t.remote)
			if err == nil || errors.As(err, &refusal) {
				return err
			}
			if !errors.As(err, &notOwner) {
				n.log.Warn("forward failed", "program", t.program, "to", m.ID, "err", err)
			}
		}
		if t.retryable != nil && !t.retryable() || n.now() >= end {
			return errNoOwner
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(routeRetryInterval):
		}
	}
}

// ownerOf returns the owner of a shard if it is another node and live.
func (n *Node) ownerOf(shard uint32) (m hgmember.Member, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := n.owners[shard].id
	if id == n.cfg.Node.ID {
		return m, false
	}
	m, ok = n.view.Member(id)
	return m, ok && n.isLive(m.ID)
}

// isLive reports whether a peer is live. n.mu must be held.
func (n *Node) isLive(id string) bool {
	for _, m := range n.view.Live(n.now()) {
		if m.ID == id {
			return true
		}
	}
	return false
}

// forward runs remote against the owner, and cancels it when the owner is no longer live.
func (n *Node) forward(ctx context.Context, m hgmember.Member, remote func(ctx context.Context, address string) error) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := n.timer.Every(livenessInterval, func(time.Duration) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if !n.isLive(m.ID) {
			cancel()
		}
	})
	defer stop()
	return remote(ctx, m.Inner)
}

// Serve runs a call on the owner of its shard. It does not retry once output has reached the caller.
func (n *Node) Serve(ctx context.Context, c hgcall.Call, out hgowner.Sink) (r hgcall.Result, err error) {
	if err := c.Check(); err != nil {
		return r, err
	}
	began := n.now()
	remaining := func() hgcall.Call { return c.WithDeadline(c.Deadline - (n.now() - began)) }
	streamed := false
	err = n.runOnOwner(ctx, ownerTask{
		program: c.Program,
		local: func() (err error) {
			r, err = n.serveLocally(ctx, remaining(), out)
			return err
		},
		remote: func(ctx context.Context, address string) (err error) {
			var sent bool
			r, sent, err = n.client.Call(ctx, address, remaining(), out)
			streamed = streamed || sent
			return err
		},
		retryable: func() bool { return !streamed && n.now()-began < c.Deadline },
	})
	return r, err
}

// serveLocally runs a call of a shard that this node owns, unless the preset in force is not confirmed.
func (n *Node) serveLocally(ctx context.Context, c hgcall.Call, out hgowner.Sink) (r hgcall.Result, err error) {
	n.mu.Lock()
	open := n.gate.Open(n.now())
	n.mu.Unlock()
	if !open {
		return r, errPresetUnconfirmed
	}
	return n.owner.Call(ctx, c, out)
}

// End ends a program on the owner of its shard.
func (n *Node) End(ctx context.Context, program string) (err error) {
	return n.runOnOwner(ctx, ownerTask{
		program: program,
		local:   func() error { return n.owner.End(ctx, program) },
		remote:  func(ctx context.Context, address string) error { return n.client.End(ctx, address, program) },
	})
}

// Status returns a program's status from the owner of its shard.
func (n *Node) Status(ctx context.Context, program string) (s hgowner.ProgramStatus, err error) {
	a, err := n.query(ctx, hgnoderpc.Query{Program: program})
	if err != nil {
		return s, err
	}
	return *a.Status, nil
}

// History returns a program's conversation from the owner of its shard.
func (n *Node) History(ctx context.Context, program string) (ms []hgcall.Message, err error) {
	a, err := n.query(ctx, hgnoderpc.Query{Program: program, History: true})
	return a.History, err
}

func (n *Node) query(ctx context.Context, q hgnoderpc.Query) (a hgnoderpc.Answer, err error) {
	err = n.runOnOwner(ctx, ownerTask{
		program: q.Program,
		local: func() (err error) {
			a, err = (*peerHandler)(n).Query(q)
			return err
		},
		remote: func(ctx context.Context, address string) (err error) {
			a, err = n.client.Query(ctx, address, q)
			return err
		},
	})
	return a, err
}

// Refused counts a refusal in the metrics.
func (n *Node) Refused(r *hgcall.Refusal) { n.metrics.Refused(r) }
