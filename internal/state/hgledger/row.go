package hgledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"net/url"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"hyssopgrade/hgcodec"
	"hyssopgrade/hgstore"
	"hyssopgrade/internal/state/hgaccount"
	"hyssopgrade/internal/state/hgturn"
)

const (
	// ProgramTable holds a row for each account and one or more rows for each turn. TurnTable maps turns to their
	// programs.
	ProgramTable = "hgprogram"
	TurnTable    = "hgturn"
	// numPartitions is the number of partitions of each table; the platform calls them parts, as the log does. Each applies
	// its transactions one after another.
	numPartitions = 16
	// maxKeyID is the length of the longest escaped identifier that a key holds as it is; longer ones are replaced by a
	// digest.
	maxKeyID = 60
	// chunkBytes is the size of the rows of a turn. Encoded as text they stay below the store's limit of 64 KiB.
	chunkBytes = 40_000
	// maxRows bounds the rows that are read of a program; it suffices for 380 turns of several rows each.
	maxRows = 4000
)

// accountRow is the durable state of a program's budget. It is encoded under its Go field names.
type accountRow struct {
	// Taken maps ledgers to the shares of the budget that they have claimed, in tokens.
	Taken map[string]int
	// Settled holds the ledgers that have used what they have claimed to the last token, with no turn open.
	Settled map[string]bool
	// Closed is set if the budget is permanently exhausted. Without it a program that returns later would be granted
	// one more turn, on the assumption that other nodes have not used their shares.
	Closed bool
	// Strict is set if a node that died may have served the program on a claim that it did not write.
	Strict bool
}

// maxClaim bounds the claim of a ledger and the sum of all claims, in tokens, so that sums with them can't overflow. It is above half of
// the largest budget, which a single ledger claims of it.
const maxClaim = 3 << 61

// decodeAccount decodes the row of an account. Claims that no ledger can have made are an error, as they would raise the budget.
func decodeAccount(data []byte) (row accountRow, err error) {
	if row, err = accountCodec.Decode(data); err != nil {
		return row, err
	}
	for ledger, claim := range row.Taken {
		if claim < 0 || claim > maxClaim {
			return accountRow{}, trace.BadParameter("claim of ledger %s on %d tokens", ledger, claim)
		}
	}
	return row, nil
}

// reload sets a program's account from its row and from the copies of claims that peers have sent.
func (l *Ledger) reload(p *program, row accountRow, version uint64, rowKnown bool) {
	p.row, p.version, p.rowKnown = row, version, rowKnown
	// A copy that outlived its record in the row would restore a share that was returned since.
	maps.DeleteFunc(p.copies, func(ledger string, claim int) bool { return claim <= row.Taken[ledger] })
	others, settled := 0, 0
	for ledger, claim := range l.claims(p) {
		if ledger == l.id {
			continue
		}
		claim = min(claim, maxClaim-others)
		others += claim
		if p.isSettled(ledger) {
			settled += claim
		}
	}
	mine := p.reduction.Limit(version, row.Taken[l.id])
	p.reduction = p.reduction.WithRow(version)
	if p.unsaved {
		mine = max(mine, p.account.Mine)
	}
	p.account = p.account.WithRecorded(hgaccount.Recorded{
		Others: others, Settled: settled, Mine: mine, Strict: row.Strict || p.claimsLost, Closed: row.Closed,
	})
}

// isSettled reports whether the row says that another ledger has used its claim, and no copy of a larger claim is known.
func (p *program) isSettled(ledger string) bool {
	return p.row.Settled[ledger] && p.copies[ledger] <= p.row.Taken[ledger]
}

// claims returns the share that each ledger has claimed, according to the row and the copies.
func (l *Ledger) claims(p *program) map[string]int { return maxClaims(p.row.Taken, p.copies) }

var (
	accountCodec = hgcodec.CBOR[accountRow]{}
	turnCodec    = hgcodec.CBOR[hgturn.Turn]{}
)

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// keyID encodes an identifier for use in a key: without slashes and of bounded length.
func keyID(id string) string {
	if e := url.PathEscape(id); len(e) <= maxKeyID {
		return e
	}
	sum := sha256.Sum256([]byte(id))
	return "~" + hex.EncodeToString(sum[:16])
}

// Partition returns the number of the partition of the store that holds a program's rows unless it is unreachable.
func Partition(program string) int { return homePartition(program) }

// homePartition returns the partition of the store that holds a program's rows unless it is unreachable.
func homePartition(program string) int { return int(hash(program) % numPartitions) }

const (
	// alternates is the number of other partitions that may hold a turn while the program's home partition is unreachable. Its account
	// stays in the home partition, as an account that begins anew elsewhere would begin with the whole budget.
	alternates = 5
	// stride is the distance between alternate partitions. It has no common divisor with numPartitions, so that they
	// are all distinct.
	stride = 5
)

func programPrefix(partition int, program string) string {
	return fmt.Sprintf("%s/%02d/%s/", ProgramTable, partition, keyID(program))
}

func accountKey(partition int, program string) string { return programPrefix(partition, program) + "a" }

func turnKey(partition int, turn string) string {
	return fmt.Sprintf("%s/%02d/%s", TurnTable, partition, keyID(turn))
}

