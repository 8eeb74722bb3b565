package hgedge

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgcodec"
	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/state/hgfeed"
	"hyssopgrade/internal/state/hgledger"
)

const (
	// nodeTable holds a row for each entry VM.
	nodeTable = "hgnode"
	// beatTime bounds a heartbeat.
	beatTime = 600 * time.Millisecond
	// registerAfter is the pause after a registration that failed.
	registerAfter = 300 * time.Millisecond
)

var infoCodec = hgcodec.JSON[hgpeer.Info]{}

// peerHandler answers the messages of peers.
type peerHandler Node

// Copy holds a copy for a peer.
func (h *peerHandler) Copy(c hgledger.Copy) hgpeer.OKReply {
	ctx, cancel := context.WithTimeout(h.ctx, closeTime)
	defer cancel()
	return hgpeer.OKReply{OK: h.ledger.TakeCopy(ctx, c)}
}

// Part answers a peer's question about a program.
func (h *peerHandler) Part(q hgledger.SoleRequest) hgledger.SoleReply {
	ctx, cancel := context.WithTimeout(h.ctx, beatTime)
	defer cancel()
	return h.ledger.Part(ctx, q)
}

// Place gives a place to a peer's request.
func (h *peerHandler) Place(a hgplacer.Ask) hgpeer.PlaceReply { return h.places.Serve(h.ctx, a) }

// Leave ends a peer's request for a place.
func (h *peerHandler) Leave(q hgpeer.LeaveRequest) { h.places.Left(q) }

// Seen returns the programs that this node knows of.
func (h *peerHandler) Seen() hgpeer.SeenReply {
	programs, complete := h.ledger.AllSeen()
	return hgpeer.SeenReply{Programs: programs, Complete: complete}
}

// Beat takes a heartbeat and returns this node's.
func (h *peerHandler) Beat(b hgpeer.Beat) hgpeer.Beat {
	n := (*Node)(h)
	news := h.members.Answer(b)
	n.useEvents()
	n.set.HearLeaving(b.Leaving)
	reply := n.beat()
	reply.News = news
	reply.Suspects = h.suspects.Answer(b.Info.Name, b.Suspects)
	return reply
}

// Table returns the copy of a watched table.
func (h *peerHandler) Table(q hgpeer.TableRequest) hgfeed.Copy {
	if w, ok := h.watches[q.Table]; ok {
		return w.Snapshot()
	}
	return hgfeed.Copy{}
}

// Open opens a turn for a peer.
func (h *peerHandler) Open(q hgledger.OpenRequest) hgledger.OpenReply { return h.ledger.Open(h.ctx, q) }

// Close closes a turn for a peer.
func (h *peerHandler) Close(q hgledger.CloseRequest) error {
	ctx, cancel := context.WithTimeout(h.ctx, closeTime)
	defer cancel()
	return h.ledger.Close(ctx, q)
}

// closeTime bounds the write of a turn for a peer, which waits no longer than its caller.
const closeTime = 3 * time.Second

func (n *Node) beat() hgpeer.Beat {
	changed := map[string]uint64{}
	for table, w := range n.watches {
		changed[table] = w.Changed()
	}
	return hgpeer.Beat{Info: n.members.Self(), Changed: changed, InFlight: n.set.InFlight(), Leaving: n.set.SaidLeaving()}
}

// beats sends heartbeats until the node ends.
func (n *Node) beats() {
	for round := 0; n.ctx.Err() == nil; round++ {
		n.members.SetInFlight(n.set.InFlight())
		n.beatTo(n.members.Targets(round))
		select {
		case <-n.ctx.Done():
		case <-time.After(n.members.Pace()):
		}
		n.set.SetGossip(n.members.InFlight())
		n.hurryWatches()
	}
}

// beatAll sends a heartbeat at once to all peers that get any, as what this node says of itself has changed.
func (n *Node) beatAll() {
	const allRound = 0 // In the first round none is left out.
	n.beatTo(n.members.Targets(allRound))
}

// beatTo sends a heartbeat to some peers, and does not wait for answers.
func (n *Node) beatTo(near, far []hgpeer.Info) {
	n.updateReady()
	n.members.TellPrograms(n.ledger.Seen())
	b := n.beat()
	for _, p := range far {
		go n.beatOne(p, b)
	}
	b.Programs = n.members.TakeUntold()
	for _, p := range near {
		go n.beatOne(p, b)
	}
}

// useEvents takes over what peers have told of programs.
func (n *Node) useEvents() {
	if programs := n.members.TakeUnused(); len(programs) > 0 {
		n.ledger.Learn(programs, false)
	}
}

