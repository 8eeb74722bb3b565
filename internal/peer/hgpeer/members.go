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
	// basePeriod is the time between two heartbeats to a peer of the same failure domain.
	basePeriod = 300 * time.Millisecond
	// perPeer lengthens it for each peer beyond fewPeers, so that heartbeats cost a bounded part of a VM.
	perPeer  = 4 * time.Millisecond
	fewPeers = 8
	// farBeats is the number of periods between two heartbeats to a peer in another failure domain: it serves no
	// programs for this node while one nearby does, and bytes between domains are paid for.
	farBeats = 3
	// silentBeats is the number of periods without an answer after which a peer counts as gone.
	silentBeats = 3
	// suspectFor is how long a peer that failed a message is passed over, if its heartbeats go on.
	suspectFor = 700 * time.Millisecond
	// forgetAfter is the time after which a silent peer is asked no more, unless the store names it.
	forgetAfter = time.Minute
	// concernFor is how long a silent peer that has not stopped may have a part in programs, whoever asks. After that a
	// majority holds it for gone.
	concernFor = 5 * time.Second
	// viewFor is how long what follows from the members is used before it is worked out again.
	viewFor = 25 * time.Millisecond
)

type member struct {
	info     Info
	inFlight map[string]int
	// answered says that it was ever heard, and heard when it last was; suspect is until when it is passed over.
	answered       bool
	heard, suspect time.Duration
	// claimed is when others last said that it answers; only on large sites.
	claimed time.Duration
	// since is when it became known, and known when it was last named.
	since, known time.Duration
	// missed is the number of heartbeats that it has not answered since it was last heard.
	missed int
}

// Members is what a node believes of its peers; it is safe for concurrent use.
type Members struct {
	timer hgtimer.Timer
	made  time.Duration

	mu sync.Mutex
	// troubled is when a node last was without the store, or had taken tokens without a row; 0 is never.
	troubled time.Duration
	self     Info
	members  map[string]*member
	// named are the peers that the store names.
	named map[string]bool
	// domains are the failure domains of the site, as far as the settings name them.
	domains []string
	// ownInFlight is the number of this node's requests on each replica, and busy when there last was one.
	ownInFlight map[string]int
	busy        time.Duration
	// last is what follows from the members, and changed says that it has to be worked out again.
	last    view
	changed bool
	// sources are the peers that tell of others on large sites, and claims what this node tells of them.
	sources map[string]*source
	claims  claimLog
	begun   begunLog
}

// view is what follows from the members at a time.
type view struct {
	at time.Duration
	// live are the peers that answer, in no order.
	live []Info
	// hubs are the hubs of each failure domain, the first one first; only on large sites.
	hubs map[string][]Info
	// near is the number of peers in this failure domain.
	near int
}

// NewMembers returns the members as seen by a node that knows only itself and the names of the failure domains.
func NewMembers(timer hgtimer.Timer, self Info, domains ...string) *Members {
	return &Members{
		timer: timer, made: timer.Now(), self: self, members: map[string]*member{}, domains: domains, changed: true,
		sources: map[string]*source{}, claims: newClaimLog(), begun: newBegunLog(),
	}
}

// SetInFlight sets the number of this node's requests on each replica.
func (m *Members) SetInFlight(n map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownInFlight = n
	if len(n) > 0 {
		m.busy = m.timer.Now()
	}
}

// Age returns the time since the members were made, at the start of the node.
func (m *Members) Age() time.Duration { return m.timer.Now() - m.made }

// Self returns what this node says of itself.
func (m *Members) Self() Info {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// SetSelf changes what this node says of itself.
func (m *Members) SetSelf(change func(i Info) Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next := change(m.self); next != m.self {
		next.Revision = m.self.Revision + 1
		m.self, m.changed = next, true
	}
	m.noteTrouble(m.self)
}

// troubleTime is how long after the last sign of trouble rows may tell less than was taken.
const troubleTime = 3 * time.Second

// noteTrouble remembers that a node is without the store; m.mu is held.
func (m *Members) noteTrouble(i Info) {
	if i.Ready && !i.StoreOK || i.Unsaved {
		m.troubled = m.timer.Now()
	}
}

// Troubled says whether a node has lately been without the store, or has taken tokens that no row tells of.
func (m *Members) Troubled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	// On a large site peers repeat nothing, so that the trouble of a live one lasts as long as it says so.
	if m.isLarge() {
		for _, i := range m.live() {
			m.noteTrouble(i)
		}
	}
	return m.troubled > 0 && m.timer.Now()-m.troubled < troubleTime
}

// SetNamed tells of the nodes that the store names; they count as live only when they have answered.
func (m *Members) SetNamed(nodes []Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.named = map[string]bool{}
	for _, i := range nodes {
		m.named[i.Name] = true
		m.introduce(i)
	}
}

// introduce takes what is said of a node, by itself, a peer or the store, and returns it; nil if it is this node. m.mu is held.
func (m *Members) introduce(i Info) *member {
	if i.Name == m.self.Name || i.Name == "" {
		return nil
	}
	now := m.timer.Now()
	have, ok := m.members[i.Name]
	m.noteTrouble(i)
	if !ok {
		have = &member{info: i, since: now}
		m.members[i.Name], m.changed = have, true
	}
	have.known = now
	m.update(have, i)
	return have
}

