package hgmember

import (
	"sort"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgcodec"
)

// Prefix begins the keys of the registration rows; a node's identifier follows.
const Prefix = "node/"

// Member is a node's registration, as the node writes it to the store.
type Member struct {
	ID     string `json:"id"`
	Run    string `json:"run"`
	Domain string `json:"domain"`
	// Public and Inner are the addresses for callers and for other nodes.
	Public string `json:"public"`
	Inner  string `json:"inner"`
	// Beat grows with each refresh of the registration, so that other nodes see it change.
	Beat uint64 `json:"beat"`
}

// MemberCodec is the codec of the registration rows.
var MemberCodec hgcodec.JSON[Member]

// Limits are the timeouts after which a node without heartbeats or refreshes is no longer counted as alive.
type Limits struct {
	// Silent is the time without a heartbeat after which a peer is silent.
	Silent time.Duration
	// Stale is the time without a refresh after which the registration of a silent peer is stale and its shards may be taken over.
	Stale time.Duration
	// Gone is the time without a refresh after which a silent peer is dropped from the view.
	Gone time.Duration
}

// Heartbeat is a node's report on itself and on the peers that it does not hear.
type Heartbeat struct {
	ID       string
	Run      string
	Draining bool
	// Silent names the members that the node does not hear.
	Silent []string
}

// peer is a registered peer with its last heartbeat.
type peer struct {
	Member
	// refreshed is when this node first saw the present registration.
	refreshed time.Duration
	// heard is when the last heartbeat came, or never.
	heard time.Duration
	// heardRun, draining and silent are the contents of the last heartbeat.
	heardRun string
	draining bool
	silent   []string
}

// View is what a node knows of its cell's members. It is not safe for concurrent use.
type View struct {
	self  Member
	lim   Limits
	peers map[string]*peer
}

// NewView returns the view of the node self that knows no peers yet.
func NewView(self Member, lim Limits) *View {
	return &View{self: self, lim: lim, peers: map[string]*peer{}}
}

// never is the time of a heartbeat that has not come; it is further back than Limits.Silent.
const never = -time.Hour

// SetRegistered updates the view by the registrations that were read from the store. Peers without a registration are dropped, and
// so are silent peers whose registration was not refreshed for Limits.Gone.
func (v *View) SetRegistered(members []Member, now time.Duration) {
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

// RecordHeartbeat updates the view by a peer's heartbeat; one from an unregistered node is ignored.
func (v *View) RecordHeartbeat(h Heartbeat, now time.Duration) {
	p := v.peers[h.ID]
	if p == nil {
		return
	}
	p.heard, p.heardRun, p.draining, p.silent = now, h.Run, h.Draining, h.Silent
}

// Self returns the registration of the view's own node.
func (v *View) Self() Member { return v.self }

// Peers returns all registered peers, ordered by identifier.
func (v *View) Peers() []Member {
	ids := lo.Keys(v.peers)
	sort.Strings(ids)
	return lo.Map(ids, func(id string, _ int) Member { return v.peers[id].Member })
}

// Member returns the registration of this node or of a peer; ok is false for an unknown identifier.
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

// isLive reports whether a heartbeat of the peer came within Limits.Silent.
func (v *View) isLive(p *peer, now time.Duration) bool { return now-p.heard < v.lim.Silent }

// Live returns the peers that are not silent, ordered by identifier.
func (v *View) Live(now time.Duration) []Member {
	return lo.Filter(v.Peers(), func(m Member, _ int) bool { return v.isLive(v.peers[m.ID], now) })
}

// EligibleOwners returns the members that may own shards: the live peers that are not draining, then the node itself unless it is
// draining.
func (v *View) EligibleOwners(draining bool, now time.Duration) []Member {
	takers := lo.Filter(v.Live(now), func(m Member, _ int) bool { return !v.peers[m.ID].draining })
	if !draining {
		takers = append(takers, v.self)
	}
	return takers
}

// Silent returns the identifiers of the peers that are silent, in order.
func (v *View) Silent(now time.Duration) []string {
	return lo.FilterMap(v.Peers(), func(m Member, _ int) (string, bool) { return m.ID, !v.isLive(v.peers[m.ID], now) })
}

// Dead reports whether the shards of a run of a node may be taken over. They may if another run of the node is registered or
// heard, or if its registration is gone. If the node is silent to this node, they also may if its registration is stale, or if
// it is silent to all live peers as well and at least one of these is in another failure domain than this node: within one
// domain all may be cut off from a node that is alive.
func (v *View) Dead(id, run string, now time.Duration) bool {
	if id == v.self.ID {
		return run != v.self.Run
	}
	p := v.peers[id]
	switch {
	case p == nil || p.Run != run:
		return true
	case v.isLive(p, now):
		return p.heardRun != run
	case now-p.refreshed > v.lim.Stale:
		return true
	}
	confirmed := false
	for _, q := range v.peers {
		if q.ID == id || !v.isLive(q, now) {
			continue
		}
		if !lo.Contains(q.silent, id) {
			return false
		}
		confirmed = confirmed || q.Domain != v.self.Domain
	}
	return confirmed
}
