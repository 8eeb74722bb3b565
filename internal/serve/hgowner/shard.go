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

// Error names the shard.
func (e *NotOwner) Error() string { return fmt.Sprintf("shard %d is owned by another node", e.Shard) }

// errSlow reports that a record was not durable in time; it may still become durable.
var errSlow = hgcall.NewRefusal(hgcall.KindUnavailable, hgcall.ReasonStore, 2*time.Second, "the platform's store has not confirmed the record in time; ask again under the same identifier")

// shard is one shard's state under its own lock; epoch 0 means that the node does not own it.
type shard struct {
	no uint32

	mu        sync.Mutex
	epoch     uint64
	closing   bool
	state     *hgprogram.Shard
	keeper    *hgretain.Keeper
	committed uint64
	running   int
	changed   chan struct{}
}

func newShard(no uint32) *shard { return &shard{no: no, changed: make(chan struct{})} }

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

// notify wakes all that wait for a change; the caller holds the lock.
func (s *shard) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// hold starts serving a recovered state.
func (s *shard) hold(epoch uint64, state *hgprogram.Shard, p hgpreset.Preset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch, s.state, s.committed, s.closing = epoch, state, state.N(), false
	s.keeper = hgretain.NewKeeper(p)
	s.notify()
}

// drop stops serving.
func (s *shard) drop() {
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

// setClosing stops new calls; it fails when calls run and idle is demanded.
func (s *shard) setClosing(idle bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || idle && s.running > 0 {
		return false
	}
	s.closing = true
	return true
}

// reopen takes new calls again.
func (s *shard) reopen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = false
	s.notify()
}

// idle waits until no call runs.
func (s *shard) idle(ctx context.Context) (err error) {
	return s.until(ctx, func() (bool, error) { return s.running == 0, nil })
}

// durable waits until record n, written under epoch, is durable.
func (s *shard) durable(ctx context.Context, epoch, n uint64) (err error) {
	return s.until(ctx, func() (bool, error) {
		if s.epoch != epoch {
			return false, &NotOwner{Shard: s.no}
		}
		return s.committed >= n, nil
	})
}

// until waits until done, called under the lock after each change, returns true or an error.
func (s *shard) until(ctx context.Context, done func() (bool, error)) (err error) {
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

// update runs fn on the state if the shard is still held under epoch, appends the records and returns the last one's number.
func (s *shard) update(j Journal, epoch uint64, fn func(st *hgprogram.Shard, k *hgretain.Keeper) []hgprogram.Record) (n uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || s.epoch != epoch {
		return 0, &NotOwner{Shard: s.no}
	}
	recs := fn(s.state, s.keeper)
	j.Append(s.no, epoch, recs)
	if len(recs) > 0 {
		s.notify()
	}
	return s.state.N(), nil
}

// snapshot returns the encoded state and its last record.
func (s *shard) snapshot() (snap hgprogram.Snapshot, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 {
		return snap, false
	}
	return s.state.Snapshot(), true
}
