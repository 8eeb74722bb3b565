package hgentryvm

import (
	"context"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgcodec"
	"hyssopgrade/hgstore"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgcap"
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/state/hgfeed"
	"hyssopgrade/internal/state/hgledger"
)

const (
	// nodeTable is the table with a row for each entry VM. It also holds the ledger's markers and the rows of suspects.
	nodeTable = "hgnode"
	// heartbeatTimeout bounds a heartbeat with its answer, and a peer's question about a program's budget.
	heartbeatTimeout = 600 * time.Millisecond
)

var infoCodec = hgcodec.JSON[hgpeer.Info]{}

// peerHandler implements hgpeer.Handler for a node.
type peerHandler Node

// Copy keeps a copy of a peer's claim on a program's budget.
func (h *peerHandler) Copy(c hgledger.Copy) hgpeer.OKReply {
	ctx, cancel := context.WithTimeout(h.ctx, closeTimeout)
	defer cancel()
	return hgpeer.OKReply{OK: h.ledger.TakeCopy(ctx, c)}
}

// Part returns the claims on a program's budget that this node knows of.
func (h *peerHandler) Part(q hgledger.SoleRequest) hgledger.SoleReply {
	ctx, cancel := context.WithTimeout(h.ctx, heartbeatTimeout)
	defer cancel()
	return h.ledger.Share(ctx, q)
}

// Place assigns a replica to a peer's request.
func (h *peerHandler) Place(a hgplacer.PlaceRequest) hgpeer.PlaceReply {
	return h.places.HandlePlace(h.ctx, a)
}

// Leave ends a peer's request for a place, or its use of one.
func (h *peerHandler) Leave(q hgpeer.LeaveRequest) { h.places.HandleLeave(q) }

// Cap grants leases on usage caps to a peer.
func (h *peerHandler) Cap(q hgpeer.CapRequest) hgpeer.CapReply {
	if h.caps == nil {
		return hgpeer.CapReply{Grant: hgcap.Grant{NotOwner: true}}
	}
	return h.caps.HandleCap(h.ctx, q)
}

// Seen returns the programs that this node knows of, by digest, and whether these are all.
func (h *peerHandler) Seen() hgpeer.SeenReply {
	programs, complete := h.ledger.KnownPrograms()
	return hgpeer.SeenReply{Programs: programs, Complete: complete}
}

// Beat processes a peer's heartbeat and returns this node's own as the answer.
func (h *peerHandler) Beat(b hgpeer.Beat) hgpeer.Beat {
	n := (*Node)(h)
	news := h.members.HandleHeartbeat(b)
	n.learnPrograms()
	n.replicas.MergeLeaving(b.Leaving)
	reply := n.heartbeat()
	reply.News = news
	reply.Suspects = h.suspects.HandleOffer(b.Info.Name, b.Suspects)
	reply.Fresh = h.fresh.claim()
	return reply
}

// Table returns this node's copy of a watched table; it is empty for other tables. The copy holds digests of keys, as the watch does.
func (h *peerHandler) Table(q hgpeer.TableRequest) hgfeed.Snapshot {
	if w, ok := h.watches[q.Table]; ok {
		return w.Snapshot()
	}
	return hgfeed.Snapshot{}
}

// Open opens a turn of a program that this node serves for a peer.
func (h *peerHandler) Open(q hgledger.OpenRequest) hgledger.OpenReply { return h.ledger.Open(h.ctx, q) }

// Close settles a turn that was opened for a peer.
func (h *peerHandler) Close(q hgledger.CloseRequest) error {
	ctx, cancel := context.WithTimeout(h.ctx, closeTimeout)
	defer cancel()
	return h.ledger.Close(ctx, q)
}

// Extend adds tokens to the reservation of a turn that was opened for a peer.
func (h *peerHandler) Extend(q hgledger.ExtendRequest) hgledger.ExtendReply {
	ctx, cancel := context.WithTimeout(h.ctx, closeTimeout)
	defer cancel()
	return h.ledger.Extend(ctx, q)
}

// closeTimeout bounds settling or extending a turn or keeping a copy for a peer, which waits no longer for the answer, and each
// attempt to save budgets.
const closeTimeout = 3 * time.Second

// heartbeat returns what this node tells its peers, without the parts that depend on the peer.
func (n *Node) heartbeat() hgpeer.Beat {
	changed := map[string]uint64{}
	for table, w := range n.watches {
		changed[table] = w.Changed()
	}
	return hgpeer.Beat{Info: n.members.Self(), Changed: changed, InFlight: n.replicas.InFlight(), Leaving: n.replicas.LeavingIncarnations(), Pace: n.pace.newsToSend()}
}

// runHeartbeats sends heartbeats in rounds until the node ends.
func (n *Node) runHeartbeats() {
	for round := 0; n.ctx.Err() == nil; round++ {
		n.members.SetInFlight(n.replicas.InFlight())
		n.sendHeartbeats(n.members.Targets(round))
		select {
		case <-n.ctx.Done():
		case <-time.After(n.members.HeartbeatPeriod()):
		}
		n.replicas.SetPeerInFlight(n.members.InFlight())
		n.pace.setSite()
		n.shortenWatches()
	}
}

// broadcastHeartbeat sends a heartbeat at once to all peers that get any, after a change that they should learn of without
// delay.
func (n *Node) broadcastHeartbeat() {
	const allRound = 0 // The targets of round 0 include those that get no heartbeat in other rounds.
	n.sendHeartbeats(n.members.Targets(allRound))
}

