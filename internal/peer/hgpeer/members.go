package hgpeer

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgtimer"
)

const (
	// basePeriod is the time between two heartbeats to a peer of the same failure domain, with up to basePeriodPeers peers.
	basePeriod = 300 * time.Millisecond
	// periodPerPeer lengthens basePeriod for each peer beyond basePeriodPeers, so that heartbeats take a bounded share of a VM.
	periodPerPeer   = 4 * time.Millisecond
	basePeriodPeers = 8
	// remoteBeatPeriods is the number of periods between two heartbeats to a peer in another failure domain. Such a peer
	// owns no programs of this node's callers while a node of this domain can, and traffic between domains costs money.
	remoteBeatPeriods = 3
	// maxMissedBeats is the number of heartbeat periods without an answer after which a peer is no longer live.
	maxMissedBeats = 3
	// suspectTime is how long a peer stays suspect after a failed call while its heartbeats go on.
	suspectTime = 700 * time.Millisecond
	// forgetAfter is the time after which a peer that nobody has mentioned is removed, unless the store registers it.
	forgetAfter = time.Minute
	// participantTimeout is how long a silent peer that has not announced its stop may still take part in programs. After
	// that time a majority of the nodes treats it as gone.
	participantTimeout = 5 * time.Second
	// viewTTL is how long a computed view of the members is used.
	viewTTL = 25 * time.Millisecond
)

// member is what this node knows of a peer. All times are readings of the timer of Members.
type member struct {
	info     Info
	inFlight map[string]int
	pace     statement
	// answered says that the peer has replied to a heartbeat of this node or, on a large site, sent one itself; lastHeard is
	// when it last did. The peer is suspect, and not live, before suspectUntil.
	answered                bool
	lastHeard, suspectUntil time.Duration
	// lastClaimed is when other nodes last claimed that the peer is live; on large sites only.
	lastClaimed time.Duration
	// added is when this node first learned of the peer or found its row written again, and lastMentioned when the peer was last
	// mentioned: by itself, by another node or by the store.
	added, lastMentioned time.Duration
	// registered says that the peer has a row in the store, and unregistered is when its row was found missing, or when the peer
	// was added without one. row is what the row last held, and rewrites counts how often the same process has
	// written it again since it was last heard.
	registered   bool
	unregistered time.Duration
	row          Info
	rewrites     int
	// missed is the number of heartbeats to the peer since lastHeard, plus penalties for failed ones. It is used
	// on large sites only.
	missed int
}

// Members is the membership of a site as one node sees it; it is safe for concurrent use.
type Members struct {
	timer   hgtimer.Timer
	created time.Duration

	mu sync.Mutex
	// lastOutage is when this node or a peer last was without the store, or had claims on budgets that are not in a durable
	// row; 0 is never.
	lastOutage time.Duration
	self       Info
	members    map[string]*member
	// votesFrom is when this node has a vote among the members, and removesFrom when it may remove others; never before its row
	// is written.
	votesFrom, removesFrom time.Duration
	// lastRound is when this node last sent heartbeats. It has observed its peers since observesSince: it has sent heartbeats without a pause
	// and, on a large site, heard of its failure domain all the time. lastHub is when it last was a hub; 0 is never.
	lastRound, observesSince, lastHub time.Duration
	// rowsAge returns how old this node's copy of the rows of the nodes is at most; nil is up to date.
	rowsAge func() time.Duration
	// domains are the failure domains that the settings name.
	domains []string
	// ownInFlight is the number of this node's requests on each replica, and lastBusy when there last was any.
	ownInFlight map[string]int
	lastBusy    time.Duration
	// ownPace is what this node states about overdue replicas.
	ownPace statement
	// cachedView is the latest computed view, and dirty says that members have changed since.
	cachedView view
	dirty      bool
	// sources are the peers that report about other nodes, and claims what this node reports; on large sites only.
	sources    map[string]*source
	claims     claimLog
	programLog programLog
}

// view is the state derived from the members at one time.
type view struct {
	at time.Duration
	// live are the live peers that are not suspect, in no order.
	live []Info
	// hubs are the hubs of each failure domain in the order of byPower; on large sites only.
	hubs map[string][]Info
	// domainPeers is the number of peers in this failure domain, live or not.
	domainPeers int
}

