package hgfeed

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
)

const (
	// DefaultWait is how long the store may hold a poll for which it has no changes. A connection that no longer delivers
	// anything is noticed soon after this time.
	DefaultWait = time.Second
	// coalesceDelay is the pause after an answer of the store, so that changes in quick succession arrive in one poll.
	coalesceDelay = 200 * time.Millisecond
	// retryAfter is the pause after a call to the store that failed.
	retryAfter = 250 * time.Millisecond
	// outageGrace is the time after an outage of the store in which rows that expired during it may be written again. It
	// counts from the store's recovery and not from a row's removal, so a row that is removed after the outage is dropped
	// at most this long after its removal.
	outageGrace = 2 * time.Second
	// graceEndWindow is the time after the end of outageGrace in which the table is reported without a change too, so that
	// consumers drop the rows that were not written again.
	graceEndWindow = 3 * time.Second
)

// Snapshot is a snapshot of a table.
type Snapshot struct {
	// Rows are the rows by key.
	Rows map[string]hgstore.Row
	// Changed is the version of the newest change since the table was listed, or of the list itself; 0 before the first list.
	Changed uint64
	// Version is the version of the store up to which all changes to the table are included.
	Version uint64
}

// Watch keeps a copy of one table up to date; it is safe for concurrent use.
type Watch struct {
	store hgstore.Feed
	table string
	timer hgtimer.Timer
	log   *slog.Logger
	// onChange is called with all rows after each change, and with how much longer missing rows may be written again
	// because they expired during an outage of the store; 0 if there is no such time left.
	onChange func(rows map[string]hgstore.Row, grace time.Duration)

	mu       sync.Mutex
	snapshot Snapshot
	// confirmedAt is when the last call that the store answered was sent, and confirmedWall the same on the wall clock. failingSince
	// is when the store began to fail; 0 while it answers.
	confirmedAt, failingSince time.Duration
	confirmedWall             time.Time
	// recoveredAt is when the store last answered again after an outage in which rows may have expired; 0 if there was none. They may
	// after lapseTime without the store.
	recoveredAt, lapseTime time.Duration
	// listed says that the table was listed since the last failure, so that polls for changes can go on from there.
	listed bool
	// wait returns how long the store may hold a poll for which it has no changes.
	wait func() time.Duration
	poll longPoll
	// clock and report are those of WithEvidence; report is nil without it.
	clock  func() time.Duration
	report func(rows map[string]hgstore.Row, sent time.Duration)
	// wake ends the pause between two calls.
	wake chan struct{}
	// peerVersion is the first version beyond the snapshot's that a peer has reported, and peerVersionAt when it did.
	peerVersion   uint64
	peerVersionAt time.Duration
}

// NewWatch returns a watch of a table; it does nothing until Run is called.
func NewWatch(store hgstore.Feed, table string, timer hgtimer.Timer, log *slog.Logger, onChange func(rows map[string]hgstore.Row, grace time.Duration), opts ...Option) *Watch {
	w := &Watch{
		store: store, table: table, timer: timer, log: log, onChange: onChange, snapshot: Snapshot{Rows: map[string]hgstore.Row{}},
		wait: func() time.Duration { return DefaultWait }, wake: make(chan struct{}, 1), clock: timer.Now,
	}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Run lists the table and polls for its changes until the context ends.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := coalesceDelay
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			w.noteFailure(err)
			pause = retryAfter
		}
		select {
		case <-ctx.Done():
		case <-w.wake:
		case <-time.After(pause):
		}
	}
}

