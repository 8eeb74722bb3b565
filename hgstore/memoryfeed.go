package hgstore

import (
	"context"
	"strings"
	"time"
)

// maxHistory is the number of changes above which a Memory store discards the older half of its history.
const maxHistory = 10_000

// recordChange adds a change to the history and wakes the waiting calls of Changes; m.mu is held.
func (m *Memory) recordChange(c Change) {
	m.history = append(m.history, c)
	if len(m.history) > maxHistory {
		m.history = append([]Change(nil), m.history[maxHistory/2:]...)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// DropHistory discards all changes, so that watchers have to list their tables again.
func (m *Memory) DropHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	m.history = nil
	close(m.changed)
	m.changed = make(chan struct{})
}

// List returns all rows with the prefix, and the version of the store after they were read.
func (m *Memory) List(ctx context.Context, prefix string) (rows []Row, version uint64, err error) {
	rows, err = m.Scan(ctx, prefix, "", int(^uint(0)>>1))
	m.mu.Lock()
	defer m.mu.Unlock()
	return rows, m.version, err
}

// Changes returns the changes to a table after a version and waits for one if there is none yet. The name of the table is the part
// of a key before the first slash.
func (m *Memory) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (changes []Change, version uint64, err error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		if err := m.injectFaults(ctx); err != nil {
			return nil, 0, err
		}
		changes, version, changed, ok := m.changesSince(table, after)
		if !ok {
			return nil, 0, ErrHistoryGone
		}
		if len(changes) > 0 {
			return changes, version, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-deadline.C:
			return nil, version, nil
		case <-changed:
		}
	}
}

// changesSince returns the changes to a table after a version, and a channel that is closed at the next change of any table. ok is
// false if the history no longer reaches back to the version.
func (m *Memory) changesSince(table string, after uint64) (changes []Change, version uint64, changed chan struct{}, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	complete := after >= m.version || len(m.history) > 0 && m.history[0].Version <= after+1
	if !complete {
		return nil, 0, nil, false
	}
	for _, c := range m.history {
		if c.Version > after && strings.HasPrefix(c.Key, table+"/") {
			changes = append(changes, c)
		}
	}
	return changes, m.version, m.changed, true
}
