package hgentryvm

import (
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgpace"
)

const (
	// pacePeriod is the time between two reviews of which replicas are suspected of hanging. It is short against the least silence
	// that is overdue, 100 ms.
	pacePeriod = 50 * time.Millisecond
	// extraBeatInterval is the least time between two heartbeats that are sent at once for a replica that is overdue: with one more
	// per period, their number at most doubles.
	extraBeatInterval = 300 * time.Millisecond
)

// pace exchanges with the peers which replicas are overdue, and logs the verdicts.
type pace struct {
	node *Node
	// lastBeat is when heartbeats were last sent at once, pending says that there is news since, and stated is what this node stated
	// in the last review; only review uses them.
	lastBeat time.Duration
	pending  bool
	stated   map[string]bool
}

// newsToSend returns what a heartbeat states about overdue replicas.
func (p *pace) newsToSend() hgpace.News {
	p.node.members.SetPace(p.node.replicas.News())
	return p.node.members.PaceToSend()
}

// setSite updates which nodes take turns in probing replicas.
func (p *pace) setSite() {
	n := p.node
	self := n.members.Self()
	live := append(n.members.Live(), self)
	peers := lo.FilterMap(live, func(i hgpeer.Info, _ int) (string, bool) { return i.Name, i.Domain == self.Domain && !i.Stopping })
	domains := lo.Uniq(lo.Map(live, func(i hgpeer.Info, _ int) string { return i.Domain }))
	site := lo.Map(live, func(i hgpeer.Info, _ int) string { return i.Name })
	n.replicas.SetSite(self.Name, site, peers, domains, time.Duration(time.Now().UnixNano())-n.timer.Now())
}

// review updates the verdicts and logs those that begin or end. It sends heartbeats at once when this node has found a replica
// overdue or has learned of a verdict, which a hub passes on.
func (p *pace) review(now time.Duration) {
	n := p.node
	n.replicas.SetNews(n.members.Pace())
	for _, c := range n.replicas.Review() {
		p.pending = true
		if c.Suspected {
			n.metrics.Count("replicaSuspected")
			n.log.Warn("replica is suspected of hanging", "replica", c.ID, "born", c.Born, "vms", c.Reporters, "requests", c.Requests, "silence", c.Silence)
		} else {
			n.log.Info("replica is no longer suspected of hanging", "replica", c.ID, "born", c.Born, "lasted", c.Lasted, "answered", c.Answered)
		}
	}
	p.compare(n.replicas.News())
	if p.pending && (p.lastBeat == 0 || now-p.lastBeat >= extraBeatInterval) {
		p.pending, p.lastBeat = false, now
		n.broadcastHeartbeat()
	}
}

// compare records whether this node states anything that it did not state before.
func (p *pace) compare(news hgpace.News) {
	stated := map[string]bool{}
	for _, o := range news.Overdue {
		stated[o.ID] = true
		p.pending = p.pending || !p.stated[o.ID]
	}
	for _, a := range news.Answers {
		stated["answered "+a.ID] = true
		p.pending = p.pending || !p.stated["answered "+a.ID]
	}
	p.stated = stated
}
