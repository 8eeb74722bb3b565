package hgentryvm

import (
	"context"
	"errors"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/state/hgfeed"
	"hyssopgrade/internal/state/hgreach"
)

const (
	// reachPeriod is the time between two looks at the state of the store.
	reachPeriod = 100 * time.Millisecond
	// probePeriod is the time between two probes. They overlap, as a probe that was sent during an outage is never answered.
	probePeriod = 200 * time.Millisecond
	// probeTimeout bounds a probe. It is longer than a slow store takes to answer.
	probeTimeout = 600 * time.Millisecond
	// overdueAfter is how long the answer to a poll may be overdue while the store answers other calls. It is longer than a slow store
	// takes to answer.
	overdueAfter = 400 * time.Millisecond
	// recentAnswer is the age up to which an answer of the store shows that this node reaches it although a peer does not.
	recentAnswer = 300 * time.Millisecond
)

// reach tells the monitor of the store of each call. It implements hgplatform.Observer.
type reach struct {
	monitor *hgreach.Monitor
	timer   hgtimer.Timer
}

// Begin records the start of a call; the returned function records its end.
func (r reach) Begin(hold time.Duration) (end func(err error)) {
	c := r.monitor.Begin(r.timer.Now(), hold)
	return func(err error) {
		outcome := hgreach.Answered
		switch {
		case errors.Is(err, context.Canceled):
			outcome = hgreach.Canceled
		case err != nil:
			outcome = hgreach.Failed
		}
		r.monitor.End(c, outcome, r.timer.Now())
	}
}

// state returns the state of the store as this node sees it.
func (r reach) state() hgreach.State { return r.monitor.State(r.timer.Now()) }

// ok reports whether the store answers this node.
func (r reach) ok() bool { return r.state() != hgreach.Unreachable }

// needsProbe reports whether this node has to find out if the store answers: the store is slow or lost, or a peer has lost it
// and this node has had no answer since.
func (n *Node) needsProbe(now time.Duration) bool {
	if n.reach.monitor.State(now) != hgreach.Reachable {
		return true
	}
	return n.reach.monitor.SinceAnswer(now) > recentAnswer && lo.SomeBy(n.members.Live(), func(i hgpeer.Info) bool { return i.Ready && !i.StoreOK })
}

// watchStore probes the store when needed, so that this node learns of an outage and of its end without a request that depends
// on the store. Peers are told at once when the store is lost or back.
func (n *Node) watchStore(now time.Duration) {
	if ok := n.reach.ok(); ok != n.storeOK {
		n.storeOK = ok
		n.broadcastHeartbeat()
		if ok {
			for _, w := range n.watches {
				w.Retry()
			}
		}
	}
	if n.storeOK {
		n.retryOverdue()
	}
	if now-n.probedAt < probePeriod || !n.needsProbe(now) {
		return
	}
	n.probedAt = now
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, probeTimeout)
		defer cancel()
		if err := n.store.Probe(ctx, nodeKey(n.cfg.VM.Name)); err != nil {
			n.log.Debug("probe of the store failed", "error", err)
		}
	}()
}

// retryOverdue sends the polls of watches anew that have no answer although the store answers other calls: their connections have gone
// silent, and idle ones may have as well.
func (n *Node) retryOverdue() {
	overdue := lo.Filter(lo.Values(n.watches), func(w *hgfeed.Watch, _ int) bool { return w.IsOverdue(overdueAfter) })
	if len(overdue) == 0 {
		return
	}
	n.metrics.Count("store_conns_silent")
	n.log.Info("polls of the store are overdue while it answers other calls; opening new connections", "polls", len(overdue))
	n.store.CloseIdle()
	for _, w := range overdue {
		w.Retry()
	}
}