// NewMembers returns the membership of a node that has no peers yet; domains are the failure domains in the settings. If self
// is joining, it has no vote until Join.
func NewMembers(timer hgtimer.Timer, self Info, domains ...string) *Members {
	m := &Members{
		timer: timer, created: timer.Now(), self: self, members: map[string]*member{}, domains: domains, dirty: true,
		sources: map[string]*source{}, claims: newClaimLog(), programLog: newProgramLog(),
	}
	m.lastRound, m.observesSince = m.created, m.created
	if self.Joining {
		m.votesFrom, m.removesFrom = never, never
	}
	return m
}

// SetInFlight sets the number of this node's requests on each replica, which it reports to peers.
func (m *Members) SetInFlight(n map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownInFlight = n
	if len(n) > 0 {
		m.lastBusy = m.timer.Now()
	}
}

// Age returns the time since m was created at the start of the node. It also serves as a monotonic clock.
func (m *Members) Age() time.Duration { return m.timer.Now() - m.created }

// Self returns the Info that this node sends to peers.
func (m *Members) Self() Info {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// SetSelf replaces the Info of this node by change's result, with a new revision if the two differ.
func (m *Members) SetSelf(change func(i Info) Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next := change(m.self); next != m.self {
		next.Revision = m.self.Revision + 1
		m.self, m.dirty = next, true
	}
	m.noteOutage(m.self)
}

// staleRowsTime is how long after the last sign of an outage the store's rows may understate the claims on budgets.
const staleRowsTime = 3 * time.Second

// noteOutage updates lastOutage if a node is without the store or has claims on budgets that are not in a durable row; m.mu
// is held.
func (m *Members) noteOutage(i Info) {
	if i.Ready && !i.StoreOK || i.Unsaved {
		m.lastOutage = m.timer.Now()
	}
}

// RowsMayBeStale reports whether, within staleRowsTime, this node or a peer has been without the store or had claims on
// budgets that are not in a durable row.
func (m *Members) RowsMayBeStale() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	// On a large site updates hold changes only, so the last known Info of each live peer is evaluated here again.
	if m.isLarge() {
		for _, i := range m.live() {
			m.noteOutage(i)
		}
	}
	return m.lastOutage > 0 && m.timer.Now()-m.lastOutage < staleRowsTime
}

// upsert adds or updates the member for an Info that came from the node itself, a peer or the store. It returns nil if the
// Info is of this node or has no name. m.mu is held.
func (m *Members) upsert(i Info) *member {
	if i.Name == m.self.Name || i.Name == "" {
		return nil
	}
	now := m.timer.Now()
	have, ok := m.members[i.Name]
	m.noteOutage(i)
	if !ok {
		have = &member{info: i, added: now, unregistered: now}
		m.members[i.Name], m.dirty = have, true
	}
	have.lastMentioned = now
	m.merge(have, i)
	return have
}

// merge replaces the Info of a member unless the one it has is newer; m.mu is held.
func (m *Members) merge(p *member, i Info) {
	if p.info == i || !i.isNewer(p.info) {
		return
	}
	if p.info.Boot != i.Boot {
		p.suspectUntil, p.missed = 0, 0
	}
	p.info, m.dirty = i, true
}

// isNewer reports whether i is at least as recent as o, of the same node: from a later start of the process, or from the
// same start with no lower revision.
func (i Info) isNewer(o Info) bool {
	if i.Started != o.Started {
		return i.Started > o.Started
	}
	return i.Revision >= o.Revision
}

// HandleReply records the reply of a peer to a heartbeat of this node, and applies the update in it.
func (m *Members) HandleReply(b Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.recordHeartbeat(b); p != nil && b.News != nil {
		m.applyUpdate(p.info, *b.News)
	}
}

// recordHeartbeat records that a heartbeat or a reply came from the peer itself, and returns its member; nil as in upsert.
// m.mu is held.
func (m *Members) recordHeartbeat(b Beat) *member {
	p := m.upsert(b.Info)
	if p == nil {
		return nil
	}
	now := m.timer.Now()
	m.dirty = m.dirty || !p.answered || !m.heardRecently(p, now)
	p.answered, p.lastHeard, p.missed, p.rewrites = true, now, 0, 0
	if !b.Ask.SignOnly {
		p.inFlight = b.InFlight
		m.recordPace(p, b)
	}
	return p
}

