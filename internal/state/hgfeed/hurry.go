package hgfeed

import (
	"context"
	"time"
)

// Option changes a watch.
type Option func(w *Watch)

// WithWait sets how long the store may hold a call without changes. Where peers tell of newer versions, a long wait
// saves calls.
func WithWait(wait func() time.Duration) Option { return func(w *Watch) { w.wait = wait } }

// behindFor is how long a peer may know of a newer version before the call that waits for it is ended.
const behindFor = 250 * time.Millisecond

// begin notes a call that waits for changes; the returned function ends it.
func (w *Watch) begin(ctx context.Context) (call context.Context, end func()) {
	call, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hurry, w.called = cancel, w.timer.Now()
	return call, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.hurry = nil
		cancel()
	}
}

// Hurry ends a call that has waited for longer than usual, as its connection may have fallen silent.
func (w *Watch) Hurry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hurry != nil && w.timer.Now()-w.called > waitFor {
		w.hurry()
	}
}

// Behind tells that a peer knows of a change. If that does not come soon, the call that waits for it is ended.
func (w *Watch) Behind(changed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.timer.Now()
	switch {
	case changed <= w.copy.Version:
	case w.newer <= w.copy.Version:
		w.newer, w.told = changed, now
	case now-w.told > behindFor && w.hurry != nil && now-w.called > behindFor:
		w.log.Info("feed is behind a peer", "table", w.table, "version", w.copy.Version, "newer", changed)
		w.hurry()
	}
}
