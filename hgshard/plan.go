package hgshard

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgmember"
	"hyssopgrade/internal/state/hgjournal"
)

// Of returns the shard of a program. Sub-agents are in the shard of their root program, whose budget they share.
func Of(program string, shards uint32) uint32 {
	return uint32(xxhash.Sum64String(hgcall.Root(program)) % uint64(shards))
}

// Preferred returns the member that should own the shard by rendezvous hashing; ok is false if there are no members.
func Preferred(shard uint32, members []hgmember.Member) (m hgmember.Member, ok bool) {
	first := Ranked(hgjournal.ShardKey(shard), members, 1)
	if len(first) == 0 {
		return m, false
	}
	return first[0], true
}

// Ranked returns the first n members, or all if there are fewer, in the order of rendezvous hashing for the key.
func Ranked(key string, members []hgmember.Member, n int) []hgmember.Member {
	weight := func(m hgmember.Member) uint64 { return xxhash.Sum64String(m.ID + "\x00" + key) }
	ranked := append([]hgmember.Member(nil), members...)
	sort.Slice(ranked, func(i, j int) bool { return weight(ranked[i]) > weight(ranked[j]) })
	return ranked[:min(n, len(ranked))]
}

// Plan is the shards that a node should claim and release now.
type Plan struct {
	// Claim are the rows of the shards to claim, as they were read; a claim is conditional on their versions.
	Claim []hgjournal.VersionedRow
	// Release are the held shards that another member should own.
	Release []uint32
}

// Planner plans the claims and releases of one node. It is not safe for concurrent use.
type Planner struct {
	settle time.Duration
	// misplaced holds since when another member has been preferred for a held shard.
	misplaced map[uint32]time.Duration
}

// NewPlanner returns a planner that releases a shard when another member has been preferred for it for the settle time, so that
// a short change of the membership moves no shards. A draining node releases at once.
func NewPlanner(settle time.Duration) *Planner {
	return &Planner{settle: settle, misplaced: map[uint32]time.Duration{}}
}

// Plan compares the shard rows with the view. held reports whether this node commits for a shard. A row that names this run but
// whose shard is not held is claimed again, whichever member is preferred: the reply to the claim was lost or the recovery
// failed, and no other node takes the shard over as long as this run is alive.
func (p *Planner) Plan(rows []hgjournal.VersionedRow, v *hgmember.View, held func(shard uint32) bool, draining bool, now time.Duration) (plan Plan) {
	takers := v.EligibleOwners(draining, now)
	self := v.Self()
	for _, r := range rows {
		m, ok := Preferred(r.Shard, takers)
		mine := ok && m.ID == self.ID
		if held(r.Shard) {
			if p.shouldRelease(r.Shard, mine || !ok, draining, now) {
				plan.Release = append(plan.Release, r.Shard)
			}
			continue
		}
		own := r.Row.Owner == self.ID && r.Row.Run == self.Run
		if own || mine && (r.Row.Owner == "" || v.Dead(r.Row.Owner, r.Row.Run, now)) {
			plan.Claim = append(plan.Claim, r)
		}
	}
	return plan
}

// shouldRelease reports whether to release a held shard now; preferred says that this node should own it.
func (p *Planner) shouldRelease(shard uint32, preferred, draining bool, now time.Duration) bool {
	if preferred {
		delete(p.misplaced, shard)
		return false
	}
	since, ok := p.misplaced[shard]
	if !ok {
		since = now
		p.misplaced[shard] = now
	}
	return draining || now-since >= p.settle
}
