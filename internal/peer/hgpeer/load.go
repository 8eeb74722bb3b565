package hgpeer

import "time"

// busyTime is how long after its last request a node still asks for the loads of replicas.
const busyTime = 2 * time.Second

// firstHub returns the name of the first hub of this failure domain, or of this node if there is none; m.mu is held.
func (m *Members) firstHub() string {
	if hubs := m.currentView().hubs[m.self.Domain]; len(hubs) > 0 {
		return hubs[0].Name
	}
	return m.self.Name
}

// InFlight returns the number of requests of all live peers in flight on each replica, according to the latest reports.
func (m *Members) InFlight() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timer.Now()
	if !m.isLarge() {
		return m.directInFlight(now)
	}
	if first, ok := m.sources[m.firstHub()]; ok && now-first.lastAnswer < m.silenceTimeout(m.self.Domain) {
		return first.inFlight
	}
	return sum(m.directInFlight(now), m.remoteInFlight(now))
}

// directInFlight sums the requests of the peers that this node hears from directly, on a large site only of those in its
// failure domain; m.mu is held.
func (m *Members) directInFlight(now time.Duration) map[string]int {
	all := map[string]int{}
	for _, p := range m.members {
		if m.heardRecently(p, now) && (p.info.Domain == m.self.Domain || !m.isLarge()) {
			addTo(all, p.inFlight)
		}
	}
	return all
}

// remoteInFlight sums the requests of the other failure domains, for each domain by its latest source; m.mu is held.
func (m *Members) remoteInFlight(now time.Duration) map[string]int {
	latest := map[string]*source{}
	for _, s := range m.sources {
		best, ok := latest[s.domain]
		if s.domain != m.self.Domain && now-s.lastAnswer < m.silenceTimeout(s.domain) && (!ok || s.lastAnswer > best.lastAnswer) {
			latest[s.domain] = s
		}
	}
	all := map[string]int{}
	for _, s := range latest {
		addTo(all, s.inFlight)
	}
	return all
}

// addTo adds the counts in more to all.
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

// inFlightFor returns the requests in flight to report to the sender of a heartbeat. A node of another failure domain gets
// the sum of this domain, and a node of this domain the sum of the site without its own requests. m.mu is held.
func (m *Members) inFlightFor(b Beat, remote bool, now time.Duration) map[string]int {
	all := sum(m.ownInFlight, m.directInFlight(now))
	if remote {
		return all
	}
	addTo(all, m.remoteInFlight(now))
	for id, n := range b.InFlight {
		if all[id] -= n; all[id] <= 0 {
			delete(all, id)
		}
	}
	return all
}
