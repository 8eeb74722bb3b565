package hgfeed

import (
	"context"
	"maps"
	"time"

	"hyssopgrade/hgstore"
)

// Option configures a Watch.
type Option func(w *Watch)

// WithWait sets how long the store may hold a poll for which it has no changes; wait is called before each poll. A wait
// beyond DefaultWait saves calls to the store, and suits watches whose node hears of newer versions from peers.
func WithWait(wait func() time.Duration) Option { return func(w *Watch) { w.wait = wait } }

// WithLapseTime sets the time without the store after which rows may have expired because their writers could not renew them. After a
// shorter outage missing rows were removed. Without it rows may have expired in any outage.
func WithLapseTime(d time.Duration) Option { return func(w *Watch) { w.lapseTime = d } }

// WithEvidence makes the watch report each answer of the store after its changes were passed to onChange, which has returned:
// the rows as of the answer, and when the call was sent by the given clock. Copies from peers are not reported.
func WithEvidence(clock func() time.Duration, report func(rows map[string]hgstore.Row, sent time.Duration)) Option {
	return func(w *Watch) { w.clock, w.report = clock, report }
}

// evidence returns a function that reports the answer to the present call; w.mu is held, and must not be held when the returned
// function is called.
func (w *Watch) evidence() (report func()) {
	if w.report == nil {
		return func() {}
	}
	rows, sent := maps.Clone(w.snapshot.Rows), w.poll.sent
	return func() { w.report(rows, sent) }
}

// maxLag is how long a peer may know of a newer version before an extended poll for it is cancelled.
const maxLag = 250 * time.Millisecond

// longPoll is a call to the store that is waiting for changes, or for a list of the table.
type longPoll struct {
	// cancel ends the call; nil if none is in flight.
	cancel context.CancelFunc
	// began and beganWall are when it was sent; the latter is a reading of the wall clock only.
	began     time.Duration
	beganWall time.Time
	// sent is when it was sent, on the clock of WithEvidence.
	sent time.Duration
	// wait is how long the store may hold the call.
	wait time.Duration
}

// isExtended says whether the store may hold the poll beyond DefaultWait. Only such a poll is cancelled early: one with
// DefaultWait ends soon by itself, and its failure is what shows that the store is unreachable.
func (p longPoll) isExtended() bool { return p.cancel != nil && p.wait > DefaultWait }

// beginPoll records a poll as in flight and returns its context and wait; the caller calls end after the poll.
func (w *Watch) beginPoll(ctx context.Context) (pollCtx context.Context, wait time.Duration, end func()) {
	wait = w.wait()
	pollCtx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.peerVersion > w.snapshot.Version {
		wait = min(wait, DefaultWait)
	}
	w.poll = longPoll{cancel: cancel, began: w.timer.Now(), beganWall: time.Now().Round(0), sent: w.clock(), wait: wait}
	return pollCtx, wait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.poll = longPoll{}
		cancel()
	}
}

// ShortenWait cancels an extended poll that has lasted longer than DefaultWait, as its connection may no longer deliver
// anything. It is called when the extended wait no longer applies.
func (w *Watch) ShortenWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.poll.isExtended() && w.timer.Now()-w.poll.began > DefaultWait {
		w.poll.cancel()
	}
}

// NotePeerVersion records that a peer knows the table at a version. If the store has not delivered a newer version within
// maxLag, an extended poll is cancelled so that the next one, with DefaultWait, shows whether the store answers.
func (w *Watch) NotePeerVersion(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.timer.Now()
	switch {
	case version <= w.snapshot.Version:
	case w.peerVersion <= w.snapshot.Version:
		w.peerVersion, w.peerVersionAt = version, now
	case now-w.peerVersionAt > maxLag && w.poll.isExtended():
		w.log.Info("table is older than a peer's copy; restarting the poll", "table", w.table, "version", w.snapshot.Version, "newer", version)
		w.poll.cancel()
	}
}

// IsOverdue reports whether the answer to the call in flight is overdue by more than a limit. While the store answers other calls, the
// connection of such a call no longer delivers anything.
func (w *Watch) IsOverdue(limit time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.poll.cancel != nil && w.timer.Now()-w.poll.began > w.poll.wait+limit
}