// Retry makes the watch call the store at once, instead of after its pause or the timeout of the call in flight. It is called
// when the store is known to answer again, as it may never answer a call that was sent before.
func (w *Watch) Retry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.poll.cancel != nil {
		w.poll.cancel()
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// step makes one call to the store: a list if there is no base for changes, otherwise a poll for changes.
func (w *Watch) step(ctx context.Context) error {
	w.mu.Lock()
	listed, after := w.listed, w.snapshot.Version
	w.mu.Unlock()
	pollCtx, wait, end := w.beginPoll(ctx)
	defer end()
	if !listed {
		rows, version, err := w.store.List(pollCtx, w.prefix())
		if err == nil {
			w.applyList(rows, version)
		}
		return err
	}
	changes, version, err := w.store.Changes(pollCtx, w.table, after, wait)
	if err != nil && pollCtx.Err() != nil && ctx.Err() == nil {
		// This node cancelled the poll to start a new one; that is no failure of the store.
		return nil
	}
	if errors.Is(err, hgstore.ErrHistoryGone) {
		w.log.Info("change history no longer available; listing the table again", "table", w.table, "version", after)
		w.mu.Lock()
		w.listed = false
		w.mu.Unlock()
		return nil
	}
	if err == nil {
		// The store reports the changes of all partitions of the table.
		changes = lo.Filter(changes, func(c hgstore.Change, _ int) bool { return strings.HasPrefix(c.Key, w.prefix()) })
		w.applyChanges(after, changes, version)
	}
	return err
}

// prefix returns the prefix of the keys of the watched rows, which are in the partition without a name.
func (w *Watch) prefix() string { return w.table + "//" }

func (w *Watch) noteFailure(err error) {
	now := w.timer.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failingSince == 0 {
		w.failingSince = now
		w.log.Warn("watch of table failed", "table", w.table, "version", w.snapshot.Version, "error", err)
	}
	// The store may have discarded changes that were not read before the failure, so the table is listed again.
	w.listed = false
}

// noteSuccess records that the store has answered; w.mu is held.
func (w *Watch) noteSuccess() {
	now := w.timer.Now()
	away := now - w.confirmedAt
	w.confirmedAt, w.confirmedWall = w.poll.began, w.poll.beganWall
	if w.failingSince == 0 {
		return
	}
	w.log.Info("watch of table recovered", "table", w.table, "after", now-w.failingSince, "away", away)
	w.failingSince = 0
	if away >= w.lapseTime {
		w.recoveredAt = now
	}
}

// graceLeft returns how much of outageGrace is left; w.mu is held.
func (w *Watch) graceLeft() time.Duration {
	if w.recoveredAt == 0 {
		return 0
	}
	return max(w.recoveredAt+outageGrace-w.timer.Now(), 0)
}

func (w *Watch) applyList(rows []hgstore.Row, version uint64) {
	w.mu.Lock()
	w.noteSuccess()
	w.listed = true
	w.replace(Snapshot{Rows: lo.KeyBy(rows, func(r hgstore.Row) string { return r.Key }), Changed: version, Version: version})
	copied, grace, report := maps.Clone(w.snapshot.Rows), w.graceLeft(), w.evidence()
	w.mu.Unlock()
	w.onChange(copied, grace)
	report()
}

// replace sets the snapshot unless c is older, and says whether it did; w.mu is held.
func (w *Watch) replace(c Snapshot) bool {
	if c.Version < w.snapshot.Version {
		return false
	}
	w.snapshot = c
	return true
}

// applyChanges applies the changes after a version, unless a peer's copy has replaced the snapshot that they continue. Those that
// the copy does not include are polled for again.
func (w *Watch) applyChanges(after uint64, changes []hgstore.Change, version uint64) {
	w.mu.Lock()
	replaced := w.snapshot.Version != after
	if replaced && version > w.snapshot.Version {
		w.mu.Unlock()
		return
	}
	w.noteSuccess()
	if replaced {
		report := w.evidence()
		w.mu.Unlock()
		report()
		return
	}
	for _, c := range changes {
		if c.Deleted {
			delete(w.snapshot.Rows, c.Key)
		} else {
			w.snapshot.Rows[c.Key] = c.Row
		}
		w.snapshot.Changed = max(w.snapshot.Changed, c.Version)
	}
	w.snapshot.Version = max(w.snapshot.Version, version)
	grace, report := w.graceLeft(), w.evidence()
	if len(changes) == 0 && !w.graceJustEnded() {
		w.mu.Unlock()
		report()
		return
	}
	copied := maps.Clone(w.snapshot.Rows)
	w.mu.Unlock()
	w.onChange(copied, grace)
	report()
}

// graceJustEnded says whether outageGrace ended less than graceEndWindow ago; w.mu is held.
func (w *Watch) graceJustEnded() bool {
	since := w.timer.Now() - w.recoveredAt
	return w.recoveredAt > 0 && since >= outageGrace && since < outageGrace+graceEndWindow
}

// Offer replaces the table by a peer's copy if that has a newer change.
func (w *Watch) Offer(c Snapshot) {
	w.mu.Lock()
	if c.Changed <= w.snapshot.Changed || !w.replace(Snapshot{Rows: maps.Clone(c.Rows), Changed: c.Changed, Version: c.Version}) {
		w.mu.Unlock()
		return
	}
	w.log.Info("table replaced by newer copy from a peer", "table", w.table, "version", c.Version)
	copied := maps.Clone(w.snapshot.Rows)
	w.mu.Unlock()
	w.onChange(copied, 0)
}

// Snapshot returns the table as it is now; the map is the caller's own.
func (w *Watch) Snapshot() Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Snapshot{Rows: maps.Clone(w.snapshot.Rows), Changed: w.snapshot.Changed, Version: w.snapshot.Version}
}

// Changed returns the version of the newest change to the table, as in Snapshot.Changed; 0 if the table has not been read
// yet.
func (w *Watch) Changed() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.snapshot.Changed
}

// Failing returns the time since the store began to fail; 0 while it answers.
func (w *Watch) Failing() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failingSince == 0 {
		return 0
	}
	return w.timer.Now() - w.failingSince
}

// Age returns how old the snapshot is at most. The wall clock counts too, as the timer stands still while the VM is suspended.
func (w *Watch) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.timer.Now()-w.confirmedAt, time.Now().Round(0).Sub(w.confirmedWall))
}