func (n *Node) beatOne(p hgpeer.Info, b hgpeer.Beat) {
	ctx, cancel := context.WithTimeout(n.ctx, beatTime)
	defer cancel()
	b.Ask, b.Suspects = n.members.AskOf(p), n.suspects.Offer(p.Name)
	reply, err := n.client.Beat(ctx, p.Peer, b)
	if err != nil || reply.Info.Name != p.Name {
		n.members.Failed(p.Name)
		return
	}
	n.members.Heard(reply)
	n.suspects.Take(p.Name, reply.Suspects)
	n.set.HearLeaving(reply.Leaving)
	n.useEvents()
	n.learnSeen(ctx, reply.Info)
	for table, changed := range reply.Changed {
		n.takeTable(ctx, p, table, changed)
	}
}

// learnSeen fetches once the programs that a peer in this failure domain knows of, all of them if it does.
func (n *Node) learnSeen(ctx context.Context, p hgpeer.Info) {
	if !p.KnowsAll || p.Domain != n.cfg.VM.Domain || n.members.Self().KnowsAll {
		return
	}
	reply, err := n.client.Seen(ctx, p.Peer)
	if err != nil {
		n.log.Debug("known programs not fetched", "peer", p.Name, "error", err)
		return
	}
	n.ledger.Learn(reply.Programs, reply.Complete)
}

// savePeriod is the time between two tries to write what was taken while the store was out of reach.
const savePeriod = 100 * time.Millisecond

// save writes what was taken while the store was out of reach, once it is back.
func (n *Node) save(time.Duration) {
	if unsaved := n.ledger.Unsaved(); unsaved != n.members.Self().Unsaved {
		n.beatAll()
	}
	if !n.health.ok() {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, closeTime)
	defer cancel()
	if saved, left := n.ledger.Save(ctx); saved+left > 0 {
		n.log.Info("budgets saved", "programs", saved, "left", left)
	}
}

// register writes the node's row until that has succeeded.
func (n *Node) register() {
	key := nodeTable + "//" + n.cfg.VM.Name
	value, err := infoCodec.Encode(n.members.Self())
	if err != nil {
		n.log.Error("node cannot be registered", "error", err)
		return
	}
	for n.ctx.Err() == nil {
		if _, err := n.store.Commit(n.ctx, hgstore.Txn{Puts: []hgstore.Put{{Key: key, Value: value}}}); err == nil {
			return
		}
		time.Sleep(registerAfter)
	}
}

func (n *Node) applyNodes(rows map[string]hgstore.Row, _ time.Duration) {
	n.ledger.SetMarkers(rows)
	n.suspects.load(rows)
	nodes := n.nodeRows.Decode(rows, func(row hgstore.Row) (i hgpeer.Info, ok bool) {
		if strings.HasPrefix(row.Key, hgledger.MarkerPrefix) || isSuspect(row) {
			return i, false
		}
		i, err := infoCodec.Decode(row.Value)
		if err != nil {
			n.log.Warn("node left out", "row", row.Key, "error", err)
		}
		return i, err == nil
	})
	n.members.SetNamed(nodes)
	n.readyAtOnce()
}

// readyAtOnce lets callers come as soon as the last table is known, without waiting for the next heartbeat.
func (n *Node) readyAtOnce() {
	if !n.members.Self().Ready {
		n.updateReady()
	}
}

// health tells whether the store answers this node.
type health struct {
	timer *hgtimer.Service

	mu sync.Mutex
	// good is the last answer and bad the first failure since; 0 if there is none.
	good, bad time.Duration
}

// badFor is how long the store may fail until it counts as out of reach.
const badFor = 400 * time.Millisecond

func (h *health) called(err error) {
	now := h.timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		h.good, h.bad = now, 0
	case h.bad == 0:
		h.bad = now
	}
}

func (h *health) ok() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.good > 0 && (h.bad == 0 || h.timer.Now()-h.bad < badFor)
}

// knowsTables says whether the node has read all watched tables, from the store or from a peer.
func (n *Node) knowsTables() bool {
	return lo.EveryBy(lo.Values(n.watches), func(w *hgfeed.Watch) bool { return w.Changed() > 0 })
}

// updateReady says whether callers may come: there is a desired state, the replicas and the other VMs are known, and this
// node or a peer reaches the store.
func (n *Node) updateReady() {
	storeOK := n.health.ok()
	ready := n.entry.Desired() != nil && n.knowsTables() && !n.stopping.Load()
	if !storeOK && ready {
		ready = len(n.members.Live()) > 0
	}
	_, knowsAll := n.ledger.AllSeen()
	was := n.members.Self()
	n.members.SetSelf(func(i hgpeer.Info) hgpeer.Info {
		i.StoreOK, i.Ready, i.KnowsAll, i.Unsaved = storeOK, ready, knowsAll, n.ledger.Unsaved()
		return i
	})
	if was.Ready != ready || was.StoreOK != storeOK {
		n.log.Info("state of the node", "ready", ready, "store", storeOK, "peers", len(n.members.Live()))
	}
}
