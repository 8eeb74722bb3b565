package hgnode

import (
	"context"
	"errors"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgmember"
	"hyssopgrade/hgshard"
	"hyssopgrade/internal/peer/hginner"
	"hyssopgrade/internal/serve/hgowner"
)

// Bounds of the search for a shard's owner.
const (
	routeTimeout  = 8 * time.Second
	routeRetry    = 50 * time.Millisecond
	watchInterval = 100 * time.Millisecond
)

// errNoOwner ends the search for a shard's owner.
var errNoOwner = hgcall.NewRefusal(hgcall.KindUnavailable, hgcall.ReasonOwner, time.Second,
	"the program's owner can't be reached; ask again under the same identifier")

// errPreset refuses new work under a preset that may be out of force.
var errPreset = hgcall.NewRefusal(hgcall.KindUnavailable, hgcall.ReasonPreset, 2*time.Second,
	"this node can't confirm the preset in force; ask another node")

// ownerTask is work for the owner of a program's shard.
type ownerTask struct {
	program string
	// local does it on this node, remote on the node at address; both return a *hgowner.NotOwner where the shard is not owned.
	local  func() error
	remote func(ctx context.Context, address string) error
	// again tells whether it may be done again after a failure; without it, it may.
	again func() bool
}

// onOwner does a task on this node or another, again with the next owner when the shard moves.
func (n *Node) onOwner(ctx context.Context, t ownerTask) (err error) {
	if err := hgcall.CheckProgram(t.program); err != nil {
		return err
	}
	shard := hgshard.Of(t.program, uint32(n.cfg.Node.Shards))
	end := n.now() + routeTimeout
	var other *hgowner.NotOwner
	var refusal *hgcall.Refusal
	for {
		err = t.local()
		if !errors.As(err, &other) {
			return err
		}
		if m, ok := n.ownerOf(shard); ok {
			err = n.forward(ctx, m, t.remote)
			if err == nil || errors.As(err, &refusal) {
				return err
			}
			if !errors.As(err, &other) {
				n.log.Warn("forward failed", "program", t.program, "to", m.ID, "err", err)
			}
		}
		if t.again != nil && !t.again() || n.now() >= end {
			return errNoOwner
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(routeRetry):
		}
	}
}

// ownerOf returns the owner of a shard, if it is another node that is heard.
func (n *Node) ownerOf(shard uint32) (m hgmember.Member, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := n.owners[shard].id
	if id == n.cfg.Node.ID {
		return m, false
	}
	m, ok = n.view.Member(id)
	return m, ok && n.hears(m.ID)
}

// hears tells whether a peer is live; the caller holds the lock.
func (n *Node) hears(id string) bool {
	for _, m := range n.view.Live(n.now()) {
		if m.ID == id {
			return true
		}
	}
	return false
}

// forward runs remote until it ends or the owner falls silent.
func (n *Node) forward(ctx context.Context, m hgmember.Member, remote func(ctx context.Context, address string) error) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := n.timer.Every(watchInterval, func(time.Duration) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if !n.hears(m.ID) {
			cancel()
		}
	})
	defer stop()
	return remote(ctx, m.Inner)
}

// Serve runs a call wherever its shard is owned.
func (n *Node) Serve(ctx context.Context, c hgcall.Call, out hgowner.Sink) (r hgcall.Result, err error) {
	if err := c.Check(); err != nil {
		return r, err
	}
	began := n.now()
	left := func() hgcall.Call { return c.WithDeadline(c.Deadline - (n.now() - began)) }
	passed := false
	err = n.onOwner(ctx, ownerTask{
		program: c.Program,
		local: func() (err error) {
			r, err = n.serveOwn(ctx, left(), out)
			return err
		},
		remote: func(ctx context.Context, address string) (err error) {
			var sent bool
			r, sent, err = n.client.Call(ctx, address, left(), out)
			passed = passed || sent
			return err
		},
		again: func() bool { return !passed && n.now()-began < c.Deadline },
	})
	return r, err
}

// serveOwn runs a call of a shard that this node owns, if the preset in force is known.
func (n *Node) serveOwn(ctx context.Context, c hgcall.Call, out hgowner.Sink) (r hgcall.Result, err error) {
	n.mu.Lock()
	open := n.gate.Open(n.now())
	n.mu.Unlock()
	if !open {
		return r, errPreset
	}
	return n.owner.Call(ctx, c, out)
}

// End ends a program.
func (n *Node) End(ctx context.Context, program string) (err error) {
	return n.onOwner(ctx, ownerTask{
		program: program,
		local:   func() error { return n.owner.End(ctx, program) },
		remote:  func(ctx context.Context, address string) error { return n.client.End(ctx, address, program) },
	})
}

// Status returns a program's status.
func (n *Node) Status(ctx context.Context, program string) (s hgowner.ProgramStatus, err error) {
	a, err := n.query(ctx, hginner.Query{Program: program})
	if err != nil {
		return s, err
	}
	return *a.Status, nil
}

// History returns a program's conversation.
func (n *Node) History(ctx context.Context, program string) (ms []hgcall.Message, err error) {
	a, err := n.query(ctx, hginner.Query{Program: program, History: true})
	return a.History, err
}

func (n *Node) query(ctx context.Context, q hginner.Query) (a hginner.Answer, err error) {
	err = n.onOwner(ctx, ownerTask{
		program: q.Program,
		local: func() (err error) {
			a, err = (*peerSide)(n).Query(q)
			return err
		},
		remote: func(ctx context.Context, address string) (err error) {
			a, err = n.client.Query(ctx, address, q)
			return err
		},
	})
	return a, err
}

// Refused counts a refusal.
func (n *Node) Refused(r *hgcall.Refusal) { n.metrics.Refused(r) }
