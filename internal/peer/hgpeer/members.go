package hgpeer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"hyssopgrade/hgtimer"
)

const (
	// basePeriod is the time between two heartbeats to a peer of the same failure domain.
	basePeriod = 300 * time.Millisecond
	// perPeer lengthens it for each peer beyond fewPeers, so that heartbeats cost a bounded part of a small VM.
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
)

type member struct {
	info     Info
	inFlight map[string]int
	// answered says that it has ever answered, and heard when it last did; suspect is until when it is passed over.
	answered       bool
	heard, suspect time.Duration
	// since is when it became known, and known when it was last named.
	since, known time.Duration
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
	// domains are the failure domains of the site, as far as the settings name them.
	domains []string
	// relayed is what was heard of other failure domains through placers.
	relayed map[string]heardRelay
	// ownInFlight is the number of this node's requests on each replica.
	ownInFlight map[string]int
}

// NewMembers returns the members as seen by a node that knows only itself and the names of the failure domains.
func NewMembers(timer hgtimer.Timer, self Info, domains ...string) *Members {
	return &Members{
		timer: timer, made: timer.Now(), self: self, members: map[string]*member{}, domains: domains, relayed: map[string]heardRelay{},
	}
}

// SetInFlight sets the number of this node's requests on each replica.
func (m *Members) SetInFlight(n map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownInFlight = n
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
	m.self = change(m.self)
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
	return m.troubled > 0 && m.timer.Now()-m.troubled < troubleTime
}

// Introduce tells of a node that the store or a peer names; it counts as live only when it has answered.
func (m *Members) Introduce(i Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i.Name == m.self.Name || i.Name == "" {
		return
	}
	m.noteTrouble(i)
	now := m.timer.Now()
	if have, ok := m.members[i.Name]; ok {
		if have.info.Peer != i.Peer {
			have.info = i
		}
		have.known = now
		return
	}
	m.members[i.Name] = &member{info: i, since: now, known: now}
}

// Heard takes the answer of a peer to a heartbeat of this node.
func (m *Members) Heard(b Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heardAt(b.Info, b.InFlight, m.timer.Now())
	m.takeRelays(b.Relays)
}

// heardAt takes what a node said of itself at a time, by an answer or a relay; m.mu is held.
func (m *Members) heardAt(i Info, inFlight map[string]int, at time.Duration) {
	m.noteTrouble(i)
	now := m.timer.Now()
	since := now
	if have, ok := m.members[i.Name]; ok {
		since = have.since
	}
	m.members[i.Name] = &member{info: i, inFlight: inFlight, answered: true, heard: at, since: since, known: now, suspect: m.suspectOf(i)}
}

// suspectOf keeps a suspicion over heartbeats, unless the peer has started again; m.mu is held.
func (m *Members) suspectOf(i Info) time.Duration {
	have, ok := m.members[i.Name]
	if !ok || have.info.Boot != i.Boot {
		return 0
	}
	return have.suspect
}

// Suspect passes a peer over for a short time, after a message to it failed.
func (m *Members) Suspect(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if have, ok := m.members[name]; ok {
		have.suspect = m.timer.Now() + suspectFor
	}
}

// All returns the peers to send heartbeats to.
func (m *Members) All() []Info {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timer.Now()
	maps.DeleteFunc(m.members, func(_ string, p *member) bool { return now-p.known > forgetAfter })
	return lo.MapToSlice(m.members, func(_ string, p *member) Info { return p.info })
}

// Live returns the peers that answer, in the order of their names.
func (m *Members) Live() (live []Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live()
}

// Pace returns the time between two heartbeats to a peer of this failure domain.
func (m *Members) Pace() (period time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.period()
}

func (m *Members) period() time.Duration {
	return basePeriod + time.Duration(max(len(m.members)-fewPeers, 0))*perPeer
}

// silent returns the time without an answer after which a peer counts as gone; m.mu is held.
func (m *Members) silent(domain string) time.Duration {
	if domain == m.self.Domain {
		return silentBeats * m.period()
	}
	return silentBeats * farBeats * m.period()
}

