package hgentryvm

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
	// suspectPrefix begins the keys of rows of suspects. They are kept in nodeTable, as all entry VMs watch it.
	suspectPrefix = nodeTable + "//suspect-"
	// minBroadcastInterval is the least time between two rounds of heartbeats sent early because of a suspected crash.
	minBroadcastInterval = 50 * time.Millisecond
	// suspectPeriod is the least time between two writes of suspects by one VM, and suspectPerPeer what each peer adds to it,
	// so that the write rate of all VMs together is bounded at any size of the site.
	suspectPeriod  = 500 * time.Millisecond
	suspectPerPeer = 10 * time.Millisecond
	// maxSuspects bounds the rows that one transaction writes; the store accepts 100 entries.
	maxSuspects = 50
)

var suspectCodec = hgcodec.JSON[hgsuspect.Row]{}

// suspects shares the list of suspects among all entry VMs: the requests during which a replica's connection broke, which counts
// as a suspected crash. Suspected crashes are sent to peers with heartbeats, and saved in the store from a request's second one
// on. A node that reaches no majority of the nodes saves the first one too.
type suspects struct {
	*hgsuspect.List
	node *Node
	// scheduled says that a broadcast is scheduled.
	scheduled atomic.Bool
	// broadcastAt is when the last broadcast began, in nanoseconds of the timer.
	broadcastAt atomic.Int64

	// mu is held while rows are written; savedAt is when the last write began.
	mu      sync.Mutex
	savedAt time.Duration
}

// RecordCrash records a suspected crash and schedules a broadcast of it to peers and the store.
func (s *suspects) RecordCrash(r hgsuspect.Request) {
	s.List.RecordCrash(r)
	if !s.scheduled.CompareAndSwap(false, true) {
		return
	}
	pause := minBroadcastInterval - (s.node.timer.Now() - time.Duration(s.broadcastAt.Load()))
	if pause <= 0 {
		go s.broadcast(0)
		return
	}
	s.node.timer.After(pause, s.broadcast)
}

// replicaEnded records a suspected crash for each request that a replica left unanswered when it ended or restarted without an
// announced leaving.
func (s *suspects) replicaEnded(id string) {
	for _, r := range s.TakeUnanswered(id) {
		s.node.log.Info("replica ended without answering a request", "replica", id, "digest", r.Caller)
		s.RecordCrash(r)
	}
}

// broadcast sends suspected crashes to peers and the store. On a large site peers are told with the next regular heartbeat, as extra
// ones from many VMs would load the hubs.
func (s *suspects) broadcast(time.Duration) {
	s.broadcastAt.Store(int64(s.node.timer.Now()))
	s.scheduled.Store(false)
	if !s.node.members.IsLarge() {
		s.node.broadcastHeartbeat()
	}
	s.save(0)
}

// save writes the suspects that the store does not hold yet, unless a write is under way or the last one was too recent. A node that has
// not read the table since it started writes none: it would replace rows that hold more crashes than it knows of.
func (s *suspects) save(time.Duration) {
	if !s.node.hasReadNodes() || !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	period := suspectPeriod + time.Duration(len(s.node.members.All()))*suspectPerPeer
	if s.savedAt > 0 && s.node.timer.Now()-s.savedAt < period {
		return
	}
	records := s.Unsaved(s.node.members.LacksMajority(), maxSuspects)
	if len(records) == 0 {
		return
	}
	s.savedAt = s.node.timer.Now()
	now := time.Now()
	var txn hgstore.Txn
	for _, r := range records {
		value, err := suspectCodec.Encode(hgsuspect.NewRow(r, now))
		if err != nil {
			s.node.log.Error("cannot encode suspect", "digest", r.Digest, "error", err)
			return
		}
		txn.Puts = append(txn.Puts, hgstore.Put{Key: fmt.Sprintf("%s%016x", suspectPrefix, r.Digest), Value: value})
	}
	ctx, cancel := context.WithTimeout(s.node.ctx, storeTimeout)
	defer cancel()
	if _, err := s.node.store.Commit(ctx, txn); err != nil {
		s.node.log.Info("cannot save suspects", "requests", len(records), "error", err)
		return
	}
	s.Saved(records)
	s.node.log.Info("suspects saved", "requests", len(records))
}

// load merges the rows of suspects that any VM has saved into the list.
func (s *suspects) load(rows map[string]hgstore.Row) {
	var records []hgsuspect.Record
	now := time.Now()
	s.node.suspectRows.Decode(rows, func(row hgstore.Row) (r hgsuspect.Row, ok bool) {
		if !isSuspect(row) {
			return r, false
		}
		r, err := suspectCodec.Decode(row.Value)
		if err != nil {
			s.node.log.Warn("ignoring a suspect whose row cannot be decoded", "row", row.Key, "error", err)
			return r, false
		}
		if !r.IsOld(now) {
			records = append(records, r.Record(now))
		}
		return r, true
	})
	s.Load(records)
}

// isSuspect says whether a row of nodeTable describes a suspect.
func isSuspect(row hgstore.Row) bool { return strings.HasPrefix(row.Key, suspectPrefix) }

// evictSuspects drops what the list holds of peers that are gone and of old unanswered requests.
func (n *Node) evictSuspects() {
	n.suspects.Retain(lo.SliceToMap(n.members.All(), func(i hgpeer.Info) (string, bool) { return i.Name, true }))
	n.suspects.ForgetUnanswered()
}

// isOldSuspect says whether a row of nodeTable describes a suspect that no longer counts.
func isOldSuspect(row hgstore.Row, now time.Time) bool {
	if !isSuspect(row) {
		return false
	}
	r, err := suspectCodec.Decode(row.Value)
	return err != nil || r.IsOld(now)
}
