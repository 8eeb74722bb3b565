package hgledger

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/state/hgturn"
)

// turnPuts returns all rows of a turn in a partition: those with its text, and the one that maps it to its program.
func turnPuts(partition int, program string, t hgturn.Turn) (puts []hgstore.Put, err error) {
	if puts, err = textPuts(partition, program, t); err != nil {
		return nil, err
	}
	return append(puts, hgstore.Put{Key: turnKey(partition, t.ID), Value: []byte(program)}), nil
}

// textPuts returns the rows with a turn's text, split into chunks.
func textPuts(partition int, program string, t hgturn.Turn) (puts []hgstore.Put, err error) {
	data, err := turnCodec.Encode(t)
	if err != nil {
		return nil, err
	}
	for i := 0; len(data) > 0 || i == 0; i++ {
		n := min(chunkBytes, len(data))
		flag := lastChunk
		if n < len(data) {
			flag = moreChunks
		}
		puts = append(puts, hgstore.Put{
			Key:   programPrefix(partition, program) + chunkKey(t.ID, i),
			Value: append([]byte{flag}, data[:n]...),
		})
		data = data[n:]
	}
	return puts, nil
}

// storeTimeout is how long a write of a turn to one partition may take before another partition is tried as well. In a slow
// store it is storeTimeoutFactor times the average duration of a write.
const (
	storeTimeout       = 300 * time.Millisecond
	storeTimeoutFactor = 3
	// maxStoreWrites is the number of partitions to which a turn is written at the same time.
	maxStoreWrites = 2
)

// alternatePartition returns the i-th alternate of a home partition; the 0th is the home partition itself.
func alternatePartition(home, i int) int { return (home + i*stride) % numPartitions }

// storeTurn makes a turn durable, in the program's home partition or, while that does not answer, in an alternate one. It
// tries them one after the other until the context ends. A write goes on beside the next one, as it may only be slow. The changes
// beside it are sent with the first write.
func (l *Ledger) storeTurn(ctx context.Context, program string, t hgturn.Turn, beside ...change) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	home := homePartition(program)
	results := make(chan error)
	var writes []context.CancelFunc
	for i := 0; ; i = (i + 1) % (alternates + 1) {
		partition := alternatePartition(home, i)
		puts, err := turnPuts(partition, program, t)
		if err != nil {
			return err
		}
		changes := splitPuts(puts)
		if len(writes) == maxStoreWrites {
			writes[0]()
			writes = writes[1:]
		}
		writeCtx, cancelWrite := context.WithCancel(ctx)
		writes = append(writes, cancelWrite)
		go func(beside []change) {
			select {
			case results <- l.putRows(writeCtx, partition, changes, beside...):
			case <-ctx.Done():
			}
		}(beside)
		beside = nil
		if done, err := l.awaitWrite(ctx, results, len(changes)); done {
			return err
		}
	}
}

// awaitWrite waits for the result of a write, for as long as its transactions should take. It returns false if the write failed
// or is late, so that another one is to be tried.
func (l *Ledger) awaitWrite(ctx context.Context, results <-chan error, transactions int) (done bool, err error) {
	late := time.After(max(storeTimeout, storeTimeoutFactor*l.committer.averageDuration()) * time.Duration(transactions))
	for {
		select {
		case err := <-results:
			switch {
			case err == nil:
				return true, nil
			case ctx.Err() != nil:
				return true, ctx.Err()
			case !errors.Is(err, context.Canceled):
				return false, nil
			}
		case <-late:
			return false, nil
		case <-ctx.Done():
			return true, ctx.Err()
		}
	}
}

// splitPuts groups the rows of turns into changes that each fit into one transaction, in their order.
func splitPuts(puts []hgstore.Put) (changes []change) {
	ch := change{}
	size := 0
	for _, p := range puts {
		if len(ch.puts) == maxEntries || len(ch.puts) > 0 && size+len(p.Value) > maxBytes {
			changes = append(changes, ch)
			ch, size = change{}, 0
		}
		ch.puts = append(ch.puts, p)
		size += len(p.Value)
	}
	return append(changes, ch)
}

