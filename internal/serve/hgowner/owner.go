package hgowner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgpreset"
	"hyssopgrade/hgprogram"
	"hyssopgrade/hgquarantine"
	"hyssopgrade/hgretry"
	"hyssopgrade/hgshard"
	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/serve/hgendpoint"
	"hyssopgrade/internal/serve/hgsched"
	"hyssopgrade/internal/state/hgjournal"
)

// Journal writes the shards' records and ownership rows to the store.
type Journal interface {
	// Append queues records of a shard that is owned under the epoch; the journal reports their commit to the Owner.
	Append(shard uint32, epoch uint64, recs []hgprogram.Record)
	// Claim takes ownership of those shards whose rows have not changed since they were read, and returns their new rows.
	Claim(ctx context.Context, node string, seen []hgjournal.VersionedRow) (won []hgjournal.VersionedRow, err error)
	// Hold starts committing records of a claimed shard whose last durable record is n.
	Hold(claimed hgjournal.VersionedRow, n uint64)
	// Release gives up ownership of shards once their records are durable and returns those that were still owned.
	Release(ctx context.Context, shards []uint32) (released []uint32, err error)
	// FailingFor returns how long commits have failed without a success; 0 means that the store works.
	FailingFor() time.Duration
}

// Scheduler grants slots on endpoints.
type Scheduler interface {
	// Acquire waits for a slot, which Done has to return.
	Acquire(ctx context.Context, r hgsched.Request) (g hgsched.Grant, err error)
	// Done returns a slot and reports how the call on it ended.
	Done(g hgsched.Grant, r hgsched.Result)
	// Serves reports whether any endpoint serves a target.
	Serves(target string) bool
}

// Sharer sends a change of a suspect request to the other nodes before the suspect's caller gets its answer.
type Sharer interface {
	// Share returns when the live peers know the suspect, or after a short timeout.
	Share(s hgquarantine.Suspect)
}

// Turns lets the copies of a request run one at a time in the cell until one copy has run without crashing its endpoint.
// From then on the request is proven and its copies may run at once.
type Turns interface {
	// Enter reports whether a copy may run now; a copy that may not has to ask again later.
	Enter(digest string, h hgquarantine.Holder) (ok bool)
	// Leave ends a copy's turn; proven means that the copy has run without crashing its endpoint.
	Leave(digest string, h hgquarantine.Holder, proven bool)
}

// Recorder receives the metrics of finished calls.
type Recorder interface {
	// CallDone records one call's outcome and where its time went.
	CallDone(c hgcall.Call, r hgcall.Result, t Times)
	// Retried counts one retry of a call.
	Retried()
}

// Times are the parts of a call's latency: the wait for a slot, the waits for commits, the time at endpoints, and the total.
type Times struct {
	Queue    time.Duration
	Commit   time.Duration
	Endpoint time.Duration
	Total    time.Duration
}

// Limits are the time limits of an Owner.
type Limits struct {
	// DispatchWindow is how long after its intent was queued a call may be dispatched. The next owner of the shard waits
	// as long before it resolves the call.
	DispatchWindow time.Duration
	// Hold is how long a call waits for the program's earlier calls.
	Hold time.Duration
	// CommitWait is how long a call waits for the commit of one record.
	CommitWait time.Duration
	// Retain is how long an inactive program is kept.
	Retain time.Duration
}

// Config holds the settings and dependencies of an Owner.
type Config struct {
	Node string
	// Run identifies this start of the node's process.
	Run string
	// Shards is the number of shards of the cell.
	Shards    uint32
	Limits    Limits
	Store     hgstore.Store
	Journal   Journal
	Scheduler Scheduler
	Endpoints map[string]hgendpoint.Endpoint
	// Targets lists the endpoints that serve each target.
	Targets map[string][]string
	// Fencing is true for the endpoints that refuse outdated fencing numbers.
	Fencing  map[string]bool
	Sharer   Sharer
	Turns    Turns
	Recorder Recorder
	Timer    hgtimer.Timer
	// Dead reports whether a run of a node is dead, so that what it holds may be taken over.
	Dead   func(node, run string) bool
	Log    *slog.Logger
	Preset hgpreset.Preset
}

