package hgpeer

import (
	"math/rand/v2"
	"slices"

	"github.com/samber/lo"
)

// On large sites nodes do not exchange heartbeats with all others. A few nodes of each failure domain, its hubs, receive
// heartbeats from all nodes of the domain; the first of these, the gateway hubs, exchange heartbeats between the
// domains. The reply to a heartbeat carries only what has changed in the hub's state, so that without changes each node
// handles a few small messages per period, whatever the size of the site.

const (
	// maxMeshPeers is the number of peers up to which all nodes exchange heartbeats with each other.
	maxMeshPeers = 16
	// hubsPerDomain is the number of hubs of a failure domain.
	hubsPerDomain = 3
	// gatewayHubs is the number of gateway hubs of a domain: those that exchange heartbeats with the hubs of other domains.
	gatewayHubs = 2
	// hubRetryPeriods is the number of periods between two attempts to use unresponsive nodes as hubs again.
	hubRetryPeriods = 16
	// failurePenalty is added to the count of missed heartbeats when one fails with an error, beside the one that is added
	// when it is sent.
	failurePenalty = 1
)

// isLarge reports whether the site is too large for heartbeats between all nodes; m.mu is held.
func (m *Members) isLarge() bool { return len(m.members) > maxMeshPeers }

// hubs returns the hubs of each failure domain: the nodes with the most processor cores that answer heartbeats. Nodes may
// disagree about them for a moment, so every node answers heartbeats as a hub does. m.mu is held.
func (m *Members) hubs() map[string][]Info {
	hubs := map[string][]Info{}
	consider := func(i *Info) {
		of := hubs[i.Domain]
		if len(of) == hubsPerDomain && byPower(*i, of[hubsPerDomain-1]) > 0 {
			return
		}
		at, _ := slices.BinarySearchFunc(of, *i, byPower)
		of = slices.Insert(of, at, *i)
		hubs[i.Domain] = of[:min(len(of), hubsPerDomain)]
	}
	for _, p := range m.members {
		if !p.info.Stopping && p.missed < maxMissedBeats {
			consider(&p.info)
		}
	}
	if !m.self.Stopping {
		consider(&m.self)
	}
	return hubs
}

// hubRank returns the index of this node among the hubs of its domain, or -1 if it is not a hub.
func (m *Members) hubRank(v *view) int {
	return slices.IndexFunc(v.hubs[m.self.Domain], func(i Info) bool { return i.Name == m.self.Name })
}

// IsLarge reports whether the site has too many nodes for each of them to send heartbeats to all others.
func (m *Members) IsLarge() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isLarge()
}

// Targets returns the peers to send a heartbeat to in a round: local ones are in this failure domain, remote ones in
// others. On a large site it counts each heartbeat as missed until the peer answers.
func (m *Members) Targets(round int) (local, remote []Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteRound(m.timer.Now())
	m.prune()
	if !m.isLarge() {
		for _, p := range m.members {
			switch {
			case p.info.Domain == m.self.Domain:
				local = append(local, p.info)
			case round%remoteBeatPeriods == 0:
				remote = append(remote, p.info)
			}
		}
		return local, remote
	}
	if round%hubRetryPeriods == 0 {
		m.retryHubs()
	}
	v := m.currentView()
	local = lo.Reject(v.hubs[m.self.Domain], func(i Info, _ int) bool { return i.Name == m.self.Name })
	remote = m.remoteTargets(v)
	for _, i := range append(slices.Clone(local), remote...) {
		p := m.members[i.Name]
		p.missed++
		m.dirty = m.dirty || p.missed == maxMissedBeats
	}
	return local, remote
}

// remoteTargets returns the peers in other failure domains to send a heartbeat to, on a large site; m.mu is held.
func (m *Members) remoteTargets(v *view) (remote []Info) {
	rank := m.hubRank(v)
	if rank < 0 || rank >= gatewayHubs {
		return nil
	}
	now := m.timer.Now()
	for domain, hubs := range v.hubs {
		if domain == m.self.Domain {
			continue
		}
		remote = append(remote, hubs[:min(len(hubs), gatewayHubs-rank)]...)
		if !m.hasFreshSource(domain, now) {
			// No hub of the domain has answered recently. Any other node there can answer too, and knows the present hubs.
			nodes := lo.Filter(lo.Values(m.members), func(p *member, _ int) bool { return p.info.Domain == domain && !lo.Contains(remote, p.info) })
			if len(nodes) > 0 {
				remote = append(remote, nodes[rand.IntN(len(nodes))].info)
			}
		}
	}
	return remote
}

// retryHubs gives the unresponsive nodes that would otherwise be hubs one more heartbeat to answer; m.mu is held.
func (m *Members) retryHubs() {
	v := m.currentView()
	for _, p := range m.members {
		hubs := v.hubs[p.info.Domain]
		if p.missed >= maxMissedBeats && (len(hubs) < hubsPerDomain || byPower(p.info, hubs[len(hubs)-1]) < 0) {
			p.missed = maxMissedBeats - 1
			m.dirty = true
		}
	}
}

// HeartbeatFailed records that a heartbeat to a peer failed with an error.
func (m *Members) HeartbeatFailed(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.members[name]; ok {
		p.missed += failurePenalty
		m.dirty = m.dirty || p.missed >= maxMissedBeats
	}
}

// UnreachableDomains returns the number of configured failure domains in which this node knows no live node. Nodes there may
// have taken part in a program without this node knowing of them. It is 0 on a small site.
func (m *Members) UnreachableDomains() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isLarge() {
		return 0
	}
	reached := map[string]bool{m.self.Domain: true}
	for _, i := range m.live() {
		reached[i.Domain] = true
	}
	return lo.CountBy(m.domains, func(d string) bool { return !reached[d] })
}

// IsIdle reports whether this node serves no callers and no programs because stronger nodes of its failure domain do, while
// a hub of the domain answers its heartbeats.
func (m *Members) IsIdle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isLarge() {
		return false
	}
	v := m.currentView()
	local := lo.Filter(append(slices.Clone(v.live), m.self), func(i Info, _ int) bool { return i.Domain == m.self.Domain && !i.Stopping })
	if lo.ContainsBy(ServingNodes(local), func(i Info) bool { return i.Name == m.self.Name }) {
		return false
	}
	now := m.timer.Now()
	return lo.SomeBy(v.hubs[m.self.Domain], func(i Info) bool {
		p, ok := m.members[i.Name]
		return ok && m.heardRecently(p, now)
	})
}
