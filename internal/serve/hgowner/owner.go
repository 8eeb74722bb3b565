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

// Journal makes records durable.
type Journal interface {
	// Append queues records of a shard held under an epoch.
	Append(shard uint32, epoch uint64, recs []hgprogram.Record)
	// Claim takes shards as they were seen.
	Claim(ctx context.Context, node string, seen []hgjournal.SeenRow) (won []hgjournal.SeenRow, err error)
	// Hold starts committing for a claimed shard.
	Hold(claimed hgjournal.SeenRow, n uint64)
	// Release gives shards up once their records are durable and returns those that were still owned.
	Release(ctx context.Context, shards []uint32) (released []uint32, err error)
	// FailingFor returns how long commits have failed.
	FailingFor() time.Duration
}

// Scheduler gives places on endpoints.
type Scheduler interface {
	// Acquire waits for a place.
	Acquire(ctx context.Context, r hgsched.Request) (g hgsched.Grant, err error)
	// Done gives a place back.
	Done(g hgsched.Grant, r hgsched.Result)
	// Serves tells whether any endpoint serves a target.
	Serves(target string) bool
}

// Sharer tells the other nodes of a suspect before the suspect's caller is answered.
type Sharer interface {
	// Share returns when the live peers know the suspect, or after a short time.
	Share(s hgquarantine.Suspect)
}

// Turns keeps the copies of an unproven request from running at once in the cell.
type Turns interface {
	// Enter tells whether a copy may run now; it must ask again later if not.
	Enter(digest string, h hgquarantine.Holder) (ok bool)
	// Leave ends a copy's turn; proven tells that it has run without harm.
	Leave(digest string, h hgquarantine.Holder, proven bool)
}

// Recorder takes the figures of finished calls.
type Recorder interface {
	// CallDone records one call's outcome and the parts of its time.
	CallDone(c hgcall.Call, r hgcall.Result, t Times)
	// Retried counts one retry.
	Retried()
}

// Times are the parts of a call's time.
type Times struct {
	Queue    time.Duration
	Commit   time.Duration
	Endpoint time.Duration
	Total    time.Duration
}

// Limits are the times that bound a call's steps.
type Limits struct {
	// DispatchWindow is the time after an intent in which it may be dispatched.
	DispatchWindow time.Duration
	// Hold is how long a call waits for its predecessors.
	Hold time.Duration
	// CommitWait is how long a call waits for a commit.
	CommitWait time.Duration
	// Retain is how long a silent program is kept.
	Retain time.Duration
}

// Config names what an Owner works with.
type Config struct {
	Node      string
	Run       string
	Shards    uint32
	Limits    Limits
	Store     hgstore.Store
	Journal   Journal
	Scheduler Scheduler
	Endpoints map[string]hgendpoint.Endpoint
	Targets   map[string][]string
	// Fencing names the endpoints that refuse old fencing numbers.
	Fencing  map[string]bool
	Sharer   Sharer
	Turns    Turns
	Recorder Recorder
	Timer    hgtimer.Timer
	// Dead tells whether a run of a node may be taken over.
	Dead   func(node, run string) bool
	Log    *slog.Logger
	Preset hgpreset.Preset
}

// Owner owns shards; it is safe for concurrent use.
type Owner struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	shards []*shard
	// isolation keeps suspects apart.
	isolation *isolation

	mu         sync.Mutex
	preset     hgpreset.Preset
	retries    *hgretry.Budget
	quarantine *hgquarantine.List
	times      map[string]Breakdown
}

// quarantineKeep is how long suspects are remembered.
const quarantineKeep = time.Hour

// NewOwner returns an owner of no shards.
func NewOwner(cfg Config) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		cfg: cfg, ctx: ctx, cancel: cancel, preset: cfg.Preset, retries: hgretry.NewBudget(cfg.Preset.RetryPercent),
		quarantine: hgquarantine.NewList(quarantineKeep), times: map[string]Breakdown{},
	}
	o.isolation = newIsolation(cfg)
	o.shards = lo.Times(int(cfg.Shards), func(i int) *shard { return newShard(uint32(i)) })
	return o
}

// SetJournal sets the journal, which reports its commits to the owner; it must be called before any other method.
func (o *Owner) SetJournal(j Journal) { o.cfg.Journal = j }

// SetPreset changes the weights and limits.
func (o *Owner) SetPreset(p hgpreset.Preset) {
	o.mu.Lock()
	o.preset = p
	o.retries.SetPercent(p.RetryPercent)
	o.mu.Unlock()
	for _, s := range o.shards {
		s.setPreset(p)
	}
}

func (o *Owner) limits() hgprogram.Limits {
	o.mu.Lock()
	defer o.mu.Unlock()
	return hgprogram.Limits{BudgetTokens: uint64(o.preset.DefaultBudgetTokens), MaxTokens: uint64(o.preset.DefaultMaxTokens)}
}

func (o *Owner) now() time.Duration { return o.cfg.Timer.Now() }

func (o *Owner) shardOf(program string) *shard { return o.shards[hgshard.Of(program, o.cfg.Shards)] }

// Held tells whether the node owns a shard.
func (o *Owner) Held(n uint32) bool { return o.shards[n].heldEpoch() != 0 }

// Epochs returns the epochs of the held shards.
func (o *Owner) Epochs() map[uint32]uint64 {
	epochs := map[uint32]uint64{}
	for _, s := range o.shards {
		if e := s.heldEpoch(); e != 0 {
			epochs[s.no] = e
		}
	}
	return epochs
}

// Running returns the number of calls in progress.
func (o *Owner) Running() int {
	return lo.SumBy(o.shards, func(s *shard) int { return s.runningCalls() })
}

// Committed is called by the journal when records are durable.
func (o *Owner) Committed(n uint32, record uint64) { o.shards[n].setCommitted(record) }

// LostShard is called by the journal when a shard has another owner.
func (o *Owner) LostShard(n uint32) {
	o.cfg.Log.Warn("shard lost", "shard", n)
	o.shards[n].drop()
}

// CommitDone is called by the journal after each transaction.
func (o *Owner) CommitDone(records, tries int, took time.Duration) {
	o.cfg.Log.Debug("committed", "records", records, "tries", tries, "took", took)
}

// Close stops all work at once; calls in progress are cut.
func (o *Owner) Close() {
	o.cancel()
	o.wg.Wait()
}

// Merge takes in the suspects that a peer knows.
func (o *Owner) Merge(suspects []hgquarantine.Suspect) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quarantine.Merge(suspects, o.now())
}

// Suspects returns the suspects that this node knows.
func (o *Owner) Suspects() []hgquarantine.Suspect {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.quarantine.Suspects(o.now())
}

// String names the owner.
func (o *Owner) String() string { return "owner " + o.cfg.Node }
