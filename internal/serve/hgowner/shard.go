package hgowner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgpreset"
	"hyssopgrade/hgprogram"
	"hyssopgrade/hgretain"
)

// NotOwner reports that the node does not own a program's shard.
type NotOwner struct{ Shard uint32 }

// Error returns a message with the shard's number.
func (e *NotOwner) Error() string { return fmt.Sprintf("shard %d is owned by another node", e.Shard) }

// errCommitTimeout refuses a call whose record was not durable in time; the record may still become durable.
var errCommitTimeout = hgcall.NewRefusal(hgcall.KindUnavailable, hgcall.ReasonStore, 2*time.Second, "the platform's store has not confirmed the record in time; ask again under the same identifier")

// shard is the state of one shard under a lock of its own.
type shard struct {
	number uint32

	mu sync.Mutex
	// epoch is the epoch under which the node owns the shard; 0 means that it does not own it.
	epoch uint64
	// closing makes new calls wait while the shard is being released.
	closing bool
	state   *hgprogram.Shard
	keeper  *hgretain.Keeper
	// committed is the number of the last durable record.
	committed uint64
	// running is the number of calls in progress.
	running int
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newShard(no uint32) *shard { return &shard{number: no, changed: make(chan struct{})} }

func (s *shard) heldEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

func (s *shard) runningCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// notify wakes the goroutines that wait for a change; the caller holds the lock.
func (s *shard) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// startServing starts serving a recovered state under the epoch.
func (s *shard) startServing(epoch uint64, state *hgprogram.Shard, p hgpreset.Preset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch, s.state, s.committed, s.closing = epoch, state, state.N(), false
	s.keeper = hgretain.NewKeeper(p)
	s.notify()
}

// stopServing discards the state; calls in progress then fail with NotOwner.
func (s *shard) stopServing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch, s.state, s.keeper, s.closing = 0, nil, nil, false
	s.notify()
}

func (s *shard) setPreset(p hgpreset.Preset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keeper != nil {
		s.keeper.SetPreset(p)
	}
}

func (s *shard) setCommitted(n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.committed = max(s.committed, n)
	s.notify()
}

// setClosing makes new calls wait. It returns false if the node does not own the shard, or if idle is set and calls run.
func (s *shard) setClosing(idle bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || idle && s.running > 0 {
		return false
	}
	s.closing = true
	return true
}

// reopen lets new calls start again.
func (s *shard) reopen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = false
	s.notify()
}

// waitIdle waits until no call runs.
func (s *shard) waitIdle(ctx context.Context) (err error) {
	return s.waitUntil(ctx, func() (bool, error) { return s.running == 0, nil })
}

// waitDurable waits until record n, written under epoch, is durable. It fails with NotOwner once the epoch is no longer held.
func (s *shard) waitDurable(ctx context.Context, epoch, n uint64) (err error) {
	return s.waitUntil(ctx, func() (bool, error) {
		if s.epoch != epoch {
			return false, &NotOwner{Shard: s.number}
		}
		return s.committed >= n, nil
	})
}

// waitUntil calls done under the lock, at first and after each change, until done returns true or an error or ctx ends.
func (s *shard) waitUntil(ctx context.Context, done func() (bool, error)) (err error) {
	for {
		s.mu.Lock()
		ok, err := done()
		changed := s.changed
		s.mu.Unlock()
		if ok || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// update runs fn on the state if the shard is still held under epoch, queues the records that fn returns, and returns the number
// of the shard's last record.
func (s *shard) update(j Journal, epoch uint64, fn func(st *hgprogram.Shard, k *hgretain.Keeper) []hgprogram.Record) (n uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || s.epoch != epoch {
		return 0, &NotOwner{Shard: s.number}
	}
	recs := fn(s.state, s.keeper)
	j.Append(s.number, epoch, recs)
	if len(recs) > 0 {
		s.notify()
	}
	return s.state.N(), nil
}

// snapshot returns a copy of the state; ok is false if the node does not own the shard.
func (s *shard) snapshot() (snap hgprogram.Snapshot, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 {
		return snap, false
	}
	return s.state.Snapshot(), true
}
