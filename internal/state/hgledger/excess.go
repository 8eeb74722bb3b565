package hgledger

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"hyssopgrade/hgcodec"
	"hyssopgrade/hgstore"
)

// A budget may be exceeded by one turn in all, and there are two ways to do so: a turn that counts on the unused share of another ledger,
// and one that is granted without the row to a program that nobody knows. The first one is announced before it is granted: by a marker in
// the table that all nodes watch, and then to a majority of the nodes. The second one needs a majority of nodes that have read that table
// since they started and have heard of no excess, and these remember who asked. A node that has restarted between the two has read the
// marker; any other one that belongs to both majorities has heard of the first way or remembers the second one.

// excessPrefix is the prefix of the keys of the markers of exceeded budgets. They are in a table that all nodes watch.
const excessPrefix = "hgnode//excess-"

// excessMarker is the value of such a marker. It is encoded under its Go field names.
type excessMarker struct {
	// At is when the marker was written, in Unix milliseconds.
	At int64
}

var excessCodec = hgcodec.JSON[excessMarker]{}

// excessKey returns the key of the marker for a program, which is identified by the hash of its identifier.
func excessKey(program string) string { return fmt.Sprintf("%s%016x", excessPrefix, hash(program)) }

// excessDigest returns the hash of the program that a marker stands for.
func excessDigest(key string) (digest uint64, ok bool) {
	text, ok := strings.CutPrefix(key, excessPrefix)
	digest, err := strconv.ParseUint(text, 16, 64)
	return digest, ok && err == nil
}

// IsMarker reports whether a row of the watched table is the marker of an exceeded budget.
func IsMarker(key string) bool { return strings.HasPrefix(key, excessPrefix) }

// SetMarkers reads the markers among the rows of the watched table.
func (l *Ledger) SetMarkers(rows map[string]hgstore.Row) {
	var exceeded []uint64
	for key := range rows {
		if digest, ok := excessDigest(key); ok {
			exceeded = append(exceeded, digest)
		}
	}
	l.AddKnownPrograms(exceeded, false)
}

// IsExcessOld reports whether a row is the marker of an exceeded budget that is older than the time for which programs are kept.
func IsExcessOld(row hgstore.Row, now time.Time, retention time.Duration) bool {
	if !strings.HasPrefix(row.Key, excessPrefix) {
		return false
	}
	m, err := excessCodec.Decode(row.Value)
	return err != nil || now.Sub(time.UnixMilli(m.At)) > retention
}

// announceExcess makes the excess of a program's budget known before it is granted, and fetches the claims of all peers.
func (l *Ledger) announceExcess(ctx context.Context, p *program) (err error) {
	defer func() { err = trace.Wrap(err, "announce that the budget of program %s may be exceeded", p.id) }()
	if err := l.markExcess(ctx, p); err != nil {
		return err
	}
	l.AddKnownPrograms([]uint64{hash(p.id)}, false)
	a := l.askClaims(ctx, p, SoleRequest{Excess: true})
	if a.Minority {
		return errNoMajority()
	}
	lost := l.noteLostClaims(p, a)
	l.log.Info("budget may be exceeded on unused shares of others", "program", p.id, "others", p.account.Others, "settled", p.account.Settled, "lost", lost)
	if lost == 0 || p.row.Strict {
		return nil
	}
	// The VMs that remember the lost claim may restart, so that the row has to tell of it.
	_, err = l.writeAccount(ctx, p, p.account)
	return err
}

// markExcess writes the marker of a program whose budget may be exceeded, unless that was done.
func (l *Ledger) markExcess(ctx context.Context, p *program) (err error) {
	if p.isMarked {
		return nil
	}
	value, err := excessCodec.Encode(excessMarker{At: time.Now().UnixMilli()})
	if err != nil {
		return err
	}
	if _, err = l.table.Commit(ctx, hgstore.Txn{Puts: []hgstore.Put{{Key: excessKey(p.id), Value: value}}}); err == nil {
		p.isMarked = true
	}
	return err
}

// noteLostClaims returns the number of ledgers that may have claimed tokens of a program without its row and have ended since: they have
// asked for it, and neither answer nor have a claim in the row or in a copy. If there are any, no turn is granted on the unused
// shares of others from then on.
func (l *Ledger) noteLostClaims(p *program, a Answers) (lost int) {
	claims := l.claims(p)
	asked := lo.Uniq(append(a.Asked, l.asks.of(p.id)...))
	lost = lo.CountBy(asked, func(ledger string) bool {
		return ledger != l.id && claims[ledger] == 0 && !slices.Contains(a.Ledgers, ledger)
	})
	if lost > 0 {
		p.claimsLost = true
		l.reload(p, p.row, p.version, p.rowKnown)
	}
	return lost
}

// askLog remembers the ledgers to which this one has answered that it does not know of a program, so that they may have claimed tokens of
// its budget without a row. Programs are identified by hash.
type askLog struct {
	mu      sync.Mutex
	entries map[uint64]askEntry
}

// askEntry are the ledgers that have asked for a program, and when the last of them did.
type askEntry struct {
	ledgers []string
	at      time.Duration
}

func (a *askLog) add(program, ledger string, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.entries[hash(program)]
	if !slices.Contains(e.ledgers, ledger) {
		e.ledgers = append(slices.Clone(e.ledgers), ledger)
	}
	e.at = now
	a.entries[hash(program)] = e
}

// of returns the ledgers that have asked for a program.
func (a *askLog) of(program string) (ledgers []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.entries[hash(program)].ledgers
}

// evict forgets programs that nobody has asked for since a time.
func (a *askLog) evict(before time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for digest, e := range a.entries {
		if e.at < before {
			delete(a.entries, digest)
		}
	}
}
