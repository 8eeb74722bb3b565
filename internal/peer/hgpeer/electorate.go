package hgpeer

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// The rows of the nodes in the store say who is a member. A node may spend tokens beyond what rows of budgets show, with the store
// or without, only as part of a majority of the members. The row of a node that is gone is removed, and the node ceases to count once
// no other node can still act on a copy of the rows that holds it. A majority of fewer nodes then never acts while
// one of the former does.

const (
	// rowsLease is the age of a node's copy of the rows up to which a majority of the members may act. It is longer than the store
	// holds a poll, with the pause between two polls and a slow answer.
	rowsLease = 2500 * time.Millisecond
	// unanimousLease is the age of a copy up to which all members together may act, as in an outage of the store. A node that joined
	// later may be in nobody's copy, so that it removes no others before that time.
	unanimousLease = 15 * time.Second
	// JoinTime is the time after which the row of a node is in every copy that anybody may act on.
	JoinTime = unanimousLease + leaseMargin
	// leaseMargin is what an action that was begun within a lease takes at most, and the difference of clocks meanwhile.
	leaseMargin = 500 * time.Millisecond
	// removeAfter is the silence after which the row of a node is removed. It doubles each time that the node writes its row again,
	// as it does if it is cut off from other nodes but not from the store.
	removeAfter = 3 * time.Second
	// removalStagger is what each live node that comes before adds to the silence, so that one node removes a row.
	removalStagger = 500 * time.Millisecond
	// maxRewrites bounds the doublings of removeAfter.
	maxRewrites = 2
	// stoppedRowTime is the silence after which the row of a node that announced its stop is removed. Nobody counts it, so that there is no
	// hurry: it mostly starts again.
	stoppedRowTime = time.Minute

	// never is later than any time of the timer.
	never = time.Duration(math.MaxInt64)
)

// SetRowsAge sets the function that returns how old this node's copy of the rows of the nodes is at most.
func (m *Members) SetRowsAge(age func() time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rowsAge = age
}

// Join records that this node has written its row. Counted says that other nodes have counted this node all along, as it replaced
// the row of an earlier process that had not announced its stop. Else it has no vote, and removes no rows, until others know of it.
func (m *Members) Join(counted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.votesFrom, m.removesFrom = 0, 0
	if now := m.timer.Now(); !counted {
		m.votesFrom, m.removesFrom = now+rowsLease+leaseMargin, now+JoinTime
	}
}

// LoseRow records that the store no longer holds this node's row, as another node has removed it. This node is joining again, and has
// no vote until after the next Join.
func (m *Members) LoseRow() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.votesFrom, m.removesFrom = never, never
	m.self.Joining, m.dirty = true, true
	m.self.Revision++
}

// IsJoining reports whether this node has no vote yet.
func (m *Members) IsJoining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isJoining()
}

// isJoining is IsJoining; m.mu is held.
func (m *Members) isJoining() bool { return m.timer.Now() < m.votesFrom }

// hasOwnVote reports whether this node has a vote; m.mu is held.
func (m *Members) hasOwnVote() bool { return !m.isJoining() && !m.self.Stopping }

// SetRegistered sets the nodes that have a row in the store. A row alone does not make a node live.
func (m *Members) SetRegistered(nodes []Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timer.Now()
	rows := map[string]bool{}
	for _, i := range nodes {
		rows[i.Name] = true
		if p := m.upsert(i); p != nil && (!p.registered || p.row != i) {
			if p.row.Boot == i.Boot {
				p.rewrites++
			} else {
				p.rewrites = 0
			}
			p.registered, p.row, p.added = true, i, now
		}
	}
	for name, p := range m.members {
		if p.registered && !rows[name] {
			p.registered, p.unregistered = false, now
		}
	}
}

// counts reports whether a peer counts as a member: it has not announced its stop, and it has a row, had one until recently or
// is live without one; m.mu is held.
func (m *Members) counts(p *member, now time.Duration) bool {
	if p.info.Stopping {
		return false
	}
	claimed := p.lastClaimed > 0 && now-p.lastClaimed < m.silenceTimeout(p.info.Domain)
	return p.registered || now-p.unregistered < rowsLease+leaseMargin || claimed || m.heardRecently(p, now)
}

// hasVote reports whether a peer has a vote: it is a member with a row, and neither joining nor stopping; m.mu is held. What others do
// not count must not vote either, as they may be a majority without it.
func (m *Members) hasVote(name string) bool {
	p, ok := m.members[name]
	return ok && p.registered && !p.info.Joining && !p.info.Stopping
}

