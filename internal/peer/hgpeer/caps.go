package hgpeer

import (
	"context"
	"errors"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sync/singleflight"

	"hyssopgrade/internal/serve/hgcap"
	"hyssopgrade/internal/serve/hgteam"
)

const (
	// capTimeout bounds the wait for the owner of a team. An answer takes 1 to 2 ms, and the request waits meanwhile.
	capTimeout = 150 * time.Millisecond
	// shortWait is the longest time for which a request waits for the next token. The owner of a busy team that has just changed has few.
	shortWait = 60 * time.Millisecond
	// handoverTimeout bounds the call to the previous owner of a team, within capTimeout of the request that waits.
	handoverTimeout = 60 * time.Millisecond
	// capStartTime is how long the nodes of a site that starts for the first time have to find each other: a heartbeat period and a half.
	// Until then each would take itself for the only one. Requests of teams with a cap wait.
	capStartTime = 450 * time.Millisecond
	// removedTime is how long a node whose row was removed may still serve: it was silent, but may be cut off. A node that is cut off
	// from the store and its peers serves no keys after revoke_ms, 5 s.
	removedTime = 10 * time.Second
	// probeInterval is the least time between two probes of a node that owns teams for which another node was asked.
	probeInterval = 100 * time.Millisecond
)

// Counter counts events by name.
type Counter interface{ Count(name string) }

// Caps enforces the usage caps of teams. It leases tokens from the nodes that own the teams, and grants leases for those that this node owns.
type Caps struct {
	owner   *hgcap.Owner
	leases  *hgcap.Leases
	members *Members
	client  *Client
	counter Counter
	// limit returns the cap of a team in the desired state of this node.
	limit func(team string) (c hgteam.Cap, ok bool)
	// startsFrom is the age of this node before which it neither owns teams nor admits requests.
	startsFrom time.Duration
	handovers  singleflight.Group

	mu sync.Mutex
	// nodes are the nodes to choose owners from, in order of their names, and lookedAt is when they were looked up.
	nodes    []Info
	lookedAt time.Duration
	probed   map[string]time.Duration
}

// NewCaps returns the Caps of a node. First says that the whole site starts for the first time.
func NewCaps(o *hgcap.Owner, l *hgcap.Leases, m *Members, c *Client, counter Counter, first bool, limit func(team string) (c hgteam.Cap, ok bool)) *Caps {
	caps := &Caps{owner: o, leases: l, members: m, client: c, counter: counter, limit: limit, lookedAt: -viewTTL, probed: map[string]time.Duration{}}
	if first {
		caps.startsFrom = capStartTime
	}
	return caps
}

// Take decides whether a request is within the cap of its team.
func (c *Caps) Take(ctx context.Context, q hgcap.Request) (r hgcap.Reply) {
	if q.Team.Name == "" || q.Team.Cap.IsUnlimited() {
		return hgcap.Reply{Verdict: hgcap.Granted}
	}
	defer func() { c.counter.Count(counterNames[r.Verdict]) }()
	if wait := c.startsFrom - c.members.Age(); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return hgcap.Reply{Verdict: hgcap.NoOwner, RetryAfter: wait}
		}
	}
	return c.take(ctx, q)
}

var counterNames = map[hgcap.Verdict]string{hgcap.Granted: "capGranted", hgcap.OverCap: "capOver", hgcap.NoOwner: "capNoOwner"}

// take is Take once the node has started.
func (c *Caps) take(ctx context.Context, q hgcap.Request) hgcap.Reply {
	ctx, cancel := context.WithTimeout(ctx, capTimeout)
	defer cancel()
	for again := false; ctx.Err() == nil; again = true {
		s := c.leases.Take(q, again)
		if s.Ask != nil {
			go c.ask(*s.Ask)
		}
		if s.Decided && (s.Reply.Verdict == hgcap.Granted || !sleep(ctx, s.Reply.RetryAfter)) {
			return s.Reply
		}
		if s.Decided {
			continue
		}
		if s.Done == nil {
			break
		}
		select {
		case <-s.Done:
		case <-ctx.Done():
		}
	}
	_, _, known := c.members.capView()
	return c.leases.TakeOwn(q, known)
}

// sleep waits for d and reports whether it did: a wait that is longer than shortWait, or than the context lasts, is left to the caller of the
// request.
func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); d > shortWait || ok && time.Until(deadline) <= d {
		return false
	}
	time.Sleep(d)
	return true
}

// Return gives back the token of a request that was not sent.
func (c *Caps) Return(q hgcap.Request, r hgcap.Reply) { c.leases.Return(q, r) }

// ask sends an ask to the owner of its team and settles it.
func (c *Caps) ask(q hgcap.Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), capTimeout)
	defer cancel()
	c.counter.Count("capAsk")
	owner, self := c.ownerOf(q.Team)
	if self {
		c.leases.Settle(q, c.grant(ctx, q), true)
		return
	}
	reply, err := c.client.Cap(ctx, owner.Peer, CapRequest{Ask: &q})
	if err != nil {
		c.noteFailure(owner, err)
		c.leases.Settle(q, hgcap.Grant{}, false)
		return
	}
	c.leases.Settle(q, reply.Grant, true)
}

// noteFailure suspects a peer that refused the connection or broke it, as when the process has ended. One that is only slow remains the owner
// for the other nodes, and so does one of an older build, which does not know the call.
func (c *Caps) noteFailure(peer Info, err error) {
	var remote rpc.ServerError
	if err != nil && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled) && !errors.As(err, &remote) {
		c.members.Suspect(peer.Name)
		c.look(true)
	}
}

