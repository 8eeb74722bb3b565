package hgpeer

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Owner returns the node that serves a program: by rendezvous hashing one that reaches the store, in this node's
// failure domain if there is one, as callers of a domain mostly enter in it. Self says that it is this node. Offline says
// that no node reaches the store, so that the owner can only use what it has in memory; all nodes then choose alike.
func (m *Members) Owner(program string) (owner Info, self, offline bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := lo.Filter(append(slices.Clone(m.live()), m.self), func(i Info, _ int) bool { return !i.Stopping })
	if len(all) == 0 {
		all = []Info{m.self}
	}
	nodes := lo.Filter(all, func(i Info, _ int) bool { return i.StoreOK })
	if offline = len(nodes) == 0; offline {
		nodes = all
	}
	if near := m.near(nodes); len(near) > 0 && !offline {
		nodes = near
	}
	owner = rendezvous(nodes, program)
	return owner, owner.Name == m.self.Name, offline
}

// CutOwner returns the node of this failure domain that has served a program until it lost the store; ok is false if the
// one that serves programs here reaches it.
func (m *Members) CutOwner(program string) (owner Info, self, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	near := lo.Reject(append(m.near(m.live()), m.self), func(i Info, _ int) bool { return i.Stopping })
	owner = rendezvous(near, program)
	return owner, owner.Name == m.self.Name, owner.Name != "" && !owner.StoreOK
}

// near returns the nodes of this failure domain.
func (m *Members) near(nodes []Info) []Info {
	return lo.Filter(nodes, func(i Info, _ int) bool { return i.Domain == m.self.Domain })
}

// rendezvous returns the node that a program hashes to, the same one for all that know the same nodes.
func rendezvous(nodes []Info, program string) (owner Info) {
	var most uint64
	for _, i := range Strong(nodes) {
		if h := xxhash.Sum64String(i.Name + "\x00" + program); h >= most {
			owner, most = i, h
		}
	}
	return owner
}

// Placer returns the node that places the requests of this failure domain: the one with the most processor among those
// that answer. Nodes may differ for a moment; then replicas get more than they run at once.
func (m *Members) Placer() (placer Info, self bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best Info
	consider := func(i Info) {
		if i.Domain == m.self.Domain && !i.Stopping && i.Ready && (best.Name == "" || byPower(i, best) < 0) {
			best = i
		}
	}
	for _, i := range m.live() {
		consider(i)
	}
	consider(m.self)
	return best, best.Name == m.self.Name || best.Name == ""
}

// byPower orders nodes by their processor, the strongest first, and by name.
func byPower(a, b Info) int {
	return cmp.Or(cmp.Compare(b.Power, a.Power), strings.Compare(a.Name, b.Name))
}