// isMajority reports whether this node and some peers, as far as they have a vote, are a majority of the members; m.mu is held.
func (m *Members) isMajority(peers []Info) bool {
	now := m.timer.Now()
	votes := lo.CountBy(peers, func(i Info) bool { return m.hasVote(i.Name) })
	if m.hasOwnVote() {
		votes++
	}
	members := lo.CountBy(lo.Values(m.members), func(p *member) bool { return m.counts(p, now) })
	if !m.self.Stopping {
		members++
	}
	return 2*votes > members
}

// IsMajority reports whether this node and the peers that answered it are a majority of the members that have not announced their stop.
func (m *Members) IsMajority(answered []Info) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isMajority(answered)
}

// LacksMajority reports whether this node and its live peers are no majority, so that the other nodes may treat it as gone, or may
// have become members or removed others without this node knowing.
func (m *Members) LacksMajority() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ageOfRows() >= rowsLease || !m.isMajority(m.live())
}

// ageOfRows returns how old this node's copy of the rows of the nodes is at most; m.mu is held.
func (m *Members) ageOfRows() time.Duration {
	if m.rowsAge == nil {
		return 0
	}
	return m.rowsAge()
}

// MayClaim reports whether the answers of some peers allow this node to claim tokens without a durable row, if the processes of
// others have ended or forgotten what they knew. That takes answers of a majority of the members. As long as it lasts, an outage of the
// store keeps nodes from being removed, and with an old copy of the rows no member may be silent.
func (m *Members) MayClaim(answered, forgetful []Info) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	age := m.ageOfRows()
	if !m.isMajority(answered) || age >= unanimousLease {
		return false
	}
	if age < rowsLease {
		return true
	}
	if !m.hasOwnVote() {
		return false
	}
	now := m.timer.Now()
	known := lo.SliceToMap(append(slices.Clone(answered), forgetful...), func(i Info) (string, bool) { return i.Name, true })
	return lo.EveryBy(lo.Values(m.members), func(p *member) bool { return known[p.info.Name] || !m.counts(p, now) })
}

// RowsToRemove returns the rows that this node has to remove, as their nodes have been silent for long. The later this node comes by name
// among the live ones that reach the store, the longer it leaves that to the others. A node that stops removes none: all others may act
// together in an outage of the store without counting it.
func (m *Members) RowsToRemove() (gone []Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.timer.Now()
	if m.self.Stopping || now < m.removesFrom || m.ageOfRows() >= rowsLease || m.hasPaused(now) {
		return nil
	}
	before := map[string]int{}
	for _, i := range m.live() {
		before[i.Domain] += lo.Ternary(i.StoreOK && !i.Joining && !i.Stopping && i.Name < m.self.Name, 1, 0)
	}
	for _, p := range m.members {
		_, live := before[p.info.Domain]
		wait := lo.Sum(lo.Values(before))
		switch {
		case !m.isLarge():
		case p.info.Domain == m.self.Domain:
			wait = before[m.self.Domain]
		case live:
			continue // The nodes of that domain hear more of it.
		}
		silence := now - max(p.lastHeard, p.lastClaimed, p.added, m.observesSince)
		if p.registered && silence >= m.removalSilence(p)+time.Duration(wait)*removalStagger {
			gone = append(gone, p.row)
		}
	}
	slices.SortFunc(gone, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	return gone
}

// noteRound records that this node sends heartbeats; m.mu is held.
func (m *Members) noteRound(now time.Duration) {
	if m.hasPaused(now) || m.isLarge() && !m.hearsOwnDomain(now) {
		m.observesSince = now
	}
	m.lastRound = now
}

// hearsOwnDomain reports whether this node of a large site hears of the nodes of its failure domain: from a hub, or as one itself. On the way
// to new hubs, all better ones have to be tried, now and then once more; m.mu is held.
func (m *Members) hearsOwnDomain(now time.Duration) bool {
	if m.hubRank(m.currentView()) >= 0 {
		m.lastHub = now
	}
	return m.hasFreshSource(m.self.Domain, now) || m.lastHub > 0 && now-m.lastHub < hubRetryPeriods*m.period()
}

// hasPaused reports whether this node has sent no heartbeats for so long that it did not run, as when it was frozen. Its peers then seem
// silent only because it did not ask them; m.mu is held.
func (m *Members) hasPaused(now time.Duration) bool {
	return now-m.lastRound >= maxMissedBeats*m.period()
}

// removalSilence returns the silence after which a peer's row is removed; m.mu is held.
func (m *Members) removalSilence(p *member) time.Duration {
	if p.info.Stopping {
		return stoppedRowTime
	}
	return max(removeAfter, m.silenceTimeout(p.info.Domain)) << min(p.rewrites, maxRewrites)
}
