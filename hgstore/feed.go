package hgstore

import (
	"context"
	"errors"
	"time"
)

// Feed is a table service whose tables can be listed and then watched for changes.
type Feed interface {
	// List returns all rows whose keys begin with the prefix, and the version of the store from which to watch for changes.
	List(ctx context.Context, prefix string) (rows []Row, version uint64, err error)
	// Changes returns the changes to a table after a version, and the version from which to go on. It returns as soon as there is a
	// change, or without any when wait has passed. ErrHistoryGone means that the store no longer has all changes since the version.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (changes []Change, version uint64, err error)
}

// Change is a change of one row: its new value, or its removal.
type Change struct {
	Row
	// Deleted reports that the row was removed; its value is then empty.
	Deleted bool
}

// ErrHistoryGone means that the store has discarded changes that the watcher has not seen. The watcher has to list the table again.
var ErrHistoryGone = errors.New("changes since the given version were discarded")

// ErrRefused means that the store refused an operation without executing it, for example under overload.
var ErrRefused = errors.New("store refused the operation")
