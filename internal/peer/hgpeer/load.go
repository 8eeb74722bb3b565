package hgpeer

import "time"

// busyFor is how long after its last request a node still asks for the loads of replicas.
const busyFor = 2 * time.Second

// firstHub returns the name of the first hub of this failure domain; m.mu is held.
func (m *Members) firstHub() string {
	if hubs := m.look().hubs[m.self.Domain]; len(hubs) > 0 {
		return hubs[0].Name
	}
	return m.self.Name
}

// InFlight returns the number of requests that all live peers run on each replica, as far as this node is told.
func (m *Members) InFlight() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timer.Now()
	if !m.isLarge() {
		return m.nearInFlight(now)
	}
	if first, ok := m.sources[m.firstHub()]; ok && now-first.at < m.silent(m.self.Domain) {
		return first.inFlight
	}
	return sum(m.nearInFlight(now), m.farInFlight(now))
}

// nearInFlight counts the requests of the peers that this node hears itself; on a large site those of its domain.
func (m *Members) nearInFlight(now time.Duration) map[string]int {
	all := map[string]int{}
	for _, p := range m.members {
		if m.isDirect(p, now) && (p.info.Domain == m.self.Domain || !m.isLarge()) {
			addTo(all, p.inFlight)
		}
	}
	return all
}

// farInFlight counts the requests of other failure domains, by one of the hubs of each; m.mu is held.
func (m *Members) farInFlight(now time.Duration) map[string]int {
	latest := map[string]*source{}
	for _, s := range m.sources {
		best, ok := latest[s.domain]
		if s.domain != m.self.Domain && now-s.at < m.silent(s.domain) && (!ok || s.at > best.at) {
			latest[s.domain] = s
		}
	}
	all := map[string]int{}
	for _, s := range latest {
		addTo(all, s.inFlight)
	}
	return all
}

func addTo(all, more map[string]int) {
	for id, n := range more {
		all[id] += n
	}
}

func sum(counts ...map[string]int) map[string]int {
	all := map[string]int{}
	for _, c := range counts {
		addTo(all, c)
	}
	return all
}

// loadsFor returns the requests in flight as another node needs them; m.mu is held.
func (m *Members) loadsFor(b Beat, far bool, now time.Duration) map[string]int {
	all := sum(m.ownInFlight, m.nearInFlight(now))
	if far {
		return all
	}
	addTo(all, m.farInFlight(now))
	for id, n := range b.InFlight {
		if all[id] -= n; all[id] <= 0 {
			delete(all, id)
		}
	}
	return all
}
