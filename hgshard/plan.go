package hgshard

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgmember"
	"hyssopgrade/internal/state/hgjournal"
)

// Of returns the shard of a program, which is that of its root program.
func Of(program string, shards uint32) uint32 {
	return uint32(xxhash.Sum64String(hgcall.Root(program)) % uint64(shards))
}

// Preferred returns the member that rendezvous hashing gives the shard; ok is false without members.
func Preferred(shard uint32, members []hgmember.Member) (m hgmember.Member, ok bool) {
	first := Ranked(hgjournal.ShardKey(shard), members, 1)
	if len(first) == 0 {
		return m, false
	}
	return first[0], true
}

// Ranked returns the n members that rendezvous hashing gives the key, best first.
func Ranked(key string, members []hgmember.Member, n int) []hgmember.Member {
	weight := func(m hgmember.Member) uint64 { return xxhash.Sum64String(m.ID + "\x00" + key) }
	ranked := append([]hgmember.Member(nil), members...)
	sort.Slice(ranked, func(i, j int) bool { return weight(ranked[i]) > weight(ranked[j]) })
	return ranked[:min(n, len(ranked))]
}

// Plan is what to do about shards.
type Plan struct {
	// Claim are the rows to take over as they were seen.
	Claim []hgjournal.SeenRow
	// Release are held shards that another member should own.
	Release []uint32
}

// Planner plans; it is a state machine without locks.
type Planner struct {
	settle   time.Duration
	unwanted map[uint32]time.Duration
}

// NewPlanner returns a planner that releases a shard once another member has been preferred for the settle time.
func NewPlanner(settle time.Duration) *Planner {
	return &Planner{settle: settle, unwanted: map[uint32]time.Duration{}}
}

// Plan compares the rows with the view. held tells whether this node commits for a shard;
// a row that names this run but is not held is claimed anew, whoever is preferred: the reply to its claim was lost,
// or its recovery failed, and as long as this run lives no other node takes it.
func (p *Planner) Plan(rows []hgjournal.SeenRow, v *hgmember.View, held func(shard uint32) bool, draining bool, now time.Duration) (plan Plan) {
	takers := v.Takers(draining, now)
	self := v.Self()
	for _, r := range rows {
		m, ok := Preferred(r.Shard, takers)
		mine := ok && m.ID == self.ID
		if held(r.Shard) {
			if p.release(r.Shard, mine || !ok, draining, now) {
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

// release tells whether a held shard has been unwanted for long enough.
func (p *Planner) release(shard uint32, wanted, draining bool, now time.Duration) bool {
	if wanted {
		delete(p.unwanted, shard)
		return false
	}
	since, ok := p.unwanted[shard]
	if !ok {
		since = now
		p.unwanted[shard] = now
	}
	return draining || now-since >= p.settle
}