// accountWrite is a write of a program's row, on the condition that the row still has the known version.
type accountWrite struct {
	account hgaccount.Account
	row     accountRow
	key     string
	change  change
}

// newAccountWrite returns the write that records this ledger's claim.
func (l *Ledger) newAccountWrite(p *program, a hgaccount.Account) (w accountWrite, err error) {
	row := accountRow{Taken: lo.Assign(l.claims(p), map[string]int{l.id: a.Mine}), Closed: a.Closed, Strict: p.row.Strict || p.claimsLost}
	if p.version == 0 && !p.isNew && !p.unsaved && len(p.copies) == 0 {
		row.Strict = true
	}
	row.Settled = lo.PickBy(p.row.Settled, func(ledger string, _ bool) bool { return ledger != l.id && p.isSettled(ledger) })
	if p.isUsedUp(a) {
		row.Settled[l.id] = true
	}
	value, err := accountCodec.Encode(row)
	if err != nil {
		return w, err
	}
	p.reduction = p.reduction.WithWrite(p.version, p.row.Taken[l.id], a.Mine)
	key := accountKey(p.partition(), p.id)
	return accountWrite{account: a, row: row, key: key, change: change{
		conditions: []hgstore.Condition{{Key: key, Version: p.version}},
		puts:       []hgstore.Put{{Key: key, Value: value}},
	}}, nil
}

// writeAccount writes this ledger's claim, on the condition that the row still has the known version. On a version
// conflict it writes nothing and reads the row, which also shows a claim of this ledger from an earlier write without a
// reply. After any other error the row counts as not known.
func (l *Ledger) writeAccount(ctx context.Context, p *program, a hgaccount.Account) (written bool, err error) {
	w, err := l.newAccountWrite(p, a)
	if err != nil {
		return false, err
	}
	version, err := l.committer.commit(ctx, p.partition(), w.change)
	switch err = l.finishWrite(p, w, outcome{version: version, err: err}); {
	case err == nil:
		return true, nil
	case conflictOf(err) == nil:
		return false, err
	case p.rowKnown:
		return false, nil
	}
	return false, l.readAccount(ctx, p)
}

// finishWrite updates a program after a write of its row, and returns the error of the write. After a conflict the row is known if the
// store has sent it.
func (l *Ledger) finishWrite(p *program, w accountWrite, o outcome) (err error) {
	if o.err == nil {
		p.writtenAt = l.timer.Now()
		l.setUnsaved(p, false)
		l.reload(p, w.row, o.version, true)
		l.log.Info("budget claimed", "program", p.id, "mine", w.account.Mine, "others", w.account.Others, "strict", w.row.Strict, "version", o.version)
		return nil
	}
	p.rowKnown = false
	if conflict := conflictOf(o.err); conflict != nil {
		for _, r := range conflict.Rows {
			if r.Key == w.key {
				return errors.Join(o.err, l.reloadRow(p, r))
			}
		}
	}
	return o.err
}

// reloadRow sets a program's account from a row of the store.
func (l *Ledger) reloadRow(p *program, r hgstore.Row) error {
	row, err := decodeAccount(r.Value)
	if err == nil {
		l.reload(p, row, r.Version, true)
	}
	return err
}

// readAccount reads a program's row.
func (l *Ledger) readAccount(ctx context.Context, p *program) (err error) {
	r, err := l.table.Get(ctx, accountKey(p.partition(), p.id))
	if trace.IsNotFound(err) {
		l.reload(p, accountRow{}, 0, true)
		return nil
	}
	if err != nil {
		return err
	}
	return l.reloadRow(p, r)
}

// loadProgram reads all rows of a program in its home partition.
func (l *Ledger) loadProgram(ctx context.Context, p *program) (err error) {
	defer func() { err = trace.Wrap(err, "load program %s", p.id) }()
	turns, account, err := l.readProgram(ctx, homePartition(p.id), p.id)
	if err != nil {
		return err
	}
	if account.err != nil {
		return account.err
	}
	l.keepTurns(p, lo.Values(turns)...)
	l.reload(p, account.row, account.version, true)
	return nil
}

// storedAccount is the account of a program as its row says, and the version of the row; 0 if there is none. err is set if the row
// can't be decoded.
type storedAccount struct {
	row     accountRow
	version uint64
	err     error
}

// readProgram reads the turns and the account of a program from one partition.
func (l *Ledger) readProgram(ctx context.Context, partition int, program string) (turns hgturn.Tree, account storedAccount, err error) {
	prefix := programPrefix(partition, program)
	rows, err := l.table.Scan(ctx, prefix, "", maxRows)
	if err != nil {
		return nil, account, err
	}
	turns = hgturn.Tree{}
	var text chunks
	for _, r := range rows {
		if r.Key == prefix+"a" {
			account.row, account.err = decodeAccount(r.Value)
			account.version = r.Version
			continue
		}
		turn, complete, err := text.add(strings.TrimPrefix(r.Key, prefix), r.Value)
		switch {
		case err != nil:
			// The row is another writer's: the turns beside it hold.
			l.log.Warn("ignoring a row that is no part of a turn", "row", r.Key, "error", err)
		case complete:
			turns[turn.ID] = turn
		}
	}
	return turns, account, nil
}
