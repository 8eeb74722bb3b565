package hgpeer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Claim says of a node whether it answers.
type Claim struct {
	Info Info
	Live bool
}

// Cursor is how far a node knows what a run of a peer tells; without a run it knows nothing.
type Cursor struct {
	// Run is a digest of the run's name.
	Run uint64
	// Claims and Programs are the numbers of the last change of a claim and of the last begun program that are known.
	Claims, Programs uint64
}

// Ask is what a heartbeat asks for.
type Ask struct {
	Known Cursor
	// Loads asks for the requests in flight.
	Loads bool
	// SignOnly asks for nothing but a sign of life.
	SignOnly bool
}

// News is what a node tells of others: what has changed since what the asker knows.
type News struct {
	// Now is what the asker knows with it, and Whole says that it builds on nothing.
	Now    Cursor
	Whole  bool
	Claims []Claim
	// Programs are those that nodes of the failure domain have begun to serve, by digest.
	Programs []uint64
	// InFlight is the number of requests on each replica, without those of the asker.
	InFlight map[string]int
}

// source is a peer that tells of others.
type source struct {
	domain string
	known  Cursor
	// at is when it last answered.
	at time.Duration
	// live names the nodes that it says answer.
	live     map[string]bool
	inFlight map[string]int
}

// claimLog numbers the changes of what a node tells of others.
type claimLog struct {
	last    uint64
	entries map[string]*claimEntry
	// at is when it was last brought up to date.
	at time.Duration
}

type claimEntry struct {
	Claim
	changed uint64
}

func newClaimLog() claimLog { return claimLog{entries: map[string]*claimEntry{}} }

// set takes over a claim.
func (l *claimLog) set(name string, c Claim) {
	e, ok := l.entries[name]
	if ok && e.Claim == c || !ok && !c.Live {
		return
	}
	l.last++
	l.entries[name] = &claimEntry{Claim: c, changed: l.last}
}

// since returns the claims that changed after a number.
func (l *claimLog) since(number uint64, keep func(i Info) bool) (claims []Claim) {
	for _, e := range l.entries {
		// Who knows nothing need not hear of what is gone.
		if e.changed > number && keep(e.Info) && (e.Live || number > 0) {
			claims = append(claims, e.Claim)
		}
	}
	return claims
}

// vouches says whether this node tells others that a peer answers. Of its own failure domain it tells only what it
// has heard itself, and of others what nodes there have told it, so that nodes cannot keep a dead one alive by telling
// each other. m.mu is held.
func (m *Members) vouches(p *member, farSources []*source, now time.Duration) bool {
	return m.isDirect(p, now) || p.info.Domain != m.self.Domain && isClaimed(p.info.Name, farSources)
}

// publish brings the claims up to date; m.mu is held.
func (m *Members) publish(now time.Duration) {
	if m.claims.at > 0 && now-m.claims.at < viewFor {
		return
	}
	m.claims.at = now
	farSources := lo.Reject(m.freshSources(now), func(s *source, _ int) bool { return s.domain == m.self.Domain })
	for name, p := range m.members {
		m.claims.set(name, Claim{Info: p.info, Live: m.vouches(p, farSources, now)})
	}
	for name, e := range m.claims.entries {
		if _, ok := m.members[name]; !ok && e.Live {
			m.claims.set(name, Claim{Info: e.Info})
		}
	}
}

// AskOf returns what a heartbeat to a peer asks for.
func (m *Members) AskOf(peer Info) (a Ask) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.sources[peer.Name]; ok {
		a.Known = s.known
	}
	if !m.isLarge() {
		return a
	}
	a.Loads = peer.Domain != m.self.Domain || m.firstHub() == peer.Name && m.busy > 0 && m.timer.Now()-m.busy < busyFor
	return a
}

// Answer takes a heartbeat of a peer and returns what this node tells it of others; nil on a small site.
func (m *Members) Answer(b Beat) *News {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isLarge() {
		m.introduce(b.Info)
		m.begun.addHeard(b.Programs)
		return nil
	}
	m.hear(b)
	m.begun.addHeard(b.Programs)
	if b.Ask.SignOnly {
		return nil
	}
	now := m.timer.Now()
	m.publish(now)
	far := b.Info.Domain != m.self.Domain
	run := xxhash.Sum64String(m.self.Boot)
	n := &News{Now: Cursor{Run: run, Claims: m.claims.last, Programs: m.begun.last}, Whole: b.Ask.Known.Run != run}
	known := b.Ask.Known
	if n.Whole {
		known = Cursor{}
	}
	n.Claims = m.claims.since(known.Claims, func(i Info) bool {
		return i.Name != b.Info.Name && (!far || i.Domain == m.self.Domain)
	})
	if !far {
		n.Programs = m.begun.since(known.Programs)
	}
	if b.Ask.Loads {
		n.InFlight = m.loadsFor(b, far, now)
	}
	return n
}

// takeNews takes over what a peer tells of others, unless later news came before; m.mu is held.
func (m *Members) takeNews(from Info, n News) {
	s, ok := m.sources[from.Name]
	if !ok || s.known.Run != n.Now.Run {
		if !n.Whole {
			return
		}
		s = &source{domain: from.Domain, live: map[string]bool{}}
		m.sources[from.Name] = s
	}
	if n.Now.Claims < s.known.Claims || n.Now.Programs < s.known.Programs {
		return
	}
	if n.Whole {
		clear(s.live)
		m.changed = true
	}
	s.known, s.at, s.inFlight = n.Now, m.timer.Now(), n.InFlight
	for _, c := range n.Claims {
		m.takeClaim(s, c)
	}
	m.begun.addHeard(n.Programs)
}

func (m *Members) takeClaim(s *source, c Claim) {
	if m.introduce(c.Info) == nil {
		return
	}
	if c.Live {
		s.live[c.Info.Name] = true
	} else {
		delete(s.live, c.Info.Name)
	}
	m.changed = true
}

// freshSources returns the sources that answered lately; m.mu is held.
func (m *Members) freshSources(now time.Duration) (fresh []*source) {
	for _, s := range m.sources {
		if now-s.at < m.silent(s.domain) {
			fresh = append(fresh, s)
		}
	}
	return fresh
}

// hasSource says whether a node of a failure domain has lately told of it; m.mu is held.
func (m *Members) hasSource(domain string, now time.Duration) bool {
	return slices.ContainsFunc(m.freshSources(now), func(s *source) bool { return s.domain == domain })
}

// isClaimed says whether one of the sources tells that a node answers.
func isClaimed(name string, sources []*source) bool {
	return slices.ContainsFunc(sources, func(s *source) bool { return s.live[name] })
}
