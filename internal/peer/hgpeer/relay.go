package hgpeer

import (
	"time"

	"github.com/samber/lo"
)

const (
	// meshPeers is the number of peers up to which all exchange heartbeats. Beyond it failure domains hear of each other
	// through their placers only, as bytes between domains are paid for and would grow with the square of the nodes.
	meshPeers = 16
	// recoverBeats is the number of periods between two heartbeats of a placer to all nodes of other domains, which finds
	// their placers again after they were lost from sight.
	recoverBeats = 16
)

// Relay is what a placer tells of its failure domain.
type Relay struct {
	Domain string
	// Members are the nodes that answer there.
	Members []Info
	// InFlight is the number of their requests on each replica.
	InFlight map[string]int
	// Age is how old this is.
	Age time.Duration
}

type heardRelay struct {
	Relay
	at time.Duration
}

// isLarge says whether the site is too large for heartbeats between all nodes; m.mu is held.
func (m *Members) isLarge() bool { return len(m.members) > meshPeers }

// isPlacer says whether this node places the requests of its failure domain; m.mu is held.
func (m *Members) isPlacer() bool {
	name := m.placer(m.self.Domain).Name
	return name == m.self.Name || name == ""
}

// Targets returns the peers that get a heartbeat in a round: those of this failure domain, and some of the others.
func (m *Members) Targets(round int) (near, far []Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	placers := m.placers()
	for _, p := range m.members {
		switch {
		case p.info.Domain == m.self.Domain:
			near = append(near, p.info)
		case !m.isLarge() && round%farBeats == 0, m.isPlacer() && (placers[p.info.Name] || round%recoverBeats == 0):
			far = append(far, p.info)
		}
	}
	return near, far
}

// RelaysFor returns what this node tells of others in its answer to a peer's heartbeat.
func (m *Members) RelaysFor(asker Info) (relays []Relay) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isLarge() || !m.isPlacer() {
		return nil
	}
	if asker.Domain != m.self.Domain {
		return []Relay{m.ownRelay()}
	}
	now := m.timer.Now()
	for _, r := range m.relayed {
		r.Age = now - r.at
		relays = append(relays, r.Relay)
	}
	return relays
}

// ownRelay tells of this node's failure domain; m.mu is held.
func (m *Members) ownRelay() Relay {
	r := Relay{Domain: m.self.Domain, InFlight: map[string]int{}}
	now := m.timer.Now()
	for _, p := range m.members {
		if p.info.Domain != m.self.Domain || !m.answers(p, now) {
			continue
		}
		r.Members = append(r.Members, p.info)
		for id, n := range p.inFlight {
			r.InFlight[id] += n
		}
	}
	r.Members = append(r.Members, m.self)
	for id, n := range m.ownInFlight {
		r.InFlight[id] += n
	}
	return r
}

// takeRelays takes what a peer tells of other failure domains, where it is newer; m.mu is held.
func (m *Members) takeRelays(relays []Relay) {
	now := m.timer.Now()
	for _, r := range relays {
		at := now - r.Age
		if r.Domain == m.self.Domain || at <= m.relayed[r.Domain].at {
			continue
		}
		m.relayed[r.Domain] = heardRelay{Relay: r, at: at}
		for _, i := range r.Members {
			m.heardOf(i, at)
		}
	}
}

// heardOf takes what a relay tells of a node, unless more is known; m.mu is held.
func (m *Members) heardOf(i Info, at time.Duration) {
	if have, ok := m.members[i.Name]; ok && have.answered && have.heard >= at {
		return
	}
	m.heardAt(i, nil, at)
}

// freshRelays returns the relays, by failure domain, that are not too old; m.mu is held.
func (m *Members) freshRelays(now time.Duration) map[string]heardRelay {
	return lo.PickBy(m.relayed, func(domain string, r heardRelay) bool { return now-r.at < m.silent(domain) })
}

// Unheard returns the number of the site's failure domains of which nothing is known on a large site, so that nodes
// there may be concerned that this one does not know.
func (m *Members) Unheard() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isLarge() {
		return 0
	}
	now := m.timer.Now()
	heard := map[string]bool{m.self.Domain: true}
	for _, p := range m.members {
		if m.answers(p, now) {
			heard[p.info.Domain] = true
		}
	}
	return lo.CountBy(m.domains, func(d string) bool { return !heard[d] })
}
