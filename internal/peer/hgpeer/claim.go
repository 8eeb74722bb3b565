package hgpeer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"hyssopgrade/internal/serve/hgpace"
)

// Claim is a statement of one node about another: whether it is live, and its Info. Claims on budgets are another thing; see
// package hgledger.
type Claim struct {
	Info Info
	Live bool
}

// Cursor is a position in the log of changes that one run of a peer's process keeps. The zero Cursor is before the
// first change.
type Cursor struct {
	// Run is a digest of the peer's Info.Boot. After a restart of the peer the numbers start again.
	Run uint64
	// Claims and Programs are the numbers of the last claim change and of the last program that the reader has received.
	Claims, Programs uint64
}

// GossipQuery is the part of a heartbeat that says what the reply is to contain.
type GossipQuery struct {
	// Known is the position up to which the sender has received the changes of the receiver.
	Known Cursor
	// Loads asks for the number of requests in flight on each replica.
	Loads bool
	// SignOnly asks for a sign of life only: the reply holds no gossip, and the request carries no load report.
	SignOnly bool
}

// GossipUpdate is what a node reports about other nodes: the changes since the position in the query.
type GossipUpdate struct {
	// Now is the position after this update. Whole says that the update is complete and replaces what was received before,
	// because the reader's position belongs to another run.
	Now    Cursor
	Whole  bool
	Claims []Claim
	// Programs are the digests of the programs that nodes of the failure domain have started to serve.
	Programs []uint64
	// InFlight is the number of requests in flight on each replica, without those of the node that asked.
	InFlight map[string]int
	// Pace is what nodes state about overdue replicas. It comes with InFlight.
	Pace hgpace.News
}

// source is a peer that reports about other nodes.
type source struct {
	domain string
	cursor Cursor
	// lastAnswer is when it last sent an update.
	lastAnswer time.Duration
	// live is the set of nodes that it claims to be live.
	live     map[string]bool
	inFlight map[string]int
	pace     statement
}

// claimLog holds the claims of this node about its peers, and numbers their changes.
type claimLog struct {
	lastNumber uint64
	entries    map[string]*claimEntry
	// refreshed is when the claims were last compared with the members.
	refreshed time.Duration
}

// claimEntry is a claim with the number of its last change.
type claimEntry struct {
	Claim
	changed uint64
}

func newClaimLog() claimLog { return claimLog{entries: map[string]*claimEntry{}} }

// set records a claim if it is a change; an unknown node that is not live is none.
func (l *claimLog) set(name string, c Claim) {
	e, ok := l.entries[name]
	if ok && e.Claim == c || !ok && !c.Live {
		return
	}
	l.lastNumber++
	l.entries[name] = &claimEntry{Claim: c, changed: l.lastNumber}
}

// since returns the claims with a change after a number whose node passes keep.
func (l *claimLog) since(number uint64, keep func(i Info) bool) (claims []Claim) {
	for _, e := range l.entries {
		// A reader without any state needs no claims about nodes that are not live.
		if e.changed > number && keep(e.Info) && (e.Live || number > 0) {
			claims = append(claims, e.Claim)
		}
	}
	return claims
}

// reportsLive reports whether this node claims to others that a peer is live. Peers of its own failure domain are
// reported only on its own observation, and peers of other domains also on the claims of nodes there. Otherwise nodes
// could keep a dead peer alive by repeating each other's claims. m.mu is held.
func (m *Members) reportsLive(p *member, remoteSources []*source, now time.Duration) bool {
	return m.heardRecently(p, now) || p.info.Domain != m.self.Domain && isClaimed(p.info.Name, remoteSources)
}

// refreshClaims records the present state of the members in the claim log, at most once in viewTTL; m.mu is held.
func (m *Members) refreshClaims(now time.Duration) {
	if m.claims.refreshed > 0 && now-m.claims.refreshed < viewTTL {
		return
	}
	m.claims.refreshed = now
	remoteSources := lo.Reject(m.freshSources(now), func(s *source, _ int) bool { return s.domain == m.self.Domain })
	for name, p := range m.members {
		m.claims.set(name, Claim{Info: p.info, Live: m.reportsLive(p, remoteSources, now)})
	}
	for name, e := range m.claims.entries {
		if _, ok := m.members[name]; !ok && e.Live {
			m.claims.set(name, Claim{Info: e.Info})
		}
	}
}