// Suspect marks a peer as suspect for suspectTime, after a call to it failed. A suspect peer is not live.
func (m *Members) Suspect(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if have, ok := m.members[name]; ok {
		have.suspectUntil = m.timer.Now() + suspectTime
		m.dirty = true
	}
}

// All returns all known peers, live or not, in no order.
func (m *Members) All() []Info {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.prune()
	return lo.MapToSlice(m.members, func(_ string, p *member) Info { return p.info })
}

// prune removes the peers that have no row in the store and that nobody has mentioned for forgetAfter; m.mu is held.
func (m *Members) prune() {
	now := m.timer.Now()
	known := len(m.members)
	maps.DeleteFunc(m.members, func(name string, p *member) bool { return !p.registered && now-p.lastMentioned > forgetAfter })
	maps.DeleteFunc(m.sources, func(name string, _ *source) bool { return m.members[name] == nil })
	m.dirty = m.dirty || len(m.members) < known
}

// Live returns the live peers that are not suspect, ordered by name.
func (m *Members) Live() (live []Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	live = slices.Clone(m.live())
	slices.SortFunc(live, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// HeartbeatPeriod returns the present heartbeat period: the time between two heartbeats to a peer of this failure domain.
func (m *Members) HeartbeatPeriod() (period time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.period()
}

// period returns the heartbeat period. On a large site it grows with the number of nodes in the failure domain instead of
// the site, because a hub receives heartbeats from all of these; m.mu is held.
func (m *Members) period() time.Duration {
	peers := len(m.members)
	if m.isLarge() {
		peers = m.cachedView.domainPeers
	}
	return basePeriod + time.Duration(max(peers-basePeriodPeers, 0))*periodPerPeer
}

// silenceTimeout returns the time without a heartbeat after which a peer in a failure domain is no longer live; m.mu is
// held.
func (m *Members) silenceTimeout(domain string) time.Duration {
	if domain == m.self.Domain || m.isLarge() {
		return maxMissedBeats * m.period()
	}
	return maxMissedBeats * remoteBeatPeriods * m.period()
}

// heardRecently reports whether the peer itself was last heard from within its silence timeout; m.mu is held.
func (m *Members) heardRecently(p *member, now time.Duration) bool {
	return p.answered && now-p.lastHeard < m.silenceTimeout(p.info.Domain)
}

// live returns the live peers. The slice is shared: the caller must not modify it. m.mu is held.
func (m *Members) live() []Info { return m.currentView().live }

// currentView returns the cached view, computed anew if it is dirty or older than viewTTL; m.mu is held.
func (m *Members) currentView() *view {
	now := m.timer.Now()
	if !m.dirty && now-m.cachedView.at < viewTTL {
		return &m.cachedView
	}
	v := view{at: now}
	for _, p := range m.members {
		if p.info.Domain == m.self.Domain {
			v.domainPeers++
		}
	}
	m.cachedView.domainPeers = v.domainPeers
	fresh := m.freshSources(now)
	for name, p := range m.members {
		claimed := isClaimed(name, fresh)
		if claimed {
			p.lastClaimed, p.lastMentioned = now, now
		}
		if (claimed || m.heardRecently(p, now)) && now >= p.suspectUntil {
			v.live = append(v.live, p.info)
		}
	}
	if m.isLarge() {
		v.hubs = m.hubs()
	}
	m.cachedView, m.dirty = v, false
	return &m.cachedView
}

// PossibleParticipants returns the peers that may take part in programs. Silence does not prove that a peer has ended: behind
// a network partition it may still serve callers. It is therefore included until participantTimeout after the last sign of
// it. A peer that has announced its stop is included for maxMissedBeats*remoteBeatPeriods heartbeat periods only.
func (m *Members) PossibleParticipants() (peers []Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.currentView()
	now := m.timer.Now()
	for _, p := range m.members {
		limit := participantTimeout
		if p.info.Stopping {
			limit = maxMissedBeats * remoteBeatPeriods * m.period()
		}
		if p.answered && now-p.lastHeard < limit || p.lastClaimed > 0 && now-p.lastClaimed < limit || now-p.added < limit {
			peers = append(peers, p.info)
		}
	}
	return peers
}

// HeardWithin reports whether the peer itself was last heard from, and not only through others, within the last d.
func (m *Members) HeardWithin(name string, d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.members[name]
	return ok && p.answered && m.timer.Now()-p.lastHeard < d
}
