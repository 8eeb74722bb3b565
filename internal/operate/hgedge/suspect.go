package hgedge

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgcodec"
	"hyssopgrade/hgstore"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgsuspect"
)

const (
	// suspectPrefix begins the keys of requests that broke off replicas; they lie in a table that all VMs watch.
	suspectPrefix = nodeTable + "//suspect-"
	// spreadPause is the least time between two rounds of heartbeats that tell of breaks.
	spreadPause = 50 * time.Millisecond
	// suspectPeriod is the least time between two writes of requests that broke off replicas, and suspectPerPeer what each
	// peer adds to it, so that the writes of all VMs are bounded at any size of the site.
	suspectPeriod  = 500 * time.Millisecond
	suspectPerPeer = 10 * time.Millisecond
	// maxSuspects bounds the rows that one transaction writes or removes; the store takes 100 entries.
	maxSuspects = 50
)

var suspectCodec = hgcodec.JSON[hgsuspect.Row]{}

// suspects are the requests that break off replicas, as all entry VMs have seen them: breaks are told with heartbeats, and
// kept in the store from the second one on.
type suspects struct {
	*hgsuspect.List
	node *Node
	// spreading says that a round of heartbeats is due.
	spreading atomic.Bool
	// told is when the last one went out, in nanoseconds of the timer.
	told atomic.Int64

	// mu is held while rows are written, and saved is when that was last begun.
	mu    sync.Mutex
	saved time.Duration
}

// Broke counts a break and has peers and the store told.
func (s *suspects) Broke(r hgsuspect.Request) {
	s.List.Broke(r)
	if !s.spreading.CompareAndSwap(false, true) {
		return
	}
	pause := spreadPause - (s.node.timer.Now() - time.Duration(s.told.Load()))
	if pause <= 0 {
		go s.spread(0)
		return
	}
	s.node.timer.After(pause, s.spread)
}

// replicaEnded counts breaks of the requests that a replica has not answered before its end.
func (s *suspects) replicaEnded(id string) {
	for _, r := range s.TakeUnanswered(id) {
		s.node.log.Info("replica ended under a request without an answer", "replica", id, "digest", r.Caller)
		s.Broke(r)
	}
}

// spread tells peers and the store of breaks. On a large site the next heartbeat is soon enough: a hub hears many VMs.
func (s *suspects) spread(time.Duration) {
	s.told.Store(int64(s.node.timer.Now()))
	s.spreading.Store(false)
	if !s.node.members.IsLarge() {
		s.node.beatAll()
	}
	s.save(0)
}

// save writes what the store does not hold yet, if the last write was long enough ago.
func (s *suspects) save(time.Duration) {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	period := suspectPeriod + time.Duration(len(s.node.members.All()))*suspectPerPeer
	if s.saved > 0 && s.node.timer.Now()-s.saved < period {
		return
	}
	records := s.Unsaved(s.node.members.IsApart(), maxSuspects)
	if len(records) == 0 {
		return
	}
	s.saved = s.node.timer.Now()
	now := time.Now()
	var txn hgstore.Txn
	for _, r := range records {
		value, err := suspectCodec.Encode(hgsuspect.RowOf(r, now))
		if err != nil {
			s.node.log.Error("suspect not encoded", "digest", r.Digest, "error", err)
			return
		}
		txn.Puts = append(txn.Puts, hgstore.Put{Key: fmt.Sprintf("%s%016x", suspectPrefix, r.Digest), Value: value})
	}
	ctx, cancel := context.WithTimeout(s.node.ctx, storeTimeout)
	defer cancel()
	if _, err := s.node.store.Commit(ctx, txn); err != nil {
		s.node.log.Info("suspects not saved", "requests", len(records), "error", err)
		return
	}
	s.Saved(records)
	s.node.log.Info("suspects saved", "requests", len(records))
}

// load takes over the rows of requests that broke off replicas at any VM.
func (s *suspects) load(rows map[string]hgstore.Row) {
	var records []hgsuspect.Record
	now := time.Now()
	s.node.suspectRows.Decode(rows, func(row hgstore.Row) (r hgsuspect.Row, ok bool) {
		if !isSuspect(row) {
			return r, false
		}
		r, err := suspectCodec.Decode(row.Value)
		if err != nil {
			s.node.log.Warn("suspect left out", "row", row.Key, "error", err)
			return r, false
		}
		if !r.IsOld(now) {
			records = append(records, r.Record(now))
		}
		return r, true
	})
	s.Load(records)
}

func isSuspect(row hgstore.Row) bool { return strings.HasPrefix(row.Key, suspectPrefix) }

// forgetSuspects removes rows that count no longer, at one VM of the site, and forgets the lists of peers that are gone.
func (n *Node) forgetSuspects() {
	n.suspects.Retain(lo.SliceToMap(n.members.All(), func(i hgpeer.Info) (string, bool) { return i.Name, true }))
	n.suspects.ForgetUnanswered()
	if live := n.members.Live(); len(live) > 0 && live[0].Name < n.cfg.VM.Name {
		return
	}
	now := time.Now()
	var old []string
	for key, row := range n.watches[nodeTable].Snapshot().Rows {
		if !isSuspect(row) {
			continue
		}
		if r, err := suspectCodec.Decode(row.Value); err != nil || r.IsOld(now) {
			old = append(old, key)
		}
	}
	for _, keys := range lo.Chunk(old, maxSuspects) {
		ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
		_, err := n.store.Commit(ctx, hgstore.Txn{Deletes: keys})
		cancel()
		n.log.Info("suspects removed", "rows", len(keys), "error", err)
		if err != nil {
			return
		}
	}
}