// update takes over what a node says of itself unless more is known; m.mu is held.
func (m *Members) update(p *member, i Info) {
	if p.info == i || !i.isNewer(p.info) {
		return
	}
	if p.info.Boot != i.Boot {
		p.suspect, p.missed = 0, 0
	}
	p.info, m.changed = i, true
}

// isNewer says whether a node has said something later than something else, in this run or one before.
func (i Info) isNewer(o Info) bool {
	if i.Started != o.Started {
		return i.Started > o.Started
	}
	return i.Revision >= o.Revision
}

// Heard takes the answer of a peer to a heartbeat of this node.
func (m *Members) Heard(b Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.hear(b); p != nil && b.News != nil {
		m.takeNews(p.info, *b.News)
	}
}

// hear takes what a peer has said itself; m.mu is held.
func (m *Members) hear(b Beat) *member {
	p := m.introduce(b.Info)
	if p == nil {
		return nil
	}
	now := m.timer.Now()
	m.changed = m.changed || !p.answered || !m.isDirect(p, now)
	p.answered, p.heard, p.missed = true, now, 0
	if !b.Ask.SignOnly {
		p.inFlight = b.InFlight
	}
	return p
}

// Suspect passes a peer over for a short time, after a message to it failed.
func (m *Members) Suspect(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if have, ok := m.members[name]; ok {
		have.suspect = m.timer.Now() + suspectFor
		m.changed = true
	}
}

// All returns the peers that are known.
func (m *Members) All() []Info {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget()
	return lo.MapToSlice(m.members, func(_ string, p *member) Info { return p.info })
}

// forget drops peers that the store does not name and nobody else has for long; m.mu is held.
func (m *Members) forget() {
	now := m.timer.Now()
	known := len(m.members)
	maps.DeleteFunc(m.members, func(name string, p *member) bool { return !m.named[name] && now-p.known > forgetAfter })
	maps.DeleteFunc(m.sources, func(name string, _ *source) bool { return m.members[name] == nil })
	m.changed = m.changed || len(m.members) < known
}

// Live returns the peers that answer, in the order of their names.
func (m *Members) Live() (live []Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	live = slices.Clone(m.live())
	slices.SortFunc(live, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// Pace returns the time between two heartbeats to a peer of this failure domain.
func (m *Members) Pace() (period time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.period()
}

// period returns the time between two heartbeats. On a large site it grows with the failure domain, as the hubs hear all
// nodes of it; m.mu is held.
func (m *Members) period() time.Duration {
	peers := len(m.members)
	if m.isLarge() {
		peers = m.last.near
	}
	return basePeriod + time.Duration(max(peers-fewPeers, 0))*perPeer
}

// silent returns the time without an answer after which a peer counts as gone; m.mu is held.
func (m *Members) silent(domain string) time.Duration {
	if domain == m.self.Domain || m.isLarge() {
		return silentBeats * m.period()
	}
	return silentBeats * farBeats * m.period()
}

// isDirect says whether a peer was itself heard lately; m.mu is held.
func (m *Members) isDirect(p *member, now time.Duration) bool {
	return p.answered && now-p.heard < m.silent(p.info.Domain)
}

// live returns the peers that answer, which the caller does not change; m.mu is held.
func (m *Members) live() []Info { return m.look().live }

// look returns what follows from the members now; m.mu is held.
func (m *Members) look() *view {
	now := m.timer.Now()
	if !m.changed && now-m.last.at < viewFor {
		return &m.last
	}
	v := view{at: now}
	for _, p := range m.members {
		if p.info.Domain == m.self.Domain {
			v.near++
		}
	}
	m.last.near = v.near
	fresh := m.freshSources(now)
	for name, p := range m.members {
		claimed := isClaimed(name, fresh)
		if claimed {
			p.claimed, p.known = now, now
		}
		if (claimed || m.isDirect(p, now)) && now >= p.suspect {
			v.live = append(v.live, p.info)
		}
	}
	if m.isLarge() {
		v.hubs = m.hubs()
	}
	m.last, m.changed = v, false
	return &m.last
}

// Concerned returns the peers that may have a part in programs. Silence is no sign of a peer's end: one that is cut off may
// serve callers, so that it stays concerned for concernFor unless it has said that it stops.
func (m *Members) Concerned() (peers []Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.look()
	now := m.timer.Now()
	for _, p := range m.members {
		limit := concernFor
		if p.info.Stopping {
			limit = silentBeats * farBeats * m.period()
		}
		if p.answered && now-p.heard < limit || p.claimed > 0 && now-p.claimed < limit || now-p.since < limit {
			peers = append(peers, p.info)
		}
	}
	return peers
}

// IsMajority says whether a node and some of its peers are most of all nodes that are known and have not stopped.
func (m *Members) IsMajority(peers int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isMajority(peers)
}

func (m *Members) isMajority(peers int) bool {
	known := lo.CountBy(lo.Values(m.members), func(p *member) bool { return !p.info.Stopping })
	return 2*(peers+1) > known+1
}

// IsApart says whether this node hears no majority of all nodes, so that others may hold it for gone.
func (m *Members) IsApart() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.isMajority(len(m.live()))
}

// HeardWithin says whether a peer was itself heard within a time.
func (m *Members) HeardWithin(name string, d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.members[name]
	return ok && p.answered && m.timer.Now()-p.heard < d
}
