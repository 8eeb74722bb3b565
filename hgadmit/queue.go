package hgadmit

import (
	"time"

	"github.com/google/btree"

	"hyssopgrade/hgpreset"
)

// Order orders waiting calls.
type Order interface {
	// Key returns a call's key, which never changes while it waits; lower ones go first.
	Key(w Waiting) float64
	// String names the order.
	String() string
}

// Waiting is a call that waits.
type Waiting struct {
	ID uint64
	// New says that it is the first call of a root program.
	New bool
	// Served is the tokens that the root program has been served.
	Served uint64
	// Since is when the call began to wait.
	Since time.Duration
}

type item struct {
	Waiting
	key float64
}

func before(a, b item) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.ID < b.ID
}

// Verdict is the answer of Push; Refused calls do not wait.
type Verdict struct {
	Refused bool
	// Closed says that no new programs are taken at all.
	Closed bool
	// Expected is the expected wait; while no new programs are taken it is the time for which this has lasted, so that
	// a caller that comes back after it waits at most about twice as long as need be.
	Expected time.Duration
}

// Queue holds the waiting calls of one target; it is a state machine without locks.
type Queue struct {
	order  Order
	preset hgpreset.Preset
	// trees hold the calls of programs under way and of new programs.
	trees [2]*btree.BTreeG[item]
	items map[uint64]item
	gapMs [2]float64
	last  [2]time.Duration
	// closed and closedAt tell that, and since when, new programs have been refused by the preset.
	closed   bool
	closedAt time.Duration
}

// btreeDegree is the number of children of the queue's tree nodes.
const btreeDegree = 16

// NewQueue returns an empty queue.
func NewQueue(p hgpreset.Preset) *Queue {
	q := &Queue{items: map[uint64]item{}}
	for k := range q.trees {
		q.trees[k] = btree.NewG(btreeDegree, before)
	}
	q.SetPreset(p)
	return q
}

// SetPreset changes the limits and the order; calls that wait keep their places.
func (q *Queue) SetPreset(p hgpreset.Preset) {
	q.preset = p
	q.order = NewOrder(p)
	q.closed = q.closed && !p.AdmitNew
}

// Push adds a call or refuses it: new programs when they would wait longer than the preset allows,
// any call when its expected wait passes the time left or the queue is full.
func (q *Queue) Push(w Waiting, left, now time.Duration) Verdict {
	v := Verdict{Expected: q.expected(w.New, now)}
	limit := time.Duration(q.preset.MaxNewWaitMs) * time.Millisecond
	switch {
	case w.New && !q.preset.AdmitNew:
		v = q.refuseNew(now)
	case q.Len() >= q.preset.MaxQueue, q.Len() > 0 && v.Expected > left:
		v.Refused = true
	case w.New && q.trees[fresh].Len() > 0 && v.Expected > limit:
		v.Refused = true
	}
	if v.Refused {
		return v
	}
	it := item{Waiting: w, key: q.order.Key(w)}
	q.items[w.ID] = it
	q.trees[kind(w.New)].ReplaceOrInsert(it)
	return v
}

// refuseNew refuses a new program and notes when that began.
func (q *Queue) refuseNew(now time.Duration) Verdict {
	if !q.closed {
		q.closed, q.closedAt = true, now
	}
	return Verdict{Refused: true, Closed: true, Expected: now - q.closedAt}
}

// Remove takes a call out; it returns whether the call was waiting.
func (q *Queue) Remove(id uint64) bool {
	it, ok := q.items[id]
	if !ok {
		return false
	}
	delete(q.items, id)
	q.trees[kind(it.New)].Delete(it)
	return true
}

// Grant takes a call out because it starts, and learns the rate of starts.
func (q *Queue) Grant(id uint64, now time.Duration) {
	it, ok := q.items[id]
	if !ok {
		return
	}
	k := kind(it.New)
	gap := float64(now-max(q.last[k], it.Since)) / float64(time.Millisecond)
	if q.gapMs[k] == 0 {
		q.gapMs[k] = gap
	}
	q.gapMs[k] += smoothing * (gap - q.gapMs[k])
	q.last[k] = now
	q.Remove(id)
}

// smoothing is the weight of a new observation of the gap between starts.
const smoothing = 0.05

// The kinds of waiting calls.
const (
	underWay = iota
	fresh
)

func kind(isNew bool) int {
	if isNew {
		return fresh
	}
	return underWay
}

// expected returns the wait of a call that comes now: the calls ahead at the rate of starts, and for a new program
// at least the time that the first new one has waited.
func (q *Queue) expected(isNew bool, now time.Duration) time.Duration {
	ahead := q.trees[kind(isNew)].Len()
	wait := time.Duration(float64(ahead) * q.gapMs[kind(isNew)] * float64(time.Millisecond))
	if isNew {
		wait = max(wait, q.firstNew(now))
	}
	return wait
}

// firstNew returns how long the first waiting call of a new program has waited.
func (q *Queue) firstNew(now time.Duration) time.Duration {
	it, ok := q.trees[fresh].Min()
	if !ok {
		return 0
	}
	return now - it.Since
}

// maxFirst bounds the calls that First returns.
const maxFirst = 16

// First fills buf with the first waiting calls in order, without those of new programs unless withNew.
func (q *Queue) First(buf []Waiting, withNew bool) []Waiting {
	var heads [2][maxFirst]item
	var n [2]int
	for k, tree := range q.trees {
		if k == fresh && !withNew {
			continue
		}
		tree.Ascend(func(it item) bool {
			heads[k][n[k]] = it
			n[k]++
			return n[k] < maxFirst
		})
	}
	buf = buf[:0]
	for i, j := 0, 0; len(buf) < maxFirst && i+j < n[underWay]+n[fresh]; {
		if j == n[fresh] || i < n[underWay] && before(heads[underWay][i], heads[fresh][j]) {
			buf = append(buf, heads[underWay][i].Waiting)
			i++
			continue
		}
		buf = append(buf, heads[fresh][j].Waiting)
		j++
	}
	return buf
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.items) }
