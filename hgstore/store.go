package hgstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
)

// Store is the platform's storage: transactional rows, immutable objects and the list of VMs.
type Store interface {
	Table
	Objects
	// VMs returns the VM list, which lags behind the real state of the machines.
	VMs(ctx context.Context) (vms []VM, err error)
	// String returns the name of the implementation.
	String() string
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns one row, or a trace.NotFound error.
	Get(ctx context.Context, key string) (row Row, err error)
	// Scan returns up to limit rows with the prefix, in key order, after the key `after`.
	Scan(ctx context.Context, prefix, after string, limit int) (rows []Row, err error)
	// Commit applies all of t or nothing, and returns the version of the rows that it wrote. A *ConflictError means that t was not
	// applied; after any other error it may have been applied or may still be.
	Commit(ctx context.Context, t Txn) (version uint64, err error)
}

// Objects is the platform's object store.
type Objects interface {
	// PutObject stores an object. Objects are immutable: a name is written only once.
	PutObject(ctx context.Context, name string, data []byte) (err error)
	// Object returns an object, or a trace.NotFound error.
	Object(ctx context.Context, name string) (data []byte, err error)
	// DeleteObject removes an object; removing an absent one is no error.
	DeleteObject(ctx context.Context, name string) (err error)
}

// Row is one row of a table. Its version changes with each write; versions are never reused.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Condition requires that a row has the version; version 0 requires that the row does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put is the write of one row in a transaction.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction: if all conditions hold, its puts and deletes are applied.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// keys returns the keys of the transaction's conditions, puts and deletes.
func (t Txn) keys() (keys []string) {
	for _, c := range t.Conditions {
		keys = append(keys, c.Key)
	}
	for _, p := range t.Puts {
		keys = append(keys, p.Key)
	}
	return append(keys, t.Deletes...)
}

// VMState is a VM's state in the platform's list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's VM list.
type VM struct {
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

// ConflictError reports the conditions that failed; the transaction was not applied.
type ConflictError struct {
	Keys []string `json:"keys"`
	// Rows are the present rows of the conditions, if the store returns them. Rows that do not exist are left out.
	Rows []Row `json:"rows,omitempty"`
}

// Error returns the keys of the failed conditions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition failed on %s", strings.Join(e.Keys, ", "))
}

// IsConflict returns the keys of the failed conditions if err wraps a *ConflictError, which means that the transaction was not
// applied. For any other error ok is false.
func IsConflict(err error) (keys []string, ok bool) {
	var c *ConflictError
	if !errors.As(err, &c) {
		return nil, false
	}
	return c.Keys, true
}
