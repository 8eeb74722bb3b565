package hgmember

import (
	"sort"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgcodec"
)

// Prefix is the prefix of the registration rows.
const Prefix = "node/"

// Member is a node as it registers itself.
type Member struct {
	ID     string `json:"id"`
	Run    string `json:"run"`
	Domain string `json:"domain"`
	// Public and Inner are the addresses for callers and for other nodes.
	Public string `json:"public"`
	Inner  string `json:"inner"`
	// Beat grows with each refresh of the registration.
	Beat uint64 `json:"beat"`
}

// MemberCodec is the codec of the registration rows.
var MemberCodec hgcodec.JSON[Member]

// Limits are the times after which a silent node counts as gone.
type Limits struct {
	// Silent is the time without a heartbeat after which a node is silent.
	Silent time.Duration
	// Stale is the time without a refresh after which a registration is stale.
	Stale time.Duration
	// Gone is the time without a refresh after which a registration is forgotten.
	Gone time.Duration
}

// Heartbeat is what one node says of itself and of the others.
type Heartbeat struct {
	ID       string
	Run      string
	Draining bool
	// Silent names the members that the node does not hear.
	Silent []string
}

type peer struct {
	Member
	refreshed time.Duration
	heard     time.Duration
	heardRun  string
	draining  bool
	silent    []string
}

// View is what a node knows of its cell; it is a state machine without locks.
type View struct {
	self  Member
	lim   Limits
	peers map[string]*peer
}

// NewView returns the view of a node that knows no other.
func NewView(self Member, lim Limits) *View {
	return &View{self: self, lim: lim, peers: map[string]*peer{}}
}

// never is the time of what has not happened.
const never = -time.Hour

// Registered tells the registrations as read from the table.
func (v *View) Registered(members []Member, now time.Duration) {
	found := map[string]bool{}
	for _, m := range members {
		if m.ID == v.self.ID {
			continue
		}
		found[m.ID] = true
		p := v.peers[m.ID]
		if p == nil {
			p = &peer{heard: never}
			v.peers[m.ID] = p
		}
		if p.Member != m {
			p.Member, p.refreshed = m, now
		}
	}
	v.peers = lo.PickBy(v.peers, func(id string, p *peer) bool {
		return found[id] && (now-p.refreshed < v.lim.Gone || now-p.heard < v.lim.Silent)
	})
}

// Heard tells a peer's heartbeat.
func (v *View) Heard(h Heartbeat, now time.Duration) {
	p := v.peers[h.ID]
	if p == nil {
		return
	}
	p.heard, p.heardRun, p.draining, p.silent = now, h.Run, h.Draining, h.Silent
}

// Self returns the node itself.
func (v *View) Self() Member { return v.self }

// Peers returns all registered peers, by identifier.
func (v *View) Peers() []Member {
	ids := lo.Keys(v.peers)
	sort.Strings(ids)
	return lo.Map(ids, func(id string, _ int) Member { return v.peers[id].Member })
}

// Member returns a registered member.
func (v *View) Member(id string) (m Member, ok bool) {
	if id == v.self.ID {
		return v.self, true
	}
	p, ok := v.peers[id]
	if !ok {
		return m, false
	}
	return p.Member, true
}

// hears tells whether a peer was heard lately.
func (v *View) hears(p *peer, now time.Duration) bool { return now-p.heard < v.lim.Silent }

// Live returns the peers that are heard, by identifier.
func (v *View) Live(now time.Duration) []Member {
	return lo.Filter(v.Peers(), func(m Member, _ int) bool { return v.hears(v.peers[m.ID], now) })
}

// Takers returns the members that may take shards: those heard that are not draining, with the node itself unless it drains.
func (v *View) Takers(draining bool, now time.Duration) []Member {
	takers := lo.Filter(v.Live(now), func(m Member, _ int) bool { return !v.peers[m.ID].draining })
	if !draining {
		takers = append(takers, v.self)
	}
	return takers
}

// Silent returns the peers that are not heard, by identifier.
func (v *View) Silent(now time.Duration) []string {
	return lo.FilterMap(v.Peers(), func(m Member, _ int) (string, bool) { return m.ID, !v.hears(v.peers[m.ID], now) })
}

// Dead tells whether a run of a node may be taken over: another run of the node is registered, its registration
// is gone or stale, or it is silent to this node and to a live peer in another failure domain, and no live peer hears it.
func (v *View) Dead(id, run string, now time.Duration) bool {
	if id == v.self.ID {
		return run != v.self.Run
	}
	p := v.peers[id]
	switch {
	case p == nil || p.Run != run:
		return true
	case v.hears(p, now):
		return p.heardRun != run
	case now-p.refreshed > v.lim.Stale:
		return true
	}
	confirmed := false
	for _, q := range v.peers {
		if q.ID == id || !v.hears(q, now) {
			continue
		}
		if !lo.Contains(q.silent, id) {
			return false
		}
		confirmed = confirmed || q.Domain != v.self.Domain
	}
	return confirmed
}
