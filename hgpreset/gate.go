package hgpreset

import (
	"time"

	"hyssopgrade/hgcodec"
)

// Key is the key of the row that holds the preset in force.
const Key = "preset/current"

// Version is one accepted choice of a preset.
type Version struct {
	// Number grows by one with each accepted choice, from 1; 0 is the preset from the settings, before any choice.
	Number uint64 `json:"number"`
	Preset Preset `json:"preset"`
	// By names the operator who chose.
	By string `json:"by"`
	// Nonce identifies the choice, so that its author recognizes it in the row after a lost reply.
	Nonce string `json:"nonce"`
}

// VersionCodec encodes the row under Key and the rows of accepted versions.
var VersionCodec hgcodec.JSON[Version]

// PeerStatus is the part about presets of a peer's heartbeat.
type PeerStatus struct {
	// Number is the version that the peer applies.
	Number uint64
	// Age is the time since that version was last known to be the newest.
	Age time.Duration
	// StoreFailing reports that the peer's last read of the preset from the store failed.
	StoreFailing bool
}

// Gate holds the version that a node applies and decides whether the node may take new work under it.
// It is not safe for concurrent use.
type Gate struct {
	// bound is the age of the last confirmation above which the node takes no new work.
	bound   time.Duration
	applied Version
	// confirmed is the last time at which the applied version was known to be the newest.
	confirmed time.Duration
	// storeFailing is set while the last read of the store failed.
	storeFailing bool
	peers        map[string]peerReport
	// members are the identifiers of the peers that have to be heard during an outage of the store.
	members []string
}

// peerReport is the last report of a peer.
type peerReport struct {
	PeerStatus
	// at is the time at which the peer was asked for the report.
	at time.Duration
}

// NewGate returns the gate of a node that starts with the version first, unconfirmed. It closes when the applied version was not
// confirmed for longer than bound.
func NewGate(first Version, bound time.Duration) *Gate {
	return &Gate{bound: bound, applied: first, confirmed: -bound - 1, peers: map[string]peerReport{}}
}

// Applied returns the version that the node applies.
func (g *Gate) Applied() Version { return g.applied }

// RecordRead records the version that a read of the store returned; the read started at the time `at`. changed reports that
// v is newer and applied from now on.
func (g *Gate) RecordRead(v Version, at time.Duration) (changed bool) {
	g.storeFailing = false
	return g.Adopt(v, at)
}

// Adopt records a version that was the newest at the time `at`; an older one is ignored. changed reports that v is newer and applied
// from now on.
func (g *Gate) Adopt(v Version, at time.Duration) (changed bool) {
	if v.Number < g.applied.Number {
		return false
	}
	changed = v.Number > g.applied.Number
	g.applied = v
	g.confirmed = max(g.confirmed, at)
	return changed
}

// RecordReadFailure records that a read of the store failed.
func (g *Gate) RecordReadFailure() { g.storeFailing = true }

// SetMembers replaces the identifiers of the peers that have to be heard during an outage of the store.
func (g *Gate) SetMembers(ids []string) { g.members = ids }

// RecordPeer records the report that a peer was asked for at the time `at`. A peer that applies the same version confirms it.
// behind reports that the peer applies a newer version, which is to be read from it or from the store.
func (g *Gate) RecordPeer(id string, p PeerStatus, at time.Duration) (behind bool) {
	g.peers[id] = peerReport{PeerStatus: p, at: at}
	if p.Number == g.applied.Number {
		g.confirmed = max(g.confirmed, at-p.Age)
	}
	return p.Number > g.applied.Number
}

// PeerVersion returns the number of the version that a peer last reported to apply, 0 for an unknown peer.
func (g *Gate) PeerVersion(id string) uint64 { return g.peers[id].Number }

// Age returns the time since the applied version was last known to be the newest, 0 while an outage of the store makes a newer one
// impossible.
func (g *Gate) Age(now time.Duration) time.Duration {
	if g.noNewerPossible(now) {
		return 0
	}
	return now - g.confirmed
}

// Open reports whether the node may take new work.
func (g *Gate) Open(now time.Duration) bool { return g.Age(now) <= g.bound }

// StoreFailing reports whether the last read of the store failed.
func (g *Gate) StoreFailing() bool { return g.storeFailing }

// noNewerPossible reports whether the store is out of reach for this node and for all members, and each member reported the same
// version within half the bound. A choice has to be written by a member to the store, so that none can have been accepted.
func (g *Gate) noNewerPossible(now time.Duration) bool {
	if !g.storeFailing || g.confirmed < 0 || len(g.members) == 0 {
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
