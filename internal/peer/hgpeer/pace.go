package hgpeer

import (
	"time"

	"hyssopgrade/internal/serve/hgpace"
)

// statement is the last news of a node about overdue replicas, and when it came.
type statement struct {
	news hgpace.News
	at   time.Duration
}

func (s statement) asOf(now time.Duration) hgpace.News { return s.news.After(now - s.at) }

// recordPace records the news in a heartbeat or in the reply to one; p is nil for a node without a member. m.mu is held.
func (m *Members) recordPace(p *member, b Beat) {
	if p != nil {
		p.pace = statement{b.Pace, m.timer.Now()}
	}
}

// SetPace sets what this node states about overdue replicas, which it reports to peers.
func (m *Members) SetPace(n hgpace.News) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownPace = statement{n, m.timer.Now()}
}

// Pace returns what the peers state about overdue replicas, by the latest reports.
func (m *Members) Pace() hgpace.News {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timer.Now()
	all := []hgpace.News{m.remotePace(now)}
	for _, s := range m.sources {
		all = append(all, s.pace.asOf(now))
	}
	for _, p := range m.members {
		all = append(all, p.pace.asOf(now))
	}
	return hgpace.Merge(all...).From(func(vm string) bool { return vm != m.self.Name })
}

// PaceToSend returns the news for a heartbeat: the statements of this node, and if it is a hub those of its failure domain.
func (m *Members) PaceToSend() hgpace.News {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timer.Now()
	if m.isLarge() && m.hubRank(m.currentView()) >= 0 {
		return m.domainPace(now)
	}
	return m.ownPace.asOf(now)
}

// domainPace returns the statements of the nodes of this failure domain. Of each peer it passes on only what the peer itself has
// observed, so that no statement circulates between hubs. m.mu is held.
func (m *Members) domainPace(now time.Duration) hgpace.News {
	all := []hgpace.News{m.ownPace.asOf(now)}
	for name, p := range m.members {
		if p.info.Domain == m.self.Domain {
			all = append(all, p.pace.asOf(now).From(func(vm string) bool { return vm == name }))
		}
	}
	return hgpace.Merge(all...)
}

// remotePace returns the statements of the nodes of other failure domains; m.mu is held.
func (m *Members) remotePace(now time.Duration) hgpace.News {
	var all []hgpace.News
	for _, p := range m.members {
		if p.info.Domain != m.self.Domain {
			all = append(all, p.pace.asOf(now))
		}
	}
	for _, s := range m.sources {
		if s.domain != m.self.Domain {
			all = append(all, s.pace.asOf(now))
		}
	}
	return hgpace.Merge(all...)
}

// paceFor returns the news for the sender of a heartbeat. A node of another failure domain gets the statements of this domain,
// and a node of this domain those of the site without its own. m.mu is held.
func (m *Members) paceFor(b Beat, remote bool, now time.Duration) hgpace.News {
	all := m.domainPace(now)
	if !remote {
		all = hgpace.Merge(all, m.remotePace(now))
	}
	return all.From(func(vm string) bool { return vm != b.Info.Name })
}
