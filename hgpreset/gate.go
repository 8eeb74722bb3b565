package hgpreset

import (
	"time"

	"hyssopgrade/hgcodec"
)

// Key is the key of the row that holds the preset in force.
const Key = "preset/current"

// Version is one accepted choice of a preset.
type Version struct {
	// Number grows by one with each accepted choice, from 1; 0 is the start before any choice.
	Number uint64 `json:"number"`
	Preset Preset `json:"preset"`
	// By names who chose.
	By string `json:"by"`
	// Nonce tells one's own write of the row from another's.
	Nonce string `json:"nonce"`
}

// VersionCodec is the codec of the row.
var VersionCodec hgcodec.JSON[Version]

// Peer is what a peer said about its preset.
type Peer struct {
	// Number is the version that the peer applies.
	Number uint64
	// Age is the time since that version was last known to be the newest.
	Age time.Duration
	// StoreFailing says that the peer can't reach the store.
	StoreFailing bool
}

// Gate knows the version that a node applies and whether the node may take new work under it.
// It is a state machine without locks.
type Gate struct {
	bound     time.Duration
	applied   Version
	confirmed time.Duration
	failing   bool
	peers     map[string]peerSeen
	members   []string
}

type peerSeen struct {
	Peer
	at time.Duration
}

// NewGate returns a gate for a node that applies the version first, unconfirmed, and takes no new work
// when the version was not confirmed for the bound.
func NewGate(first Version, bound time.Duration) *Gate {
	return &Gate{bound: bound, applied: first, confirmed: -bound - 1, peers: map[string]peerSeen{}}
}

// Applied returns the version that the node applies.
func (g *Gate) Applied() Version { return g.applied }

// StoreRead tells the row that a read started at the time `at` returned; changed says that a newer version is applied now.
func (g *Gate) StoreRead(v Version, at time.Duration) (changed bool) {
	g.failing = false
	return g.Adopt(v, at)
}

// Adopt tells a version that was the newest at the time `at`; changed says that a newer version is applied now.
func (g *Gate) Adopt(v Version, at time.Duration) (changed bool) {
	if v.Number < g.applied.Number {
		return false
	}
	changed = v.Number > g.applied.Number
	g.applied = v
	g.confirmed = max(g.confirmed, at)
	return changed
}

// StoreFailed tells that the row could not be read.
func (g *Gate) StoreFailed() { g.failing = true }

// Members replaces the membership that has to be heard during an outage of the store.
func (g *Gate) Members(ids []string) { g.members = ids }

// PeerSaid tells what a peer answered to a question asked at the time `at`;
// behind says that the peer applies a newer version, to be read from it or from the store.
func (g *Gate) PeerSaid(id string, p Peer, at time.Duration) (behind bool) {
	g.peers[id] = peerSeen{Peer: p, at: at}
	if p.Number == g.applied.Number {
		g.confirmed = max(g.confirmed, at-p.Age)
	}
	return p.Number > g.applied.Number
}

// PeerNumber returns the version that a peer said it applies.
func (g *Gate) PeerNumber(id string) uint64 { return g.peers[id].Number }

// Age returns the time since the applied version was last known to be the newest.
func (g *Gate) Age(now time.Duration) time.Duration {
	if g.quorumHeard(now) {
		return 0
	}
	return now - g.confirmed
}

// Open tells whether the node may take new work.
func (g *Gate) Open(now time.Duration) bool { return g.Age(now) <= g.bound }

// StoreFailing tells whether the last read of the store failed.
func (g *Gate) StoreFailing() bool { return g.failing }

// quorumHeard tells whether the store is out of reach for every member and each was heard within half the bound
// with no newer version: a choice goes through a member and the store, so none can have been accepted.
func (g *Gate) quorumHeard(now time.Duration) bool {
	if !g.failing || g.confirmed < 0 || len(g.members) == 0 {
		return false
	}
	for _, id := range g.members {
		p, ok := g.peers[id]
		if !ok || !p.StoreFailing || p.Number != g.applied.Number || now-p.at > g.bound/2 {
			return false
		}
	}
	return true
}
