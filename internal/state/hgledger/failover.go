package hgledger

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"hyssopgrade/hgstore"
)

// A program whose own part of the store is out of reach keeps its account in another part. A marker, written before the
// first such account, tells all ledgers to look there as well; it stays as long as accounts do.

// MarkerPrefix begins the keys of markers; they lie in a table that all nodes watch.
const MarkerPrefix = "hgnode//bypass-"

// bypassSign is how long a ledger tells its peers of a bypass besides the marker, which they see about a second later.
const bypassSign = 3 * time.Second

func markerKey(part int) string { return fmt.Sprintf("%s%02d", MarkerPrefix, part) }

// SetMarkers takes over the markers among the rows of the watched table, once it has been read whole.
func (l *Ledger) SetMarkers(rows map[string]hgstore.Row) {
	for key := range rows {
		number, ok := strings.CutPrefix(key, MarkerPrefix)
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(number); err == nil && n >= 0 && n < parts {
			l.bypassed[n].Store(true)
		}
	}
	l.markersRead.Store(true)
}

// alternate returns one of the parts in which an account may be kept instead of its own.
func alternate(home, i int) int { return (home + i*stride) % parts }

// bypass moves the account of a new program to another part while its own is out of reach.
func (l *Ledger) bypass(ctx context.Context, p *program, isNew bool) bool {
	if p.known || p.unsaved || len(p.copies) > 0 || p.at != part(p.id) {
		return !l.commit.isDown(p.at)
	}
	if l.bypassed[p.at].Load() {
		if err := l.readAlternates(ctx, p); err != nil || p.known {
			return err == nil && !l.commit.isDown(p.at)
		}
	}
	if !l.isSole(ctx, p, isNew) || !l.mark(ctx, p.at) {
		return false
	}
	for i := 1; i <= alternates; i++ {
		if at := alternate(p.at, i); !l.commit.isDown(at) {
			l.log.Info("account kept in another part", "program", p.id, "home", p.at, "part", at)
			p.at = at
			l.reload(p, accountRow{}, 0, true)
			l.bypassAt.Store(int64(l.timer.Now()))
			return true
		}
	}
	return false
}

// mark makes it durable that accounts of a part may be elsewhere.
func (l *Ledger) mark(ctx context.Context, home int) bool {
	if l.bypassed[home].Load() {
		return true
	}
	_, err := l.table.Commit(ctx, hgstore.Txn{Puts: []hgstore.Put{{Key: markerKey(home), Value: []byte(l.id)}}})
	if err != nil {
		l.log.Debug("marker not written", "part", home, "error", err)
		return false
	}
	l.bypassed[home].Store(true)
	return true
}

// readAlternates looks for a program's account in the parts besides its own, and leaves p as it is if there is none.
func (l *Ledger) readAlternates(ctx context.Context, p *program) (err error) {
	defer func() { err = trace.Wrap(err, "account of program %s in other parts", p.id) }()
	home := part(p.id)
	var found [alternates + 1]*hgstore.Row
	group, ctx := errgroup.WithContext(ctx)
	for i := 1; i <= alternates; i++ {
		group.Go(func() error {
			row, err := l.table.Get(ctx, accountKey(alternate(home, i), p.id))
			if err == nil {
				found[i] = &row
			}
			if trace.IsNotFound(err) {
				return nil
			}
			return err
		})
	}
	err = group.Wait()
	for i, r := range found {
		if r == nil {
			continue
		}
		row, err := accountCodec.Decode(r.Value)
		if err != nil {
			return err
		}
		p.at = alternate(home, i)
		l.reload(p, row, r.Version, true)
		return nil
	}
	return err
}

// bypassedLately says whether this ledger has lately kept an account in another part.
func (l *Ledger) bypassedLately() bool {
	at := time.Duration(l.bypassAt.Load())
	return at > 0 && l.timer.Now()-at < bypassSign
}
