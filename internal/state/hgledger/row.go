package hgledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net/url"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"hyssopgrade/hgcodec"
	"hyssopgrade/hgstore"
	"hyssopgrade/internal/state/hgaccount"
	"hyssopgrade/internal/state/hgturn"
)

const (
	// ProgramTable holds a row per account and one or more per turn; TurnTable leads from a turn to its program.
	ProgramTable = "hgprogram"
	TurnTable    = "hgturn"
	// parts is the number of parts of each table; each takes one transaction after another.
	parts = 16
	// maxName is the longest identifier that stands in a key as it is; longer ones stand as a digest.
	maxName = 60
	// chunkBytes is the size of the rows of a turn, which as text stay under the store's limit of 64 KiB.
	chunkBytes = 40_000
	// maxRows bounds the rows of a program that are read, 380 turns of several rows among them.
	maxRows = 4000
)

// accountRow is what each ledger has taken of a program's budget.
type accountRow struct {
	Taken map[string]int
	// Closed says that the budget is spent for good; it spares a program that comes back the one turn that nodes grant
	// on what others may not have used.
	Closed bool
	// Strict says that the program may have been served before the row was made, by a node that lost what it had not yet
	// written.
	Strict bool
}

// reload takes the row over into a program's account, with the copies that peers have sent.
func (l *Ledger) reload(p *program, row accountRow, version uint64, known bool) {
	p.row, p.version, p.known = row, version, known
	others := 0
	for ledger, taken := range l.taken(p) {
		if ledger != l.id {
			others += taken
		}
	}
	mine := row.Taken[l.id]
	if p.unsaved {
		mine = max(mine, p.account.Mine)
	}
	p.account = p.account.Reload(others, mine, row.Strict, row.Closed)
}

// taken returns what each ledger has taken, by the row or by a copy.
func (l *Ledger) taken(p *program) map[string]int { return mostTaken(p.row.Taken, p.copies) }

var (
	accountCodec = hgcodec.CBOR[accountRow]{}
	turnCodec    = hgcodec.CBOR[hgturn.Turn]{}
)

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// name makes an identifier fit for a key: no slash, bounded length.
func name(id string) string {
	if e := url.PathEscape(id); len(e) <= maxName {
		return e
	}
	sum := sha256.Sum256([]byte(id))
	return "~" + hex.EncodeToString(sum[:16])
}

func part(program string) int { return int(hash(program) % parts) }

const (
	// alternates is the number of further parts that a turn may be kept in while the program's own part is out of reach.
	alternates = 5
	// stride is the distance between them; without a common divisor with parts it meets all of them in turn.
	stride = 5
)

func programPrefix(part int, program string) string {
	return fmt.Sprintf("%s/%02d/%s/", ProgramTable, part, name(program))
}

func accountKey(part int, program string) string { return programPrefix(part, program) + "a" }

func turnKey(part int, turn string) string {
	return fmt.Sprintf("%s/%02d/%s", TurnTable, part, name(turn))
}

// writeAccount writes what this ledger takes of a budget if the row is as known. Otherwise, and after a write whose
// outcome is not known, the row is read: it tells what this ledger has taken, also by a write without an answer.
func (l *Ledger) writeAccount(ctx context.Context, p *program, a hgaccount.Account) (written bool, err error) {
	row := accountRow{Taken: lo.Assign(l.taken(p), map[string]int{l.id: a.Mine}), Closed: a.Closed, Strict: p.row.Strict}
	if p.version == 0 && !p.isNew && !p.unsaved && len(p.copies) == 0 {
		row.Strict = true
	}
	value, err := accountCodec.Encode(row)
	if err != nil {
		return false, err
	}
	key := accountKey(p.at, p.id)
	version, err := l.commit.do(ctx, p.at, item{
		conditions: []hgstore.Condition{{Key: key, Version: p.version}},
		puts:       []hgstore.Put{{Key: key, Value: value}},
	})
	if err == nil {
		l.markUnsaved(p, false)
		l.reload(p, row, version, true)
		l.log.Info("budget taken", "program", p.id, "mine", a.Mine, "others", a.Others, "strict", row.Strict, "version", version)
		return true, nil
	}
	p.known = false
	if _, conflict := hgstore.IsConflict(err); !conflict {
		return false, err
	}
	return false, l.readAccount(ctx, p)
}

// readAccount reads a program's row, also where it was kept while the program's own part was out of reach.
func (l *Ledger) readAccount(ctx context.Context, p *program) (err error) {
	r, err := l.table.Get(ctx, accountKey(p.at, p.id))
	if trace.IsNotFound(err) {
		if p.at == part(p.id) && l.bypassed[p.at].Load() {
			p.known = false
			if err := l.readAlternates(ctx, p); err != nil || p.known {
				return err
			}
		}
		l.reload(p, accountRow{}, 0, true)
		return nil
	}
	if err != nil {
		return err
	}
	row, err := accountCodec.Decode(r.Value)
	if err == nil {
		l.reload(p, row, r.Version, true)
	}
	return err
}

// load reads all rows of a program in its own part.
func (l *Ledger) load(ctx context.Context, p *program) (err error) {
	defer func() { err = trace.Wrap(err, "load program %s", p.id) }()
	turns, account, version, err := l.readProgram(ctx, part(p.id), p.id)
	if err != nil {
		return err
	}
	maps.Copy(p.turns, turns)
	if p.at == part(p.id) && (version > 0 || !l.bypassed[p.at].Load()) {
		l.reload(p, account, version, true)
	}
	return nil
}

// readProgram reads what a part holds of a program.
func (l *Ledger) readProgram(ctx context.Context, part int, program string) (turns hgturn.Tree, account accountRow, version uint64, err error) {
	prefix := programPrefix(part, program)
	rows, err := l.table.Scan(ctx, prefix, "", maxRows)
	if err != nil {
		return nil, account, 0, err
	}
	turns = hgturn.Tree{}
	var pending []byte
	for _, r := range rows {
		if r.Key == prefix+"a" {
			if account, err = accountCodec.Decode(r.Value); err != nil {
				return nil, account, 0, err
			}
			version = r.Version
			continue
		}
		// The first byte of each row of a turn says whether another one follows.
		if len(r.Value) == 0 {
			return nil, account, 0, trace.BadParameter("row %s is empty", r.Key)
		}
		pending = append(pending, r.Value[1:]...)
		if r.Value[0] == more {
			continue
		}
		turn, err := turnCodec.Decode(pending)
		if err != nil {
			return nil, account, 0, err
		}
		turns[turn.ID] = turn
		pending = nil
	}
	return turns, account, version, nil
}

// The first byte of each row of a turn.
const (
	last byte = iota
	more
)
