package hgfeed

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
)

const (
	// UsualWait is how long the store may hold a call without changes; a connection that went silent is noticed soon after.
	UsualWait = time.Second
	// gatherFor is the pause after changes, in which further ones gather for the next call.
	gatherFor = 200 * time.Millisecond
	// retryAfter is the pause after a failure.
	retryAfter = 250 * time.Millisecond
	// lapseTime is the time after an outage in which rows that lapsed during it come back. It counts from the store's
	// return, so that a row that is removed later is gone within the same time of its removal.
	lapseTime = 2 * time.Second
	// lapseTold is how long after that the state is told without a change.
	lapseTold = 3 * time.Second
)

// Copy is the state of a table: rows by key, the version of its newest change, and the version it is as of.
type Copy struct {
	Rows    map[string]hgstore.Row
	Changed uint64
	Version uint64
}

// Watch follows one table; it is safe for concurrent use.
type Watch struct {
	store hgstore.Feed
	table string
	timer hgtimer.Timer
	log   *slog.Logger
	// onChange gets each new state, and how much longer rows may be missing because of an outage.
	onChange func(rows map[string]hgstore.Row, lapse time.Duration)

	mu   sync.Mutex
	copy Copy
	// fresh is when the store last confirmed the copy, and failing since when it has not answered; 0 if it does.
	fresh, failing time.Duration
	// regained is when the store was last reached again.
	regained time.Duration
	listed   bool
	// wait is how long the store may hold a call without changes.
	wait func() time.Duration
	call waiting
	// newer is the version of the newest change that a peer knows of, and told when it first said so.
	newer uint64
	told  time.Duration
}

// NewWatch returns a watch of a table that is not running.
func NewWatch(store hgstore.Feed, table string, timer hgtimer.Timer, log *slog.Logger, onChange func(rows map[string]hgstore.Row, lapse time.Duration), opts ...Option) *Watch {
	w := &Watch{
		store: store, table: table, timer: timer, log: log, onChange: onChange, copy: Copy{Rows: map[string]hgstore.Row{}},
		wait: func() time.Duration { return UsualWait },
	}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Run follows the table until the context ends.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := gatherFor
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			w.failed(err)
			pause = retryAfter
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (w *Watch) step(ctx context.Context) error {
	w.mu.Lock()
	listed, after := w.listed, w.copy.Version
	w.mu.Unlock()
	if !listed {
		rows, version, err := w.store.List(ctx, w.table+"//")
		if err == nil {
			w.listedRows(rows, version)
		}
		return err
	}
	call, wait, end := w.begin(ctx)
	defer end()
	changes, version, err := w.store.Changes(call, w.table, after, wait)
	if err != nil && call.Err() != nil && ctx.Err() == nil {
		// The call was ended in favour of a new one, which says nothing of the store.
		return nil
	}
	if errors.Is(err, hgstore.ErrHistoryGone) {
		w.log.Info("feed history is gone", "table", w.table, "version", after)
		w.mu.Lock()
		w.listed = false
		w.mu.Unlock()
		return nil
	}
	if err == nil {
		w.changed(changes, version)
	}
	return err
}

func (w *Watch) failed(err error) {
	now := w.timer.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing == 0 {
		w.failing = now
		w.log.Warn("feed lost", "table", w.table, "version", w.copy.Version, "error", err)
	}
	// A feed that failed may have missed the end of its history.
	w.listed = false
}

// reached notes an answer of the store; w.mu is held.
func (w *Watch) reached() {
	now := w.timer.Now()
	w.fresh = now
	if w.failing != 0 {
		w.log.Info("feed regained", "table", w.table, "after", now-w.failing)
		w.failing, w.regained = 0, now
	}
}

// lapse returns how much longer missing rows may come back; w.mu is held.
func (w *Watch) lapse() time.Duration {
	if w.regained == 0 {
		return 0
	}
	return max(w.regained+lapseTime-w.timer.Now(), 0)
}

func (w *Watch) listedRows(rows []hgstore.Row, version uint64) {
	w.mu.Lock()
	w.reached()
	w.listed = true
	w.replace(Copy{Rows: lo.KeyBy(rows, func(r hgstore.Row) string { return r.Key }), Changed: version, Version: version})
	copied, lapse := maps.Clone(w.copy.Rows), w.lapse()
	w.mu.Unlock()
	w.onChange(copied, lapse)
}

// replace takes over a state unless it is older; w.mu is held.
func (w *Watch) replace(c Copy) bool {
	if c.Version < w.copy.Version {
		return false
	}
	w.copy = c
	return true
}

func (w *Watch) changed(changes []hgstore.Change, version uint64) {
	w.mu.Lock()
	w.reached()
	for _, c := range changes {
		if c.Deleted {
			delete(w.copy.Rows, c.Key)
		} else {
			w.copy.Rows[c.Key] = c.Row
		}
		w.copy.Changed = max(w.copy.Changed, c.Version)
	}
	w.copy.Version = max(w.copy.Version, version)
	lapse := w.lapse()
	if len(changes) == 0 && !w.hasLapsed() {
		w.mu.Unlock()
		return
	}
	copied := maps.Clone(w.copy.Rows)
	w.mu.Unlock()
	w.onChange(copied, lapse)
}

// hasLapsed says whether rows that were missing after an outage have become gone a moment ago; w.mu is held.
func (w *Watch) hasLapsed() bool {
	since := w.timer.Now() - w.regained
	return w.regained > 0 && since >= lapseTime && since < lapseTime+lapseTold
}

// Offer takes over a peer's copy if it is newer.
func (w *Watch) Offer(c Copy) {
	w.mu.Lock()
	if c.Changed <= w.copy.Changed || !w.replace(Copy{Rows: maps.Clone(c.Rows), Changed: c.Changed, Version: c.Version}) {
		w.mu.Unlock()
		return
	}
	w.log.Info("table taken from a peer", "table", w.table, "version", c.Version)
	copied := maps.Clone(w.copy.Rows)
	w.mu.Unlock()
	w.onChange(copied, 0)
}

// Copy returns the present state.
func (w *Watch) Copy() Copy {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Copy{Rows: maps.Clone(w.copy.Rows), Changed: w.copy.Changed, Version: w.copy.Version}
}

// Changed returns the version of the newest change.
func (w *Watch) Changed() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.copy.Changed
}

// Failing returns for how long the store has not answered; 0 if it does.
func (w *Watch) Failing() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing == 0 {
		return 0
	}
	return w.timer.Now() - w.failing
}