// answers says whether a peer has answered lately; m.mu is held.
func (m *Members) answers(p *member, now time.Duration) bool {
	return p.answered && now-p.heard < m.silent(p.info.Domain)
}

func (m *Members) live() (live []Info) {
	now := m.timer.Now()
	for _, p := range m.members {
		if m.answers(p, now) && now >= p.suspect {
			live = append(live, p.info)
		}
	}
	slices.SortFunc(live, func(a, b Info) int { return lo.Ternary(a.Name < b.Name, -1, 1) })
	return live
}

// Concerned returns the peers that may have a part in programs: those that answered lately, and those that have not
// been known for long enough to tell that they do not answer.
func (m *Members) Concerned() (peers []Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timer.Now()
	for _, p := range m.members {
		silent := silentBeats * farBeats * m.period()
		if p.answered && now-p.heard < silent || now-p.since < silent {
			peers = append(peers, p.info)
		}
	}
	return peers
}

// InFlight returns the number of requests that all live peers run on each replica.
func (m *Members) InFlight() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := map[string]int{}
	now := m.timer.Now()
	relays := m.freshRelays(now)
	for _, r := range relays {
		for id, n := range r.InFlight {
			sum[id] += n
		}
	}
	for _, p := range m.members {
		if _, relayed := relays[p.info.Domain]; relayed || !m.answers(p, now) {
			continue
		}
		for id, n := range p.inFlight {
			sum[id] += n
		}
	}
	return sum
}

// Owner returns the node that serves a program: by rendezvous hashing one that reaches the store, in this node's
// failure domain if there is one, as callers of a domain mostly enter in it. Self says that it is this node. Offline says
// that no node reaches the store, so that the owner can only use what it has in memory; all nodes then choose alike.
func (m *Members) Owner(program string) (owner Info, self, offline bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := lo.Filter(append(m.live(), m.self), func(i Info, _ int) bool { return !i.Stopping })
	if len(all) == 0 {
		all = []Info{m.self}
	}
	nodes := lo.Filter(all, func(i Info, _ int) bool { return i.StoreOK })
	if offline = len(nodes) == 0; offline {
		nodes = all
	}
	near := lo.Filter(nodes, func(i Info, _ int) bool { return i.Domain == m.self.Domain })
	if len(near) > 0 && !offline {
		nodes = near
	}
	var most uint64
	for _, i := range nodes {
		if h := xxhash.Sum64String(i.Name + "\x00" + program); h >= most {
			owner, most = i, h
		}
	}
	return owner, owner.Name == m.self.Name, offline
}

// HeardWithin says whether a peer has answered a heartbeat within a time.
func (m *Members) HeardWithin(name string, d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.members[name]
	return ok && p.answered && m.timer.Now()-p.heard < d
}

// Placer returns the node that places the requests of this failure domain: the one with the most processor among those
// that answer. Nodes may differ for a moment; then replicas get more than they run at once.
func (m *Members) Placer() (placer Info, self bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	placer = m.placer(m.self.Domain)
	return placer, placer.Name == m.self.Name || placer.Name == ""
}

// placer returns the placer of a failure domain, or none; m.mu is held.
func (m *Members) placer(domain string) (best Info) {
	for _, i := range append(m.live(), m.self) {
		if i.Domain != domain || i.Stopping || !i.Ready {
			continue
		}
		if best.Name == "" || i.Power > best.Power || i.Power == best.Power && i.Name < best.Name {
			best = i
		}
	}
	return best
}

// placers returns the names of the placers of all failure domains; m.mu is held.
func (m *Members) placers() map[string]bool {
	names := map[string]bool{}
	for _, domain := range lo.Uniq(lo.MapToSlice(m.members, func(_ string, p *member) string { return p.info.Domain })) {
		if p := m.placer(domain); p.Name != "" {
			names[p.Name] = true
		}
	}
	return names
}
