package hghedge_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/state/hghedge"
)

// faultyTable is a table that applies each transaction, but whose first answers are lost or replaced by errors.
type faultyTable struct {
	*hgstore.Memory
	// silent is the number of answers still to be lost, and failing that of answers still to be errors.
	silent, failing atomic.Int64
	calls           atomic.Int64
}

func (f *faultyTable) Commit(ctx context.Context, t hgstore.Txn) (uint64, error) {
	f.calls.Add(1)
	version, err := f.Memory.Commit(ctx, t)
	if f.silent.Add(-1) >= 0 {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if f.failing.Add(-1) >= 0 {
		return 0, errors.New("connection reset")
	}
	return version, err
}

// A transaction whose answer is lost or an error is sent again; one that was applied by a lost attempt then conflicts with
// its own condition. A store that always fails gets only one more attempt.
func TestCommitSentAgain(t *testing.T) {
	put := []hgstore.Put{{Key: "t/p/k", Value: []byte("v")}}
	absent := []hgstore.Condition{{Key: "t/p/k"}}
	tests := map[string]struct {
		silent, failing int64
		txn             hgstore.Txn
		calls           int64
		conflict, fails bool
	}{
		"answered":                       {0, 0, hgstore.Txn{Puts: put}, 1, false, false},
		"answer lost":                    {1, 0, hgstore.Txn{Puts: put}, 2, false, false},
		"one failure":                    {0, 1, hgstore.Txn{Puts: put}, 2, false, false},
		"answer lost, with a condition":  {1, 0, hgstore.Txn{Puts: put, Conditions: absent}, 2, true, false},
		"always failing ends in a while": {0, 100, hgstore.Txn{Puts: put}, 2, false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := &faultyTable{Memory: hgstore.NewMemory()}
			table.silent.Store(tt.silent)
			table.failing.Store(tt.failing)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := hghedge.NewTable(table).Commit(ctx, tt.txn)
			_, conflict := hgstore.IsConflict(err)
			if conflict != tt.conflict || (err != nil && !conflict) != tt.fails {
				t.Errorf("got error %v, want conflict %v, other error %v", err, tt.conflict, tt.fails)
			}
			if n := table.calls.Load(); n != tt.calls {
				t.Errorf("%d calls, want %d", n, tt.calls)
			}
		})
	}
}
