package hgstore

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Fault is the faults that a Memory store injects.
type Fault struct {
	// Down fails every operation without executing it.
	Down bool `json:"down"`
	// Hang leaves every operation without an answer until its context ends.
	Hang bool `json:"hang"`
	// DelayMs delays every operation, in milliseconds.
	DelayMs int `json:"delayMs"`
	// LoseReplies is the number of following commits that take effect but return an error.
	LoseReplies int `json:"loseReplies"`
	// Silent names partitions of tables, as in table/PARTITION/key. Operations on their keys do not return until their context ends.
	Silent []string `json:"silent"`
	// LagMs is the time by which the returned VM list is out of date, in milliseconds.
	LagMs int `json:"lagMs"`
}

// Usage counts the operations that a Memory store executed.
type Usage struct {
	Commits uint64 `json:"commits"`
	Reads   uint64 `json:"reads"`
	// Bytes and ReadBytes are the sizes of the values written and read.
	Bytes     uint64 `json:"bytes"`
	ReadBytes uint64 `json:"readBytes"`
}

// vmsAt is the VM list as it was set at a time.
type vmsAt struct {
	at  time.Time
	vms []VM
}

// Memory is an in-memory Store and Feed that can inject faults. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	rows    map[string]Row
	keys    []string
	objects map[string][]byte
	vms     []vmsAt
	version uint64
	fault   Fault
	usage   Usage
	history []Change
	changed chan struct{}
}

// NewMemory returns an empty store without faults.
func NewMemory() *Memory {
	return &Memory{rows: map[string]Row{}, objects: map[string][]byte{}, changed: make(chan struct{})}
}

// SetFault replaces the injected faults.
func (m *Memory) SetFault(f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// SetVMs replaces the VM list. Earlier lists are kept for Fault.LagMs.
func (m *Memory) SetVMs(vms []VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = append(m.vms, vmsAt{at: time.Now(), vms: append([]VM(nil), vms...)})
}

// Usage returns the counts of the operations executed so far.
func (m *Memory) Usage() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usage
}

// injectFaults applies the faults to an operation on keys and returns its error if it is not to be executed.
func (m *Memory) injectFaults(ctx context.Context, keys ...string) (err error) {
	m.mu.Lock()
	f := m.fault
	m.mu.Unlock()
	hangs := f.Hang
	for _, key := range keys {
		name := strings.SplitN(key, "/", 3)
		hangs = hangs || len(name) == 3 && slices.Contains(f.Silent, name[1])
	}
	if hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	if f.DelayMs > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(f.DelayMs) * time.Millisecond):
		}
	}
	if f.Down {
		return trace.ConnectionProblem(nil, "platform is down")
	}
	return ctx.Err()
}

// Get returns one row, or a trace.NotFound error.
func (m *Memory) Get(ctx context.Context, key string) (row Row, err error) {
	if err := m.injectFaults(ctx, key); err != nil {
		return row, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.Reads++
	row, ok := m.rows[key]
	if !ok {
		return row, trace.NotFound("row %q does not exist", key)
	}
	m.usage.ReadBytes += uint64(len(row.Value))
	return row, nil
}

// Scan returns up to limit rows with the prefix, in key order, after the key `after`.
func (m *Memory) Scan(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
	if err := m.injectFaults(ctx, prefix); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.Reads++
	i := sort.SearchStrings(m.keys, max(prefix, after))
	for ; i < len(m.keys) && len(rows) < limit; i++ {
		k := m.keys[i]
		if !strings.HasPrefix(k, prefix) {
			break
		}
		if k != after {
			rows = append(rows, m.rows[k])
			m.usage.ReadBytes += uint64(len(m.rows[k].Value))
		}
	}
	return rows, nil
}

// Commit applies t if all its conditions hold, or returns a *ConflictError.
func (m *Memory) Commit(ctx context.Context, t Txn) (version uint64, err error) {
	if err := m.injectFaults(ctx, t.keys()...); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.Commits++
	if err := m.checkConditions(t.Conditions); err != nil {
		return 0, err
	}
	m.version++
	for _, p := range t.Puts {
		m.put(Row{Key: p.Key, Version: m.version, Value: append([]byte(nil), p.Value...)})
	}
	for _, k := range t.Deletes {
		m.remove(k)
	}
	if m.fault.LoseReplies > 0 {
		m.fault.LoseReplies--
		return 0, trace.ConnectionProblem(nil, "reply was lost")
	}
	return m.version, nil
}

// checkConditions returns a *ConflictError that names the conditions that do not hold, or nil; m.mu is held.
func (m *Memory) checkConditions(conditions []Condition) error {
	var failed []string
	var present []Row
	for _, c := range conditions {
		row, ok := m.rows[c.Key]
		if ok {
			present = append(present, row)
		}
		if row.Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	return &ConflictError{Keys: failed, Rows: present}
}

func (m *Memory) put(row Row) {
	m.usage.Bytes += uint64(len(row.Value))
	if _, ok := m.rows[row.Key]; !ok {
		i := sort.SearchStrings(m.keys, row.Key)
		m.keys = append(m.keys, "")
		copy(m.keys[i+1:], m.keys[i:])
		m.keys[i] = row.Key
	}
	m.rows[row.Key] = row
	m.recordChange(Change{Row: row})
}

func (m *Memory) remove(key string) {
	if _, ok := m.rows[key]; !ok {
		return
	}
	delete(m.rows, key)
	m.recordChange(Change{Row: Row{Key: key, Version: m.version}, Deleted: true})
	i := sort.SearchStrings(m.keys, key)
	m.keys = append(m.keys[:i], m.keys[i+1:]...)
}

// PutObject stores a copy of data under the name.
func (m *Memory) PutObject(ctx context.Context, name string, data []byte) (err error) {
	if err := m.injectFaults(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.Commits++
	m.usage.Bytes += uint64(len(data))
	m.objects[name] = append([]byte(nil), data...)
	return nil
}

// Object returns an object, or a trace.NotFound error.
func (m *Memory) Object(ctx context.Context, name string) (data []byte, err error) {
	if err := m.injectFaults(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.Reads++
	data, ok := m.objects[name]
	if !ok {
		return nil, trace.NotFound("object %q does not exist", name)
	}
	return data, nil
}

// DeleteObject removes an object; removing an absent one is no error.
func (m *Memory) DeleteObject(ctx context.Context, name string) (err error) {
	if err := m.injectFaults(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.Commits++
	delete(m.objects, name)
	return nil
}

// VMs returns the VM list as it was Fault.LagMs ago, or the first one if there was none yet.
func (m *Memory) VMs(ctx context.Context) (vms []VM, err error) {
	if err := m.injectFaults(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usage.Reads++
	seen := time.Now().Add(-time.Duration(m.fault.LagMs) * time.Millisecond)
	for i, v := range m.vms {
		if i == 0 || !v.at.After(seen) {
			vms = v.vms
		}
	}
	return append([]VM(nil), vms...), nil
}

// String returns the name of the implementation, memory.
func (m *Memory) String() string { return "memory" }