// putRows writes the rows of a turn to a partition. It fails after a pause if the partition counts as unreachable.
func (l *Ledger) putRows(ctx context.Context, partition int, changes []change, beside ...change) (err error) {
	if l.committer.isUnreachable(partition) {
		// The pause keeps storeTurn from spinning while all partitions are unreachable.
		return sleep(ctx, retryAfter, trace.ConnectionProblem(nil, "part %d is out of reach", partition))
	}
	return l.commitInOrder(ctx, partition, changes, beside...)
}

// commitInOrder applies changes one after the other, with others beside the first one. The rows of a turn have the one that completes
// it last, so that readers find the turn only once all of them are durable.
func (l *Ledger) commitInOrder(ctx context.Context, partition int, changes []change, beside ...change) (err error) {
	for _, ch := range changes {
		if _, err := l.committer.commit(ctx, partition, ch, beside...); err != nil {
			return err
		}
		beside = nil
	}
	return nil
}

// sleep pauses and returns err, or returns the context's error if that ends first.
func sleep(ctx context.Context, d time.Duration, err error) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return err
	}
}

// copyTurns writes copies of other programs' turns to the rows of this program. The rows that map the turns to their programs
// still name the other ones.
func (l *Ledger) copyTurns(ctx context.Context, program string, turns []hgturn.Turn) (err error) {
	if len(turns) == 0 {
		return nil
	}
	home := homePartition(program)
	var puts []hgstore.Put
	for _, t := range turns {
		text, err := textPuts(home, program, t)
		if err != nil {
			return err
		}
		puts = append(puts, text...)
	}
	return l.commitInOrder(ctx, home, splitPuts(puts))
}

// maxLookups bounds the searches for one history. Each section of it that lies in another program or partition takes
// one.
const maxLookups = 12

// history returns a turn and its ancestors, the oldest first. NoTurn is returned only after the newest rows of all partitions
// have been read and none of them holds the turn. Turns of other teams count as nonexistent.
func (l *Ledger) history(ctx context.Context, p *program, turn, team string) (path []hgturn.Turn, v Verdict, err error) {
	own := p.turns.Of(team)
	path, missing := own.Path(turn)
	if missing != "" {
		if err := l.loadProgram(ctx, p); err != nil {
			return nil, Undecided, err
		}
		own = p.turns.Of(team)
		path, missing = own.Path(turn)
	}
	foreign := hgturn.Tree{}
	for range maxLookups {
		if missing == "" {
			break
		}
		found, err := l.findTurn(ctx, missing, team)
		switch {
		case err != nil:
			return nil, Undecided, err
		case found == nil && missing == turn:
			return nil, NoTurn, nil
		case found == nil:
			return nil, Undecided, trace.NotFound("turn %s, an ancestor of turn %s, does not exist", missing, turn)
		}
		maps.Copy(foreign, found)
		path, missing = lo.Assign(foreign, own).Path(turn)
	}
	if missing != "" {
		return nil, Undecided, trace.LimitExceeded("history of turn %s takes too many lookups", turn)
	}
	copied := lo.Filter(path, func(t hgturn.Turn, _ int) bool { return !lo.HasKey(own, t.ID) })
	if err := l.copyTurns(ctx, p.id, copied); err != nil {
		return nil, Undecided, err
	}
	l.keepTurns(p, copied...)
	return path, Granted, nil
}

// findTurn finds the partition and the program that hold a turn, and returns all turns stored there that a team may continue. It
// returns nil if no partition has a row of the turn, or if the turn belongs to another team. Of several rows, those of other writers
// lead to no text of the turn.
func (l *Ledger) findTurn(ctx context.Context, turn, team string) (turns hgturn.Tree, err error) {
	defer func() { err = trace.Wrap(err, "find turn %s", turn) }()
	var found [numPartitions]*hgstore.Row
	group, groupCtx := errgroup.WithContext(ctx)
	for i := range numPartitions {
		group.Go(func() error {
			row, err := l.table.Get(groupCtx, turnKey(i, turn))
			if trace.IsNotFound(err) {
				return nil
			}
			found[i] = &row
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for partition, row := range found {
		if row == nil {
			continue
		}
		turns, _, readErr := l.readProgram(ctx, partition, string(row.Value))
		own := turns.Of(team)
		if lo.HasKey(own, turn) {
			return own, nil
		}
		if lo.HasKey(turns, turn) {
			continue
		}
		if readErr == nil {
			readErr = trace.NotFound("partition %d holds no text of the turn in program %q", partition, row.Value)
		}
		err = errors.Join(err, readErr)
	}
	return nil, err
}
