package hgpeer

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"hyssopgrade/internal/state/hgledger"
)

// Owner returns the node that owns a program, by rendezvous hashing of the program's partition over the nodes that reach the
// store. The programs of a partition have one owner, so that their changes share transactions. Nodes of this
// failure domain are preferred, because the callers of a domain mostly enter in it. Self says that the owner is this node.
// Offline says that no node reaches the store: the owner can then use only what it has in memory, and is selected from all
// domains, so that all nodes select the same one.
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
	if local := m.inOwnDomain(nodes); len(local) > 0 && !offline {
		nodes = local
	}
	owner = rendezvous(preferSettled(nodes), program)
	return owner, owner.Name == m.self.Name, offline
}

// DisconnectedOwner returns the node of this failure domain that owned a program until it lost the store; ok is false if the
// owner in this domain reaches the store. Self says that it is this node.
func (m *Members) DisconnectedOwner(program string) (owner Info, self, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	local := lo.Reject(append(m.inOwnDomain(m.live()), m.self), func(i Info, _ int) bool { return i.Stopping })
	owner = rendezvous(preferSettled(local), program)
	return owner, owner.Name == m.self.Name, owner.Name != "" && !owner.StoreOK
}

// ByBoot returns the live node whose process has an identifier; self says that it is this node.
func (m *Members) ByBoot(boot string) (node Info, self, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if boot == m.self.Boot {
		return m.self, true, true
	}
	node, ok = lo.Find(m.live(), func(i Info) bool { return i.Boot == boot })
	return node, false, ok
}

// IsStopping reports whether the process of a node, this one or a peer, is known to shut down.
func (m *Members) IsStopping(node Info) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if node.Name == m.self.Name {
		return m.self.Stopping
	}
	p, ok := m.members[node.Name]
	return ok && p.info.Boot == node.Boot && p.info.Stopping
}

// inOwnDomain returns the nodes that are in this node's failure domain.
func (m *Members) inOwnDomain(nodes []Info) []Info {
	return lo.Filter(nodes, func(i Info, _ int) bool { return i.Domain == m.self.Domain })
}

// preferSettled returns the settled nodes if they are at least half of all, and otherwise all: few of them could not carry the
// programs of the rest.
func preferSettled(nodes []Info) []Info {
	settled := lo.Filter(nodes, func(i Info, _ int) bool { return i.Settled })
	if 2*len(settled) < len(nodes) {
		return nodes
	}
	return settled
}

// rendezvous returns the strong node with the highest hash for a program. Nodes that know the same members select the same
// one.
func rendezvous(nodes []Info, program string) (owner Info) {
	return highest(ServingNodes(nodes), "\x00"+strconv.Itoa(hgledger.Partition(program)))
}

// highest returns the node with the highest hash of its name and a key.
func highest(nodes []Info, key string) (owner Info) {
	var most uint64
	for _, i := range nodes {
		if h := xxhash.Sum64String(i.Name + key); h >= most {
			owner, most = i, h
		}
	}
	return owner
}

// Placer returns the node that places the requests of this failure domain: the ready one with the most processor cores.
// Self says that it is this node. Nodes may disagree for a moment; replicas then get more requests than they run at once.
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

// byPower compares nodes by processor capacity, the largest first, and then by name.
func byPower(a, b Info) int {
	return cmp.Or(cmp.Compare(b.Power, a.Power), strings.Compare(a.Name, b.Name))
}
