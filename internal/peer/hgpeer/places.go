package hgpeer

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
)

// Places gets places on replicas from the placer, the node that places the requests of this failure domain. It selects a
// replica itself if the placer does not answer.
type Places struct {
	placer  *hgplacer.Placer
	set     *hgreplica.Set
	members *Members
	client  *Client
	log     *slog.Logger
	// sequence is the number of requests for a place so far, which makes their identifiers unique.
	sequence atomic.Int64

	mu sync.Mutex
	// loads are the placer's latest load reports, by service and team.
	loads map[serviceTeam]loadReport
	// loadsPruned is when the reports that are too old were last dropped.
	loadsPruned time.Duration
	// lastAnswer is when each placer last answered a request, by name.
	lastAnswer map[string]time.Duration
}

// serviceTeam names a team's use of a service.
type serviceTeam struct{ service, team string }

// loadReport is the load of a service that the placer reported, with the part of its share that the team did not use, and when.
type loadReport struct {
	load, unused float64
	at           time.Duration
}

// NewPlaces returns the Places of a node. It uses p while the node itself is the placer, and s when the placer does not
// answer.
func NewPlaces(p *hgplacer.Placer, s *hgreplica.Set, m *Members, c *Client, log *slog.Logger) *Places {
	return &Places{placer: p, set: s, members: m, client: c, log: log, loads: map[serviceTeam]loadReport{}, lastAnswer: map[string]time.Duration{}}
}

// replyMargin is what a call may take beyond the wait in the placer's queue.
const replyMargin = 300 * time.Millisecond

// Take waits for a place on a replica. The lease is nil if the verdict is not hgplacer.Granted.
func (p *Places) Take(ctx context.Context, a hgplacer.PlaceRequest) (l *hgreplica.Lease, v hgplacer.Verdict) {
	// Callers choose the identifiers of their requests and may use one twice, but the placer needs unique ones.
	a.ID = fmt.Sprintf("%s/%s/%d", a.ID, p.members.Self().Boot, p.sequence.Add(1))
	// The caller adds replicas to the set between its requests for places.
	a.Want.Exclude = maps.Clone(a.Want.Exclude)
	placer, self := p.members.Placer()
	if self {
		return p.placer.Place(ctx, a)
	}
	reply, err := p.ask(ctx, placer, a)
	release := func(o hgreplica.Outcome) { go p.leave(placer, a.ID, o) }
	switch {
	case err != nil && ctx.Err() != nil:
		release(hgreplica.Outcome{})
		return nil, hgplacer.Expired
	case err != nil:
		p.log.Warn("placer did not answer; selecting a replica locally", "peer", placer.Name, "ask", a.ID, "error", err)
		release(hgreplica.Outcome{})
		return p.pickLocally(a)
	case reply.Verdict != hgplacer.Granted:
		p.noteLoad(serviceTeam{a.Want.Service, a.Rank.Team}, reply)
		return nil, reply.Verdict
	}
	p.noteLoad(serviceTeam{a.Want.Service, a.Rank.Team}, reply)
	l, ok := p.set.Adopt(reply.Replica, reply.FetchFrom, reply.Why, release)
	if !ok {
		// This node cannot use the replica, which the placer does not know yet: the replica leaves, another one has its
		// address, or this node has no registration of it.
		release(hgreplica.Outcome{})
		return p.pickLocally(a)
	}
	return l, hgplacer.Granted
}

// placerSilence is how long a placer may answer no request at all while one is pending. An answer takes 1 to 2 ms, and even
// while all requests wait, places become free all the time.
const placerSilence = 100 * time.Millisecond

// ask requests a place from the placer, and gives up when the placer has answered no request for placerSilence.
func (p *Places) ask(ctx context.Context, placer Info, a hgplacer.PlaceRequest) (reply PlaceReply, err error) {
	began := p.members.Age()
	policy := waitPolicy{timeout: a.Wait + replyMargin, checkInterval: placerSilence, isSilent: func() bool { return p.silentFor(placer.Name, began) >= placerSilence }}
	reply, err = await(ctx, p.members, placer, policy, func(ctx context.Context) (PlaceReply, error) {
		return p.client.Place(ctx, placer.Peer, a)
	})
	if err == nil {
		p.noteAnswer(placer.Name)
	}
	return reply, err
}

// noteAnswer records that a placer has just answered a request.
func (p *Places) noteAnswer(placer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswer[placer] = p.members.Age()
}

// silentFor returns the time since a placer last answered a request, or since from if that is later.
func (p *Places) silentFor(placer string, from time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Age() - max(p.lastAnswer[placer], from)
}

// pickLocally selects a replica by what this node knows, without the placer.
func (p *Places) pickLocally(a hgplacer.PlaceRequest) (l *hgreplica.Lease, v hgplacer.Verdict) {
	if l, ok := p.set.Pick(a.Want); ok {
		return l, hgplacer.Granted
	}
	return nil, hgplacer.NoReplica
}

// loadTTL is how long a load report of the placer is used.
const loadTTL = 200 * time.Millisecond

// noteLoad records a load report of the placer, and drops those that are too old once in loadTTL.
func (p *Places) noteLoad(of serviceTeam, r PlaceReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.members.Age()
	if now-p.loadsPruned >= loadTTL {
		maps.DeleteFunc(p.loads, func(_ serviceTeam, h loadReport) bool { return now-h.at >= loadTTL })
		p.loadsPruned = now
	}
	p.loads[of] = loadReport{load: r.Load, unused: r.Unused, at: now}
}

// IsFull reports whether the replicas of a service are too loaded for a new program of a team and a priority. It makes no call: it
// uses the placer's latest report to a request of the team and is false without a recent one, unless this node is the placer itself.
func (p *Places) IsFull(service, team string, priority int) bool {
	if _, self := p.members.Placer(); self {
		return hgplacer.IsFullFor(p.placer.Load(service), priority, p.placer.Unused(service, team))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.loads[serviceTeam{service, team}]
	return ok && p.members.Age()-h.at < loadTTL && hgplacer.IsFullFor(h.load, priority, h.unused)
}

// leaveTimeout bounds the call that releases a place. If the call is lost, the placer frees the place when it is overdue.
const leaveTimeout = time.Second

// leave releases a place at the placer that granted it.
func (p *Places) leave(placer Info, id string, o hgreplica.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := p.client.Leave(ctx, placer.Peer, LeaveRequest{ID: id, Outcome: o}); err != nil {
		p.log.Debug("place not released", "peer", placer.Name, "ask", id, "error", err)
	}
}

// HandlePlace waits for a place for a peer's request, as the placer, and holds it until HandleLeave is called or it is
// overdue.
func (p *Places) HandlePlace(ctx context.Context, a hgplacer.PlaceRequest) PlaceReply {
	l, v := p.placer.Place(ctx, a)
	reply := PlaceReply{Verdict: v, Load: p.placer.Load(a.Want.Service), Unused: p.placer.Unused(a.Want.Service, a.Rank.Team)}
	if v == hgplacer.Granted {
		p.placer.Hold(a, l)
		reply.Replica, reply.FetchFrom, reply.Why = l.ID, l.FetchFrom, l.Why
	}
	return reply
}

// HandleLeave cancels a peer's request for a place, or releases the place.
func (p *Places) HandleLeave(q LeaveRequest) { p.placer.Release(q.ID, q.Outcome) }
