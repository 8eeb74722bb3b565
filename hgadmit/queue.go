package hgadmit

import (
	"time"

	"github.com/google/btree"

	"hyssopgrade/hgpreset"
)

// Order defines the order in which waiting calls start.
type Order interface {
	// Key returns a call's sort key; the lowest key starts first. A key must not change while the call waits.
	Key(w Waiting) float64
	// String returns the order's name in presets.
	String() string
}

// Waiting is a call that waits for an endpoint.
type Waiting struct {
	ID uint64
	// New marks the first call of a root program.
	New bool
	// Served is the number of tokens that the root program has been served.
	Served uint64
	// Since is the time at which the call began to wait.
	Since time.Duration
}

type item struct {
	Waiting
	key float64
}

// less orders by key; equal keys start in the order of their IDs.
func less(a, b item) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.ID < b.ID
}

// Verdict is the result of Push.
type Verdict struct {
	// Refused means that the call was not queued.
	Refused bool
	// Closed means that the preset admits no new programs.
	Closed bool
	// Expected is the expected wait. If Closed is set, it is the time for which new programs have been refused, so that
	// a caller that retries after it waits at most about twice as long as necessary.
	Expected time.Duration
}

// Queue holds the waiting calls of one target. It has no locks; the caller serializes access.
type Queue struct {
	order  Order
	preset hgpreset.Preset
	// trees holds the waiting calls by class: activePrograms and newPrograms.
	trees [2]*btree.BTreeG[item]
	items map[uint64]item
	// meanGapMs is the moving average of the time between starts, by class; lastGrant is the time of the last start.
	meanGapMs [2]float64
	lastGrant [2]time.Duration
	// closed means that the preset has refused new programs, the first of them at closedAt.
	closed   bool
	closedAt time.Duration
}

// btreeDegree is the degree of the queue's B-trees.
const btreeDegree = 16

// NewQueue returns an empty queue with the limits and the order of a preset.
func NewQueue(p hgpreset.Preset) *Queue {
	q := &Queue{items: map[uint64]item{}}
	for k := range q.trees {
		q.trees[k] = btree.NewG(btreeDegree, less)
	}
	q.SetPreset(p)
	return q
}

// SetPreset sets the limits and the order of calls added later; calls that already wait keep their keys.
func (q *Queue) SetPreset(p hgpreset.Preset) {
	q.preset = p
	q.order = NewOrder(p)
	q.closed = q.closed && !p.AdmitNew
}

// Push adds a call or refuses it. A call is refused if the queue is full, or if other calls wait and its expected wait
// exceeds left, the time until its deadline. The first call of a program is also refused if the preset admits no new
// programs, or if other new programs wait and its expected wait exceeds the preset's limit.
func (q *Queue) Push(w Waiting, left, now time.Duration) Verdict {
	v := Verdict{Expected: q.expectedWait(w.New, now)}
	limit := time.Duration(q.preset.MaxNewWaitMs) * time.Millisecond
	switch {
	case w.New && !q.preset.AdmitNew:
		v = q.refuseNew(now)
	case q.Len() >= q.preset.MaxQueue, q.Len() > 0 && v.Expected > left:
		v.Refused = true
	case w.New && q.trees[newPrograms].Len() > 0 && v.Expected > limit:
		v.Refused = true
	}
	if v.Refused {
		return v
	}
	it := item{Waiting: w, key: q.order.Key(w)}
	q.items[w.ID] = it
	q.trees[classOf(w.New)].ReplaceOrInsert(it)
	return v
}

// refuseNew returns the verdict for a new program while the preset admits none, and records when the refusals began.
func (q *Queue) refuseNew(now time.Duration) Verdict {
	if !q.closed {
		q.closed, q.closedAt = true, now
	}
	return Verdict{Refused: true, Closed: true, Expected: now - q.closedAt}
}

// Remove removes a call and reports whether it was waiting.
func (q *Queue) Remove(id uint64) bool {
	it, ok := q.items[id]
	if !ok {
		return false
	}
	delete(q.items, id)
	q.trees[classOf(it.New)].Delete(it)
	return true
}

// Grant removes a call that starts now and updates the average time between starts of its class. The time
// during which the call had not yet arrived does not count.
func (q *Queue) Grant(id uint64, now time.Duration) {
	it, ok := q.items[id]
	if !ok {
		return
	}
	k := classOf(it.New)
	gap := float64(now-max(q.lastGrant[k], it.Since)) / float64(time.Millisecond)
	if q.meanGapMs[k] == 0 {
		q.meanGapMs[k] = gap
	}
	q.meanGapMs[k] += smoothing * (gap - q.meanGapMs[k])
	q.lastGrant[k] = now
	q.Remove(id)
}

// smoothing is the weight of a new observation in the moving average of the time between starts.
const smoothing = 0.05

// The classes of waiting calls: calls of programs that have had calls before, and first calls of new programs.
const (
	activePrograms = iota
	newPrograms
)

func classOf(isNew bool) int {
	if isNew {
		return newPrograms
	}
	return activePrograms
}

// expectedWait returns the expected wait of a call that arrives now: the number of waiting calls of its class times the
// average time between their starts. For a new program it is at least the time that the first waiting one has waited.
func (q *Queue) expectedWait(isNew bool, now time.Duration) time.Duration {
	ahead := q.trees[classOf(isNew)].Len()
	wait := time.Duration(float64(ahead) * q.meanGapMs[classOf(isNew)] * float64(time.Millisecond))
	if isNew {
		wait = max(wait, q.firstNewWait(now))
	}
	return wait
}

// firstNewWait returns how long the first waiting call among those of new programs has waited, or 0 if there is none.
func (q *Queue) firstNewWait(now time.Duration) time.Duration {
	it, ok := q.trees[newPrograms].Min()
	if !ok {
		return 0
	}
	return now - it.Since
}

// maxFirst is the greatest number of calls that First returns.
const maxFirst = 16

// First fills buf with the first waiting calls in order and returns it. Calls of new programs are included only if withNew
// is set.
func (q *Queue) First(buf []Waiting, withNew bool) []Waiting {
	var heads [2][maxFirst]item
	var n [2]int
	for k, tree := range q.trees {
		if k == newPrograms && !withNew {
			continue
		}
		tree.Ascend(func(it item) bool {
			heads[k][n[k]] = it
			n[k]++
			return n[k] < maxFirst
		})
	}
	buf = buf[:0]
	for i, j := 0, 0; len(buf) < maxFirst && i+j < n[activePrograms]+n[newPrograms]; {
		if j == n[newPrograms] || i < n[activePrograms] && less(heads[activePrograms][i], heads[newPrograms][j]) {
			buf = append(buf, heads[activePrograms][i].Waiting)
			i++
			continue
		}
		buf = append(buf, heads[newPrograms][j].Waiting)
		j++
	}
	return buf
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.items) }
