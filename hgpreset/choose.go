package hgpreset

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"hyssopgrade/hgstore"
)

// logPrefix is the prefix of the rows that keep each accepted version.
const logPrefix = "preset/log/"

func logKey(n uint64) string { return fmt.Sprintf("%s%016d", logPrefix, n) }

// Taken reports that another choice was accepted first.
type Taken struct{ Winner Version }

// Error names the winner.
func (e *Taken) Error() string {
	return fmt.Sprintf("version %d was taken by %s for preset %q", e.Winner.Number, e.Winner.By, e.Winner.Preset.Name)
}

// chooseRetry is the wait after an ambiguous reply.
const chooseRetry = 50 * time.Millisecond

// Load returns the version in force; without a row it is first, and version is 0.
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

// Choose puts a preset in force by compare-and-swap. A *Taken error means that another choice won the race.
// After an ambiguous reply the log row of the version tells whose choice it was; the same transaction is sent
// again only while that row does not exist, so that no choice is accepted twice.
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
		winner, found, _ := logged(ctx, store, v.Number)
		switch {
		case found && winner.Nonce == v.Nonce:
			return v, nil
		case found:
			return v, &Taken{Winner: winner}
		}
		select {
		case <-ctx.Done():
			return v, trace.ConnectionProblem(ctx.Err(), "it is not known whether version %d was accepted", v.Number)
		case <-time.After(chooseRetry):
		}
	}
}

// logged returns the accepted version of a number.
func logged(ctx context.Context, store hgstore.Table, n uint64) (v Version, found bool, err error) {
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
