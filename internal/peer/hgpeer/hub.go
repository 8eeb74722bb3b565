package hgpeer

import (
	"math/rand/v2"
	"slices"

	"github.com/samber/lo"
)

// On large sites nodes do not exchange heartbeats with all others. A few of each failure domain, its hubs, hear all
// nodes of it directly; the first hubs of the domains hear each other. An answer to a heartbeat tells what has changed
// in what the hub knows, so that a quiet site costs each node a few small messages a period, at any size.

const (
	// meshPeers is the number of peers up to which all exchange heartbeats.
	meshPeers = 16
	// hubCount is the number of hubs of a failure domain.
	hubCount = 3
	// speakers is the number of hubs that exchange heartbeats with the hubs of other domains.
	speakers = 2
	// recoverBeats is the number of periods after which a hub that did not answer is tried again.
	recoverBeats = 16
	// failedBeats is what a heartbeat that failed counts for, beside being one without an answer.
	failedBeats = 1
)

// isLarge says whether the site is too large for heartbeats between all nodes; m.mu is held.
func (m *Members) isLarge() bool { return len(m.members) > meshPeers }

// hubs returns the hubs of each failure domain: the strongest nodes that do not leave heartbeats unanswered. Nodes may
// differ about them for a moment, so that any node answers heartbeats as a hub does. m.mu is held.
func (m *Members) hubs() map[string][]Info {
	hubs := map[string][]Info{}
	consider := func(i *Info) {
		of := hubs[i.Domain]
		if len(of) == hubCount && byPower(*i, of[hubCount-1]) > 0 {
			return
		}
		at, _ := slices.BinarySearchFunc(of, *i, byPower)
		of = slices.Insert(of, at, *i)
		hubs[i.Domain] = of[:min(len(of), hubCount)]
	}
	for _, p := range m.members {
		if !p.info.Stopping && p.missed < silentBeats {
			consider(&p.info)
		}
	}
	if !m.self.Stopping {
		consider(&m.self)
	}
	return hubs
}

// rank returns the place of this node among the hubs of its domain; -1 if it is none.
func (m *Members) rank(v *view) int {
	return slices.IndexFunc(v.hubs[m.self.Domain], func(i Info) bool { return i.Name == m.self.Name })
}

// IsLarge says whether the site is too large for messages from each node to all others.
func (m *Members) IsLarge() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isLarge()
}

// Targets returns the peers that get a heartbeat in a round, of this failure domain and of the others.
func (m *Members) Targets(round int) (near, far []Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget()
	if !m.isLarge() {
		for _, p := range m.members {
			switch {
			case p.info.Domain == m.self.Domain:
				near = append(near, p.info)
			case round%farBeats == 0:
				far = append(far, p.info)
			}
		}
		return near, far
	}
	if round%recoverBeats == 0 {
		m.retryHubs()
	}
	v := m.look()
	near = lo.Reject(v.hubs[m.self.Domain], func(i Info, _ int) bool { return i.Name == m.self.Name })
	far = m.farTargets(v)
	for _, i := range append(slices.Clone(near), far...) {
		p := m.members[i.Name]
		p.missed++
		m.changed = m.changed || p.missed == silentBeats
	}
	return near, far
}

// farTargets returns the peers in other failure domains that get a heartbeat; m.mu is held.
func (m *Members) farTargets(v *view) (far []Info) {
	rank := m.rank(v)
	if rank < 0 || rank >= speakers {
		return nil
	}
	now := m.timer.Now()
	for domain, hubs := range v.hubs {
		if domain == m.self.Domain {
			continue
		}
		far = append(far, hubs[:min(len(hubs), speakers-rank)]...)
		if !m.hasSource(domain, now) {
			// Any node of the domain knows its hubs.
			nodes := lo.Filter(lo.Values(m.members), func(p *member, _ int) bool { return p.info.Domain == domain && !lo.Contains(far, p.info) })
			if len(nodes) > 0 {
				far = append(far, nodes[rand.IntN(len(nodes))].info)
			}
		}
	}
	return far
}

// retryHubs lets the nodes that would be hubs if they answered be tried once more; m.mu is held.
func (m *Members) retryHubs() {
	v := m.look()
	for _, p := range m.members {
		hubs := v.hubs[p.info.Domain]
		if p.missed >= silentBeats && (len(hubs) < hubCount || byPower(p.info, hubs[len(hubs)-1]) < 0) {
			p.missed = silentBeats - 1
			m.changed = true
		}
	}
}

// Failed tells that a heartbeat to a peer failed.
func (m *Members) Failed(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.members[name]; ok {
		p.missed += failedBeats
		m.changed = m.changed || p.missed >= silentBeats
	}
}

// Unheard returns the number of the site's failure domains of which nothing is known on a large site, so that nodes
// there may be concerned that this one does not know.
func (m *Members) Unheard() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isLarge() {
		return 0
	}
	heard := map[string]bool{m.self.Domain: true}
	for _, i := range m.live() {
		heard[i.Domain] = true
	}
	return lo.CountBy(m.domains, func(d string) bool { return !heard[d] })
}

// IsIdle says whether this node serves nobody as stronger ones do, and a hub of its failure domain answers.
func (m *Members) IsIdle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isLarge() {
		return false
	}
	v := m.look()
	near := lo.Filter(append(slices.Clone(v.live), m.self), func(i Info, _ int) bool { return i.Domain == m.self.Domain && !i.Stopping })
	if lo.ContainsBy(Strong(near), func(i Info) bool { return i.Name == m.self.Name }) {
		return false
	}
	now := m.timer.Now()
	return lo.SomeBy(v.hubs[m.self.Domain], func(i Info) bool {
		p, ok := m.members[i.Name]
		return ok && m.isDirect(p, now)
	})
}
