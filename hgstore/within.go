package hgstore

import (
	"context"
	"errors"
	"strings"

	"github.com/samber/lo"
)

// prefixedStore is a view of the store inner that adds prefix to all keys and object names.
type prefixedStore struct {
	inner  Store
	prefix string
}

// WithPrefix returns a store whose rows and objects are those of inner under the prefix. The VM list is that of inner.
func WithPrefix(inner Store, prefix string) Store { return prefixedStore{inner: inner, prefix: prefix} }

// row returns the row with the prefix removed from its key.
func (s prefixedStore) row(r Row) Row {
	r.Key = strings.TrimPrefix(r.Key, s.prefix)
	return r
}

// Get returns one row, or a trace.NotFound error that names the key with the prefix.
func (s prefixedStore) Get(ctx context.Context, key string) (row Row, err error) {
	row, err = s.inner.Get(ctx, s.prefix+key)
	return s.row(row), err
}

// Scan returns up to limit rows with the prefix, in key order, after the key `after`.
func (s prefixedStore) Scan(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
	if after != "" {
		after = s.prefix + after
	}
	rows, err = s.inner.Scan(ctx, s.prefix+prefix, after, limit)
	return lo.Map(rows, func(r Row, _ int) Row { return s.row(r) }), err
}

// Commit applies a transaction; the keys in a *ConflictError are without the prefix.
func (s prefixedStore) Commit(ctx context.Context, t Txn) (version uint64, err error) {
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

// PutObject stores an object under the prefixed name.
func (s prefixedStore) PutObject(ctx context.Context, name string, data []byte) (err error) {
	return s.inner.PutObject(ctx, s.prefix+name, data)
}

// Object returns the object with the prefixed name, or a trace.NotFound error.
func (s prefixedStore) Object(ctx context.Context, name string) (data []byte, err error) {
	return s.inner.Object(ctx, s.prefix+name)
}

// DeleteObject removes the object with the prefixed name.
func (s prefixedStore) DeleteObject(ctx context.Context, name string) (err error) {
	return s.inner.DeleteObject(ctx, s.prefix+name)
}

// VMs returns the VM list of the inner store.
func (s prefixedStore) VMs(ctx context.Context) (vms []VM, err error) { return s.inner.VMs(ctx) }

// String returns the name of the inner store and the prefix.
func (s prefixedStore) String() string { return s.inner.String() + " under " + s.prefix }
