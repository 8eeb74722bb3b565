package hgnode

import (
	"context"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"hyssopgrade/hgmember"
	"hyssopgrade/hgpreset"
	"hyssopgrade/hgshard"
	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/operate/hgmetric"
	"hyssopgrade/internal/peer/hginner"
	"hyssopgrade/internal/serve/hgendpoint"
	"hyssopgrade/internal/serve/hgfront"
	"hyssopgrade/internal/serve/hgowner"
	"hyssopgrade/internal/serve/hgsched"
	"hyssopgrade/internal/state/hgjournal"
)

// shardOwner is who owns a shard, as last heard.
type shardOwner struct {
	id    string
	epoch uint64
}

// Node is one node of a cell.
type Node struct {
	cfg       hgconfig.Config
	run       string
	log       *slog.Logger
	timer     *hgtimer.Service
	store     hgstore.Store
	endpoints map[string]hgendpoint.Endpoint
	sched     *hgsched.Scheduler
	owner     *hgowner.Owner
	committer *hgjournal.Committer
	turns     *turns
	client    *hginner.Client
	inner     *hginner.Server
	front     *hgfront.Front
	metrics   *hgmetric.Metrics

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// startMu keeps what runs beside from starting while Close waits for it.
	startMu sync.Mutex
	public  *http.Server
	peers   *http.Server
	planMu  sync.Mutex
	// planAgain says that something has changed since the last plan began.
	planAgain atomic.Bool

	mu      sync.Mutex
	view    *hgmember.View
	gate    *hgpreset.Gate
	planner *hgshard.Planner
	rows    []hgjournal.SeenRow
	owners  map[uint32]shardOwner
	beating map[string]bool
	// stamps are the peers' last stamps, which go back to them.
	stamps map[string]stamped
	// names are the endpoints' names in order.
	names []string
	// leaving are the endpoints that each source knows to be leaving; left are those of any source.
	leaving map[string]map[string]bool
	left    map[string]bool
	// held are the tokens of this node's programs, by endpoint, at the last heartbeat.
	held     map[string]int
	draining bool
	beat     uint64
	// polls counts the reads of the platform.
	polls uint64
}

// NewNode returns a node that the injector's services make up; Start starts it.
func NewNode(i do.Injector) (n *Node, err error) {
	defer func() { err = trace.Wrap(err, "make node") }()
	cfg := do.MustInvoke[hgconfig.Config](i)
	n = &Node{
		cfg: cfg, run: newRun(cfg.Node.ID),
		log:       do.MustInvoke[*slog.Logger](i),
		timer:     do.MustInvoke[*hgtimer.Service](i),
		store:     do.MustInvoke[hgstore.Store](i),
		endpoints: do.MustInvoke[map[string]hgendpoint.Endpoint](i),
		sched:     do.MustInvoke[*hgsched.Scheduler](i),
		client:    do.MustInvoke[*hginner.Client](i),
		metrics:   do.MustInvoke[*hgmetric.Metrics](i),
		owners:    map[uint32]shardOwner{}, beating: map[string]bool{}, stamps: map[string]stamped{},
		leaving: map[string]map[string]bool{}, left: map[string]bool{},
	}
	for _, e := range cfg.Endpoint {
		n.names = append(n.names, e.ID)
	}
	sort.Strings(n.names)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	first := do.MustInvoke[hgpreset.Version](i)
	l := cfg.Limits
	n.view = hgmember.NewView(n.self(), hgmember.Limits{
		Silent: hgconfig.MS(l.SilentMs), Stale: hgconfig.MS(l.StaleMs), Gone: goneFactor * hgconfig.MS(l.StaleMs),
	})
	n.turns = newTurns(n.timer)
	n.gate = hgpreset.NewGate(first, hgconfig.MS(l.PresetBoundMs))
	n.planner = hgshard.NewPlanner(settleBeats * hgconfig.MS(l.HeartbeatMs))
	n.owner = hgowner.NewOwner(n.ownerConfig(first))
	n.committer = hgjournal.NewCommitter(n.store, n.run, n.owner,
		hgjournal.WithRate(float64(cfg.Platform.CommitsPerSecond)),
		hgjournal.WithCompaction(l.CompactRecords, n.owner.Snapshot))
	n.owner.SetJournal(n.committer)
	keys := do.MustInvoke[Keys](i)
	n.front = hgfront.NewFront(n, hgfront.Options{
		MaxBody: int64(l.MaxBodyBytes), Metrics: n.metrics.Handler(), Version: do.MustInvoke[Release](i).Version, OperatorKey: keys.Operator,
	})
	if keys.Operator == "" {
		n.log.Warn("operators' routes are open to all callers: the settings name no operators' key")
	}
	n.inner, err = hginner.NewServer((*peerSide)(n), keys.Cell, n.log)
	return n, err
}

// newRun returns a name for a run of the node that was never used before.
func newRun(id string) string {
	u := uuid.New()
	return id + "-" + hex.EncodeToString(u[:runBytes])
}

// runBytes is the number of random bytes in the name of a run.
const runBytes = 6

// settleBeats is the number of heartbeats for which a shard's preferred owner must stand before the shard moves.
const settleBeats = 6

// goneFactor is how many times the stale time a registration is kept.
const goneFactor = 20

func (n *Node) self() hgmember.Member {
	return hgmember.Member{
		ID: n.cfg.Node.ID, Run: n.run, Domain: n.cfg.Node.Domain, Public: n.cfg.Node.Public, Inner: n.cfg.Node.Inner,
	}
}