// HandleCap answers a peer that asks for a lease or for a team.
func (c *Caps) HandleCap(ctx context.Context, q CapRequest) (r CapReply) {
	ctx, cancel := context.WithTimeout(ctx, capTimeout)
	defer cancel()
	if q.Ask != nil {
		r.Grant = c.grant(ctx, *q.Ask)
	}
	if q.Surrender != "" {
		r.Handover = c.owner.Surrender(q.Surrender)
	}
	return r
}

// grant answers an ask as the owner of its team.
func (c *Caps) grant(ctx context.Context, q hgcap.Ask) hgcap.Grant {
	limit, ok := c.limit(q.Team)
	if !ok {
		limit = hgteam.Cap{Rate: q.Rate, Burst: q.Burst}
	}
	if owner, self := c.ownerOf(q.Team); !self {
		c.probe(ctx, owner)
		c.look(true)
	}
	if c.owner.Lacks(q.Team) {
		_, _, _ = c.handovers.Do(q.Team, func() (any, error) {
			c.adopt(ctx, q.Team, limit)
			return nil, nil
		})
	}
	return c.owner.Grant(q, limit)
}

// adopt takes a team over from the node that owned it before this one.
func (c *Caps) adopt(ctx context.Context, team string, limit hgteam.Cap) {
	self := c.members.Self().Name
	previous := capOwner(lo.Reject(c.candidates(), func(i Info, _ int) bool { return i.Name == self }), team)
	if previous.Name == "" {
		c.owner.Adopt(team, limit, hgcap.Handover{}, true)
		return
	}
	call, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	reply, err := c.client.Cap(call, previous.Peer, CapRequest{Surrender: team})
	if err != nil {
		// A process that has ended grants no more; one that is slow may.
		c.noteFailure(previous, err)
		c.owner.Adopt(team, limit, hgcap.Handover{}, !errors.Is(err, context.DeadlineExceeded))
		return
	}
	c.owner.Adopt(team, limit, reply.Handover, true)
}

// probe calls the node that this one takes for the owner of a team for which a peer asked here: the peer may have found that the owner has
// ended.
func (c *Caps) probe(ctx context.Context, owner Info) {
	c.mu.Lock()
	now := c.members.Age()
	recent := now-c.probed[owner.Name] < probeInterval && c.probed[owner.Name] > 0
	if !recent {
		c.probed[owner.Name] = now
	}
	c.mu.Unlock()
	if recent || owner.Name == "" {
		return
	}
	call, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if _, err := c.client.Cap(call, owner.Peer, CapRequest{}); err != nil {
		c.noteFailure(owner, err)
	}
}

// Tick updates which teams this node owns, and drops what is idle. It is called about ten times a second.
func (c *Caps) Tick(time.Duration) {
	c.look(true)
	c.owner.Tick()
	c.leases.Evict()
}

// ownerOf returns the owner of a team; self says that it is this node.
func (c *Caps) ownerOf(team string) (owner Info, self bool) {
	c.look(false)
	owner = capOwner(c.candidates(), team)
	return owner, owner.Name == c.members.Self().Name
}

func (c *Caps) candidates() []Info {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes
}

// capOwner returns the node with the highest hash for a team.
func capOwner(nodes []Info, team string) Info { return highest(nodes, "\x00team\x00"+team) }

// look updates the nodes to choose owners from, unless that was done within viewTTL and now is false.
func (c *Caps) look(now bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := c.members.Age()
	if !now && age-c.lookedAt < viewTTL {
		return
	}
	nodes, heard, known := c.members.capView()
	changed := !slices.EqualFunc(nodes, c.nodes, func(a, b Info) bool { return a.Boot == b.Boot })
	c.nodes, c.lookedAt = nodes, age
	if age < c.startsFrom {
		return
	}
	self := c.members.Self().Name
	c.owner.SetView(float64(heard)/float64(known), changed, func(team string) bool { return capOwner(nodes, team).Name == self })
}

// capView returns the nodes to choose the owners of teams from, in order of their names, how many nodes this one hears from and how many may
// serve, each with itself. A node that others may not know yet owns no teams while another one can.
func (m *Members) capView() (nodes []Info, heard, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timer.Now()
	live := m.live()
	heard = 1 + len(live)
	known = 1 + lo.CountBy(lo.Values(m.members), func(p *member) bool { return m.mayServe(p, now) })
	all := append(slices.Clone(live), m.self)
	for _, fits := range []func(i Info) bool{
		func(i Info) bool { return !i.Stopping && i.Ready && !i.Joining },
		func(i Info) bool { return !i.Stopping && i.Ready },
		func(i Info) bool { return !i.Stopping },
		func(Info) bool { return true },
	} {
		if nodes = lo.Filter(all, func(i Info, _ int) bool { return fits(i) }); len(nodes) > 0 {
			break
		}
	}
	nodes = ServingNodes(nodes)
	slices.SortFunc(nodes, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	return nodes, heard, max(known, heard)
}

// mayServe reports whether a peer may be serving callers, here or where this node does not hear of it; m.mu is held.
func (m *Members) mayServe(p *member, now time.Duration) bool {
	if p.info.Stopping {
		return m.heardRecently(p, now)
	}
	return m.counts(p, now) || now-p.unregistered < removedTime
}
