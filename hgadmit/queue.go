package hgadmit

import (
	"math"
	"time"

	"github.com/google/btree"

	"hyssopgrade/hgpreset"
)

// Order gives a waiting call its place.
type Order interface {
	// Place returns a call's class and its key within the class; lower ones go first.
	Place(w Waiting) (class int, key float64)
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
	class int
	key   float64
}

func before(a, b item) bool {
	switch {
	case a.class != b.class:
		return a.class < b.class
	case a.key != b.key:
		return a.key < b.key
	}
	return a.ID < b.ID
}

// Verdict is the answer of Push; Refused calls do not wait.
type Verdict struct {
	Refused bool
	// Closed says that no new programs are taken at all.
	Closed bool
	// Expected is the expected wait.
	Expected time.Duration
}

// Queue holds the waiting calls of one target; it is a state machine without locks.
type Queue struct {
	order  Order
	preset hgpreset.Preset
	tree   *btree.BTreeG[item]
	items  map[uint64]item
	fresh  int
	gapMs  [2]float64
	last   [2]time.Duration
}

// btreeDegree is the number of children of the queue's tree nodes.
const btreeDegree = 16

// NewQueue returns an empty queue.
func NewQueue(p hgpreset.Preset) *Queue {
	q := &Queue{tree: btree.NewG(btreeDegree, before), items: map[uint64]item{}}
	q.SetPreset(p)
	return q
}

// SetPreset changes the limits and the order; calls that wait keep their places.
func (q *Queue) SetPreset(p hgpreset.Preset) {
	q.preset = p
	q.order = NewOrder(p)
}

// Push adds a call or refuses it: new programs when they would wait longer than the preset allows,
// any call when its expected wait passes the time left or the queue is full.
func (q *Queue) Push(w Waiting, left, now time.Duration) Verdict {
	v := Verdict{Expected: q.expected(w.New, now)}
	limit := time.Duration(q.preset.MaxNewWaitMs) * time.Millisecond
	switch {
	case w.New && !q.preset.AdmitNew:
		v.Refused, v.Closed = true, true
	case q.Len() >= q.preset.MaxQueue, q.Len() > 0 && v.Expected > left:
		v.Refused = true
	case w.New && q.fresh > 0 && v.Expected > limit:
		v.Refused = true
	}
	if v.Refused {
		return v
	}
	class, key := q.order.Place(w)
	it := item{Waiting: w, class: class, key: key}
	q.items[w.ID] = it
	q.tree.ReplaceOrInsert(it)
	if w.New {
		q.fresh++
	}
	return v
}

// Remove takes a call out; it returns whether the call was waiting.
func (q *Queue) Remove(id uint64) bool {
	it, ok := q.items[id]
	if !ok {
		return false
	}
	delete(q.items, id)
	q.tree.Delete(it)
	if it.New {
		q.fresh--
	}
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

func kind(isNew bool) int {
	if isNew {
		return 1
	}
	return 0
}

// expected returns the wait of a call that comes now: the calls ahead at the rate of starts, and for a new program
// at least the time that the first new one has waited.
func (q *Queue) expected(isNew bool, now time.Duration) time.Duration {
	ahead := len(q.items) - q.fresh
	if isNew {
		ahead = q.fresh
	}
	wait := time.Duration(float64(ahead) * q.gapMs[kind(isNew)] * float64(time.Millisecond))
	if isNew {
		wait = max(wait, q.firstNew(now))
	}
	return wait
}

// firstNew returns how long the first waiting call of a new program has waited.
func (q *Queue) firstNew(now time.Duration) (waited time.Duration) {
	if q.fresh == 0 {
		return 0
	}
	class, _ := q.order.Place(Waiting{New: true})
	q.tree.AscendGreaterOrEqual(item{class: class, key: math.Inf(-1)}, func(it item) bool {
		waited = now - it.Since
		return !it.New
	})
	return waited
}

// Each calls fn for the waiting calls in order until it returns false; fn must not change the queue.
func (q *Queue) Each(fn func(w Waiting) bool) {
	q.tree.Ascend(func(it item) bool { return fn(it.Waiting) })
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.items) }
