package hgstore

import (
	"context"
	"errors"
	"strings"

	"github.com/samber/lo"
)

// within is a store whose rows and objects all have names with a prefix in another one.
type within struct {
	inner  Store
	prefix string
}

// Within returns a store that keeps its rows and objects under a prefix of another one.
func Within(inner Store, prefix string) Store { return within{inner: inner, prefix: prefix} }

func (s within) row(r Row) Row {
	r.Key = strings.TrimPrefix(r.Key, s.prefix)
	return r
}

// Get returns one row.
func (s within) Get(ctx context.Context, key string) (row Row, err error) {
	row, err = s.inner.Get(ctx, s.prefix+key)
	return s.row(row), err
}

// Scan returns rows in key order.
func (s within) Scan(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
	if after != "" {
		after = s.prefix + after
	}
	rows, err = s.inner.Scan(ctx, s.prefix+prefix, after, limit)
	return lo.Map(rows, func(r Row, _ int) Row { return s.row(r) }), err
}

// Commit applies a transaction.
func (s within) Commit(ctx context.Context, t Txn) (version uint64, err error) {
	version, err = s.inner.Commit(ctx, Txn{
		Conditions: lo.Map(t.Conditions, func(c Condition, _ int) Condition { return Condition{Key: s.prefix + c.Key, Version: c.Version} }),
		Puts:       lo.Map(t.Puts, func(p Put, _ int) Put { return Put{Key: s.prefix + p.Key, Value: p.Value} }),
		Deletes:    lo.Map(t.Deletes, func(key string, _ int) string { return s.prefix + key }),
	})
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return 0, &ConflictError{
			Keys: lo.Map(conflict.Keys, func(key string, _ int) string { return strings.TrimPrefix(key, s.prefix) }),
			Rows: lo.Map(conflict.Rows, func(r Row, _ int) Row { return s.row(r) }),
		}
	}
	return version, err
}

// PutObject stores an object.
func (s within) PutObject(ctx context.Context, name string, data []byte) (err error) {
	return s.inner.PutObject(ctx, s.prefix+name, data)
}

// Object returns an object.
func (s within) Object(ctx context.Context, name string) (data []byte, err error) {
	return s.inner.Object(ctx, s.prefix+name)
}

// DeleteObject removes an object.
func (s within) DeleteObject(ctx context.Context, name string) (err error) {
	return s.inner.DeleteObject(ctx, s.prefix+name)
}

// VMs returns the VM list, which has no prefix.
func (s within) VMs(ctx context.Context) (vms []VM, err error) { return s.inner.VMs(ctx) }

// String names the implementation.
func (s within) String() string { return s.inner.String() + " under " + s.prefix }