// Owner serves the shards that a node owns; it is safe for concurrent use.
type Owner struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	shards []*shard
	// isolation keeps suspect requests on different endpoints.
	isolation *isolation

	mu         sync.Mutex
	preset     hgpreset.Preset
	retries    *hgretry.Budget
	quarantine *hgquarantine.List
	times      map[string]Breakdown
}

// quarantineRetention is how long a suspect request is remembered after its last change.
const quarantineRetention = time.Hour

// NewOwner returns an Owner that owns no shards yet; Take adds them.
func NewOwner(cfg Config) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		cfg: cfg, ctx: ctx, cancel: cancel, preset: cfg.Preset, retries: hgretry.NewBudget(cfg.Preset.RetryPercent),
		quarantine: hgquarantine.NewList(quarantineRetention), times: map[string]Breakdown{},
	}
	o.isolation = newIsolation(cfg)
	o.shards = lo.Times(int(cfg.Shards), func(i int) *shard { return newShard(uint32(i)) })
	return o
}

// SetJournal sets the journal, which needs the Owner to report its commits to and is therefore built after it. It must be called
// before any other method.
func (o *Owner) SetJournal(j Journal) { o.cfg.Journal = j }

// SetPreset changes the default budgets of programs and calls, the retry budget, and the limits for keeping prefixes.
func (o *Owner) SetPreset(p hgpreset.Preset) {
	o.mu.Lock()
	o.preset = p
	o.retries.SetPercent(p.RetryPercent)
	o.mu.Unlock()
	for _, s := range o.shards {
		s.setPreset(p)
	}
}

func (o *Owner) limits() hgprogram.Defaults {
	o.mu.Lock()
	defer o.mu.Unlock()
	return hgprogram.Defaults{BudgetTokens: uint64(o.preset.DefaultBudgetTokens), MaxTokens: uint64(o.preset.DefaultMaxTokens)}
}

func (o *Owner) now() time.Duration { return o.cfg.Timer.Now() }

func (o *Owner) shardOf(program string) *shard { return o.shards[hgshard.Of(program, o.cfg.Shards)] }

// Held reports whether the node owns a shard.
func (o *Owner) Held(n uint32) bool { return o.shards[n].heldEpoch() != 0 }

// Epochs returns the epochs of the owned shards.
func (o *Owner) Epochs() map[uint32]uint64 {
	epochs := map[uint32]uint64{}
	for _, s := range o.shards {
		if e := s.heldEpoch(); e != 0 {
			epochs[s.number] = e
		}
	}
	return epochs
}

// Running returns the number of calls in progress.
func (o *Owner) Running() int {
	return lo.SumBy(o.shards, func(s *shard) int { return s.runningCalls() })
}

// Committed is called by the journal when a shard's records up to the given number are durable.
func (o *Owner) Committed(n uint32, record uint64) { o.shards[n].setCommitted(record) }

// LostShard is called by the journal when a commit finds that a shard has another owner.
func (o *Owner) LostShard(n uint32) {
	o.cfg.Log.Warn("shard lost to another owner", "shard", n)
	o.shards[n].stopServing()
}

// CommitDone is called by the journal after each transaction; it logs the number of records and tries and the duration.
func (o *Owner) CommitDone(records, tries int, took time.Duration) {
	o.cfg.Log.Debug("records committed", "records", records, "tries", tries, "took", took)
}

// Close cancels the calls in progress and waits until they have stopped.
func (o *Owner) Close() {
	o.cancel()
	o.wg.Wait()
}

// MergeSuspects adds the suspect requests that a peer knows.
func (o *Owner) MergeSuspects(suspects []hgquarantine.Suspect) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quarantine.Merge(suspects, o.now())
}

// Suspects returns the suspect requests that this node knows.
func (o *Owner) Suspects() []hgquarantine.Suspect {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.quarantine.Suspects(o.now())
}

// String returns the owner's name, with the node's identifier.
func (o *Owner) String() string { return "owner " + o.cfg.Node }