// GossipQueryFor returns the query to send with a heartbeat to a peer.
func (m *Members) GossipQueryFor(peer Info) (q GossipQuery) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.sources[peer.Name]; ok {
		q.Known = s.cursor
	}
	if !m.isLarge() {
		return q
	}
	q.Loads = peer.Domain != m.self.Domain || m.firstHub() == peer.Name && m.lastBusy > 0 && m.timer.Now()-m.lastBusy < busyTime
	return q
}

// HandleHeartbeat takes a heartbeat from a peer and returns the update for it, or nil if the heartbeat asks for a sign of life only. On
// a small site, where all nodes exchange heartbeats, the update is nil, and the heartbeat does not make the peer live: its reply
// to a heartbeat of this node does.
func (m *Members) HandleHeartbeat(b Beat) *GossipUpdate {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isLarge() {
		m.recordPace(m.upsert(b.Info), b)
		m.programLog.addReceived(b.Programs)
		return nil
	}
	m.recordHeartbeat(b)
	m.programLog.addReceived(b.Programs)
	if b.Ask.SignOnly {
		return nil
	}
	now := m.timer.Now()
	m.refreshClaims(now)
	remote := b.Info.Domain != m.self.Domain
	run := xxhash.Sum64String(m.self.Boot)
	u := &GossipUpdate{Now: Cursor{Run: run, Claims: m.claims.lastNumber, Programs: m.programLog.lastNumber}, Whole: b.Ask.Known.Run != run}
	known := b.Ask.Known
	if u.Whole {
		known = Cursor{}
	}
	u.Claims = m.claims.since(known.Claims, func(i Info) bool {
		return i.Name != b.Info.Name && (!remote || i.Domain == m.self.Domain)
	})
	if !remote {
		u.Programs = m.programLog.since(known.Programs)
	}
	if b.Ask.Loads {
		u.InFlight = m.inFlightFor(b, remote, now)
		u.Pace = m.paceFor(b, remote, now)
	}
	return u
}

// applyUpdate applies an update from a peer. It ignores one that is older than an update already applied, and one that
// builds on changes that this node has not received. m.mu is held.
func (m *Members) applyUpdate(from Info, u GossipUpdate) {
	s, ok := m.sources[from.Name]
	if !ok || s.cursor.Run != u.Now.Run {
		if !u.Whole {
			return
		}
		s = &source{domain: from.Domain, live: map[string]bool{}}
		m.sources[from.Name] = s
	}
	if u.Now.Claims < s.cursor.Claims || u.Now.Programs < s.cursor.Programs {
		return
	}
	if u.Whole {
		clear(s.live)
		m.dirty = true
	}
	s.cursor, s.lastAnswer, s.inFlight = u.Now, m.timer.Now(), u.InFlight
	s.pace = statement{u.Pace, m.timer.Now()}
	for _, c := range u.Claims {
		m.applyClaim(s, c)
	}
	m.programLog.addReceived(u.Programs)
}

// applyClaim applies one claim of a source; m.mu is held.
func (m *Members) applyClaim(s *source, c Claim) {
	if m.upsert(c.Info) == nil {
		return
	}
	if c.Live {
		s.live[c.Info.Name] = true
	} else {
		delete(s.live, c.Info.Name)
	}
	m.dirty = true
}

// freshSources returns the sources that answered within the silence timeout; m.mu is held.
func (m *Members) freshSources(now time.Duration) (fresh []*source) {
	for _, s := range m.sources {
		if now-s.lastAnswer < m.silenceTimeout(s.domain) {
			fresh = append(fresh, s)
		}
	}
	return fresh
}

// hasFreshSource reports whether a node of a failure domain is a fresh source; m.mu is held.
func (m *Members) hasFreshSource(domain string, now time.Duration) bool {
	return slices.ContainsFunc(m.freshSources(now), func(s *source) bool { return s.domain == domain })
}

// isClaimed reports whether one of the sources claims that a node is live.
func isClaimed(name string, sources []*source) bool {
	return slices.ContainsFunc(sources, func(s *source) bool { return s.live[name] })
}