// sendHeartbeats sends a heartbeat to peers in this failure domain (near) and in others (far), without waiting for answers.
// Only near peers are told of programs.
func (n *Node) sendHeartbeats(near, far []hgpeer.Info) {
	n.updateReady()
	n.members.AnnouncePrograms(n.ledger.TakeNewPrograms())
	b := n.heartbeat()
	for _, p := range far {
		go n.sendHeartbeat(p, b)
	}
	b.Programs = n.members.TakeUnannounced()
	for _, p := range near {
		go n.sendHeartbeat(p, b)
	}
}

// learnPrograms passes to the ledger the programs that peers have reported in heartbeats.
func (n *Node) learnPrograms() {
	if programs := n.members.TakeReceived(); len(programs) > 0 {
		n.ledger.AddKnownPrograms(programs, false)
	}
}

// sendHeartbeat sends a heartbeat to one peer and processes the answer.
func (n *Node) sendHeartbeat(p hgpeer.Info, b hgpeer.Beat) {
	ctx, cancel := context.WithTimeout(n.ctx, heartbeatTimeout)
	defer cancel()
	b.Ask, b.Suspects = n.members.GossipQueryFor(p), n.suspects.Offer(p.Name)
	handleClaim := n.fresh.ask()
	reply, err := n.client.Beat(ctx, p.Peer, b)
	if err != nil || reply.Info.Name != p.Name {
		n.members.HeartbeatFailed(p.Name)
		return
	}
	handleClaim(reply.Fresh)
	n.members.HandleReply(reply)
	n.suspects.HandleAnswer(p.Name, reply.Suspects)
	n.replicas.MergeLeaving(reply.Leaving)
	n.learnPrograms()
	n.fetchPrograms(ctx, reply.Info)
	for table, changed := range reply.Changed {
		n.fetchTable(ctx, p, table, changed)
	}
}

// fetchPrograms fetches the programs of this failure domain from a peer in it that knows all of them, unless this node does
// already.
func (n *Node) fetchPrograms(ctx context.Context, p hgpeer.Info) {
	if !p.KnowsAll || p.Domain != n.cfg.VM.Domain || n.members.Self().KnowsAll {
		return
	}
	reply, err := n.client.Seen(ctx, p.Peer)
	if err != nil {
		n.log.Debug("cannot fetch the known programs from a peer", "peer", p.Name, "error", err)
		return
	}
	n.ledger.AddKnownPrograms(reply.Programs, reply.Complete)
}

// savePeriod is the time between two attempts to write the claims on budgets that were made while the store was unreachable.
const savePeriod = 100 * time.Millisecond

// saveBudgets writes the claims on budgets that were made while the store was unreachable, once it answers again. Peers are told
// at once when the node begins or ceases to have such unsaved claims.
func (n *Node) saveBudgets(time.Duration) {
	if unsaved := n.ledger.Unsaved(); unsaved != n.members.Self().Unsaved {
		n.broadcastHeartbeat()
	}
	if !n.reach.ok() {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, closeTimeout)
	defer cancel()
	if saved, left := n.ledger.SaveClaims(ctx); saved+left > 0 {
		n.log.Info("budgets saved", "programs", saved, "left", left)
	}
}

// applyNodes applies the rows of nodeTable: ledger markers, suspects and entry VMs.
func (n *Node) applyNodes(rows map[string]hgstore.Row, _ time.Duration) {
	n.ledger.SetMarkers(rows)
	n.suspects.load(rows)
	nodes := n.nodeRows.Decode(rows, func(row hgstore.Row) (i hgpeer.Info, ok bool) {
		if hgledger.IsMarker(row.Key) || isSuspect(row) {
			return i, false
		}
		i, err := decodeNode(row)
		if err != nil {
			n.log.Warn("ignoring a row that describes no node", "error", err)
		}
		return i, err == nil
	})
	n.members.SetRegistered(nodes)
	n.checkRow()
	n.checkReady()
}

// checkReady updates the readiness of a node that is not ready. It is called when a table was read, so that the node becomes
// ready without waiting for the next heartbeat.
func (n *Node) checkReady() {
	if !n.members.Self().Ready {
		n.updateReady()
	}
}

// knowsTables says whether the node has read all watched tables, from the store or from a peer.
func (n *Node) knowsTables() bool {
	return lo.EveryBy(lo.Values(n.watches), func(w *hgfeed.Watch) bool { return w.Changed() > 0 })
}

// updateReady updates what this node tells peers of its state. The node is ready for callers if it has a desired state, has read
// all watched tables, is not stopping, and reaches the store or has live peers.
func (n *Node) updateReady() {
	storeOK := n.reach.ok()
	ready := n.entry.Desired() != nil && n.knowsTables() && !n.stopping.Load()
	if !storeOK && ready {
		ready = len(n.members.Live()) > 0
	}
	_, knowsAll := n.ledger.KnownPrograms()
	joining := n.members.IsJoining()
	was := n.members.Self()
	n.members.SetSelf(func(i hgpeer.Info) hgpeer.Info {
		i.StoreOK, i.Ready, i.KnowsAll, i.Unsaved, i.Joining = storeOK, ready, knowsAll, n.ledger.Unsaved(), joining
		i.Settled = knowsAll && n.members.Age() >= hgpeer.DiscoveryTime
		return i
	})
	if was.Ready != ready || was.StoreOK != storeOK {
		n.log.Info("readiness or reachability of the store changed", "ready", ready, "store", storeOK, "peers", len(n.members.Live()))
	}
}