func (n *Node) ownerConfig(first hgpreset.Version) hgowner.Config {
	l := n.cfg.Limits
	targets := map[string][]string{}
	for _, e := range n.cfg.Endpoint {
		for _, t := range e.Targets {
			targets[t] = append(targets[t], e.ID)
		}
	}
	fencing := lo.SliceToMap(n.cfg.Endpoint, func(e hgconfig.Endpoint) (string, bool) { return e.ID, e.ChecksFencing })
	return hgowner.Config{
		Node: n.cfg.Node.ID, Run: n.run, Shards: uint32(n.cfg.Node.Shards),
		Limits: hgowner.Limits{
			DispatchWindow: hgconfig.MS(l.DispatchWindowMs), Hold: hgconfig.MS(l.HoldMs),
			CommitWait: hgconfig.MS(l.CommitWaitMs), Retain: hgconfig.MS(l.RetainMs),
		},
		Store: n.store, Scheduler: n.sched, Endpoints: n.endpoints, Targets: targets, Fencing: fencing, Sharer: (*peerSide)(n), Turns: (*peerSide)(n),
		Dead: func(id, run string) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.view.Dead(id, run, n.now())
		},
		Recorder: n.metrics, Timer: n.timer, Log: n.log, Preset: first.Preset,
	}
}

// Start listens and begins all work.
func (n *Node) Start() (err error) {
	defer func() { err = trace.Wrap(err, "start node %q", n.cfg.Node.ID) }()
	public, err := net.Listen("tcp", n.cfg.Node.Public)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", n.cfg.Node.Inner)
	if err != nil {
		_ = public.Close()
		return err
	}
	n.public = &http.Server{Handler: n.front, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelWarn)}
	n.peers = &http.Server{Handler: n.inner, ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelWarn)}
	n.wg.Go(func() { _ = n.peers.Serve(peers) })
	n.wg.Go(func() { _ = n.public.Serve(public) })
	n.wg.Go(func() { n.committer.Run(n.ctx) })
	n.schedule()
	n.log.Info("node started", "node", n.cfg.Node.ID, "run", n.run, "public", n.cfg.Node.Public, "inner", n.cfg.Node.Inner)
	return nil
}

// Bounds of reading a caller's request.
const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
)

// schedule subscribes the periodic work to the timer service.
func (n *Node) schedule() {
	l := n.cfg.Limits
	poll := hgconfig.MS(l.PollMs)
	n.wg.Go(n.register)
	n.wg.Go(n.poll)
	n.timer.Every(hgconfig.MS(l.StaleMs)/3, func(time.Duration) { n.register() })
	n.timer.Every(poll, func(time.Duration) { n.poll() })
	n.timer.Every(hgconfig.MS(l.HeartbeatMs), func(time.Duration) { n.beatAll() })
	n.timer.After(startBeats*hgconfig.MS(l.HeartbeatMs), func(time.Duration) {
		n.timer.Every(hgconfig.MS(l.HeartbeatMs), func(time.Duration) { n.plan() })
	})
	n.timer.Every(hgconfig.MS(l.SweepMs), func(time.Duration) {
		n.owner.Tick()
		n.sweep()
	})
	n.timer.Every(hgconfig.MS(l.HeartbeatMs), func(time.Duration) { n.watchEndpoints() })
	n.timer.Every(collectEvery, func(time.Duration) { n.collect() })
	n.timer.Every(time.Second, func(time.Duration) {
		n.turns.tick()
		n.report()
	})
}

// startBeats is the number of heartbeats in which a new node finds the others before it takes shards.
const startBeats = 3

// collectEvery is the period of the collection of batch rows, which one node of the cell does.
const collectEvery = 30 * time.Second

// Close stops the node at once; calls in progress are cut.
func (n *Node) Close() {
	n.endBackground()
	n.timer.Close()
	_ = n.public.Close()
	_ = n.peers.Close()
	n.inner.Close()
	n.owner.Close()
	n.client.Close()
	_ = n.metrics.Close()
	n.wg.Wait()
}

// background runs something beside until the node closes; nothing is started from then on, as a message of a peer may
// still come while Close waits.
func (n *Node) background(run func()) {
	n.startMu.Lock()
	defer n.startMu.Unlock()
	if n.ctx.Err() == nil {
		n.wg.Go(run)
	}
}

// endBackground ends what runs beside, and lets nothing start any more.
func (n *Node) endBackground() {
	n.startMu.Lock()
	defer n.startMu.Unlock()
	n.cancel()
}

// now returns the node's monotonic time.
func (n *Node) now() time.Duration { return n.timer.Now() }

// report updates the gauges.
func (n *Node) report() {
	n.metrics.Set("running_calls", float64(n.owner.Running()))
	n.metrics.Set("waiting_calls", float64(n.sched.Waiting()))
	n.metrics.Set("owned_shards", float64(len(n.owner.Epochs())))
	n.metrics.Set("store_failing_seconds", n.committer.FailingFor().Seconds())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.metrics.Set("preset_version", float64(n.gate.Applied().Number))
	n.metrics.Set("preset_unconfirmed_seconds", n.gate.Age(n.now()).Seconds())
	n.metrics.Set("live_peers", float64(len(n.view.Live(n.now()))))
	n.metrics.Set("leaving_endpoints", float64(lo.Count(lo.Values(n.left), true)))
}

// String names the node.
func (n *Node) String() string { return "node " + n.cfg.Node.ID }
