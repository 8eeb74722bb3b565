package hgpreset

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"hyssopgrade/hgstore"
)

// logPrefix begins the keys of the rows that record each accepted version.
const logPrefix = "preset/log/"

func logKey(n uint64) string { return fmt.Sprintf("%s%016d", logPrefix, n) }

// ConflictError is the error of a choice that lost the race: Winner was accepted under the same version number.
type ConflictError struct{ Winner Version }

// Error returns who took the version and for which preset.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d was taken by %s for preset %q", e.Winner.Number, e.Winner.By, e.Winner.Preset.Name)
}

// chooseRetry is the delay before a transaction is sent again whose outcome is not known.
const chooseRetry = 50 * time.Millisecond

// Load returns the version in force and the version of its row. If no choice was made yet these are first and 0.
func Load(ctx context.Context, store hgstore.Table, first Version) (v Version, version uint64, err error) {
	defer func() { err = trace.Wrap(err, "read the preset in force") }()
	row, err := store.Get(ctx, Key)
	if trace.IsNotFound(err) {
		return first, 0, nil
	}
	if err != nil {
		return v, 0, err
	}
	v, err = VersionCodec.Decode(row.Value)
	return v, row.Version, err
}

// Choose puts a preset in force by compare-and-swap. A *ConflictError means that another choice won the race.
// If a commit fails, it may still have been applied. The log row of the version then shows whose choice was accepted; the same
// transaction is sent again only while that row does not exist, so that no choice is accepted twice.
func Choose(ctx context.Context, store hgstore.Table, first Version, p Preset, by string) (v Version, err error) {
	defer func() { err = trace.Wrap(err, "choose preset %q", p.Name) }()
	if err := p.Check(); err != nil {
		return v, err
	}
	now, version, err := Load(ctx, store, first)
	if err != nil {
		return v, err
	}
	v = Version{Number: now.Number + 1, Preset: p, By: by, Nonce: uuid.NewString()}
	data, err := VersionCodec.Encode(v)
	if err != nil {
		return v, err
	}
	t := hgstore.Txn{
		Conditions: []hgstore.Condition{{Key: Key, Version: version}, {Key: logKey(v.Number)}},
		Puts:       []hgstore.Put{{Key: Key, Value: data}, {Key: logKey(v.Number), Value: data}},
	}
	for {
		_, err := store.Commit(ctx, t)
		if err == nil {
			return v, nil
		}
		winner, found, _ := accepted(ctx, store, v.Number)
		switch {
		case found && winner.Nonce == v.Nonce:
			return v, nil
		case found:
			return v, &ConflictError{Winner: winner}
		}
		select {
		case <-ctx.Done():
			return v, trace.ConnectionProblem(ctx.Err(), "it is not known whether version %d was accepted", v.Number)
		case <-time.After(chooseRetry):
		}
	}
}

// accepted returns the version that was accepted under a number; found is false if there is none yet or it can't be read.
func accepted(ctx context.Context, store hgstore.Table, n uint64) (v Version, found bool, err error) {
	row, err := store.Get(ctx, logKey(n))
	if trace.IsNotFound(err) {
		return v, false, nil
	}
	if err != nil {
		return v, false, err
	}
	v, err = VersionCodec.Decode(row.Value)
	return v, err == nil, err
}
