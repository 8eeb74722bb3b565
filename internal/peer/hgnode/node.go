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
	"hyssopgrade/internal/peer/hgnoderpc"
	"hyssopgrade/internal/serve/hgendpoint"
	"hyssopgrade/internal/serve/hgfront"
	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgowner"
	"hyssopgrade/internal/serve/hgsched"
	"hyssopgrade/internal/serve/hgserver"
	"hyssopgrade/internal/state/hgjournal"
)

// shardOwner is the owner of a shard with the highest epoch that is known here.
type shardOwner struct {
	id    string
	epoch uint64
}

// Node is one node of a cell: it serves the calls of its own shards and forwards the others to their owners.
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
	client    *hgnoderpc.Client
	inner     *hgnoderpc.Server
	front     *hgfront.Front
	metrics   *hgmetric.Metrics

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// backgroundMu prevents background from adding to wg once Close has begun to wait for it.
	backgroundMu sync.Mutex
	public       *hgserver.Server
	peers        *hgserver.Server
	// requests is the memory for the requests of callers; nil sets no limit.
	requests *hgmemory.Account
	planMu   sync.Mutex
	// planAgain is set by every call of plan, so that a plan under way is followed by another.
	planAgain atomic.Bool

	mu                sync.Mutex
	view              *hgmember.View
	gate              *hgpreset.Gate
	planner           *hgshard.Planner
	rows              []hgjournal.VersionedRow
	owners            map[uint32]shardOwner
	heartbeatInFlight map[string]bool
	// peerStamps holds each peer's last stamp, which this node's heartbeats send back to the peer.
	peerStamps map[string]peerStamp
	// endpointIDs are the identifiers of all endpoints, sorted.
	endpointIDs []string
	// leavingBySource holds the endpoints that each source reports as leaving; leavingEndpoints says for each endpoint
	// whether any source does.
	leavingBySource  map[string]map[string]bool
	leavingEndpoints map[string]bool
	// heldTokens are the tokens of this node's programs at the last heartbeat, by endpoint.
	heldTokens map[string]int
	draining   bool
	// refreshes counts the writes of the registration.
	refreshes uint64
	// polls counts the calls of poll that have read the registrations.
	polls uint64
}

// NewNode returns a node composed of the injector's services; Start starts it.
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
		client:    do.MustInvoke[*hgnoderpc.Client](i),
		metrics:   do.MustInvoke[*hgmetric.Metrics](i),
		owners:    map[uint32]shardOwner{}, heartbeatInFlight: map[string]bool{}, peerStamps: map[string]peerStamp{},
		leavingBySource: map[string]map[string]bool{}, leavingEndpoints: map[string]bool{},
	}
	for _, e := range cfg.Endpoint {
		n.endpointIDs = append(n.endpointIDs, e.ID)
	}
	sort.Strings(n.endpointIDs)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	first := do.MustInvoke[hgpreset.Version](i)
	l := cfg.Limits
	n.view = hgmember.NewView(n.self(), hgmember.Limits{
		Silent: hgconfig.Milliseconds(l.SilentMs), Stale: hgconfig.Milliseconds(l.StaleMs), Gone: goneFactor * hgconfig.Milliseconds(l.StaleMs),
	})
	n.turns = newTurns(n.timer)
	n.gate = hgpreset.NewGate(first, hgconfig.Milliseconds(l.PresetBoundMs))
	n.planner = hgshard.NewPlanner(settleHeartbeats * hgconfig.Milliseconds(l.HeartbeatMs))
	n.owner = hgowner.NewOwner(n.ownerConfig(first))
	n.committer = hgjournal.NewCommitter(n.store, n.run, n.owner,
		hgjournal.WithRate(float64(cfg.Platform.CommitsPerSecond)),
		hgjournal.WithCompaction(l.CompactRecords, n.owner.Snapshot))
	n.owner.SetJournal(n.committer)
	keys := do.MustInvoke[Keys](i)
	n.requests = newRequests(l, n.timer)
	n.front = hgfront.NewFront(n, hgfront.Options{
		MaxBody: int64(l.MaxBodyBytes), Requests: n.requests, Metrics: n.metrics.Handler(), Version: do.MustInvoke[BuildInfo](i).Version, OperatorKey: keys.Operator,
	})
	if keys.Operator == "" {
		n.log.Warn("operators' routes are open to all callers, because the settings name no operators' key")
	}
	n.inner, err = hgnoderpc.NewServer((*peerHandler)(n), keys.Cell, n.log)
	return n, err
}

// newRun returns a name for a run of the node; its random part makes it unique.
func newRun(id string) string {
	u := uuid.New()
	return id + "-" + hex.EncodeToString(u[:runSuffixBytes])
}

// runSuffixBytes is the number of random bytes in the name of a run.
const runSuffixBytes = 6

// settleHeartbeats is the number of heartbeat periods for which another node must be a shard's preferred owner before this
// node releases the shard.
const settleHeartbeats = 6

// goneFactor is the time without a refresh after which a registration is forgotten, in multiples of the stale time.
const goneFactor = 20

// self returns this node's registration.
func (n *Node) self() hgmember.Member {
	return hgmember.Member{
		ID: n.cfg.Node.ID, Run: n.run, Domain: n.cfg.Node.Domain, Public: n.cfg.Node.Public, Inner: n.cfg.Node.Inner,
	}
}

// ownerConfig returns the settings and services of the shards' owner, which starts with the preset first.
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
			DispatchWindow: hgconfig.Milliseconds(l.DispatchWindowMs), Hold: hgconfig.Milliseconds(l.HoldMs),
			CommitWait: hgconfig.Milliseconds(l.CommitWaitMs), Retain: hgconfig.Milliseconds(l.RetainMs),
		},
		Store: n.store, Scheduler: n.sched, Endpoints: n.endpoints, Targets: targets, Fencing: fencing, Sharer: (*peerHandler)(n), Turns: (*peerHandler)(n),
		Dead: func(id, run string) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.view.Dead(id, run, n.now())
		},
		Recorder: n.metrics, Timer: n.timer, Log: n.log, Preset: first.Preset,
	}
}

// Start opens the public and the inner port, and starts the servers, the committer and the periodic tasks.
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
	n.public = n.newServer(&http.Server{
		Handler: n.front, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),
	}, hgserver.PublicPart, n.requests)
	n.peers = n.newServer(&http.Server{
		Handler: n.inner, ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),
	}, innerPart, newInnerRequests(n.cfg.Limits, n.timer))
	n.wg.Go(func() { _ = n.peers.Serve(peers) })
	n.wg.Go(func() { _ = n.public.Serve(public) })
	n.wg.Go(func() { n.committer.Run(n.ctx) })
	n.schedule()
	n.log.Info("node started", "node", n.cfg.Node.ID, "run", n.run, "public", n.cfg.Node.Public, "inner", n.cfg.Node.Inner)
	return nil
}

const (
	// headerTimeout is the timeout of reading a request's header, at the public and the inner port.
	headerTimeout = 5 * time.Second
	// bodyTimeout is the timeout of reading a whole request at the public port.
	bodyTimeout = 30 * time.Second
)

// schedule registers the periodic tasks with the timer service, and registers the node and polls once at once.
func (n *Node) schedule() {
	l := n.cfg.Limits
	poll := hgconfig.Milliseconds(l.PollMs)
	n.wg.Go(n.register)
	n.wg.Go(n.poll)
	n.timer.Every(hgconfig.Milliseconds(l.StaleMs)/3, func(time.Duration) { n.register() })
	n.timer.Every(poll, func(time.Duration) { n.poll() })
	n.timer.Every(hgconfig.Milliseconds(l.HeartbeatMs), func(time.Duration) { n.exchangeHeartbeats() })
	n.timer.After(startupHeartbeats*hgconfig.Milliseconds(l.HeartbeatMs), func(time.Duration) {
		n.timer.Every(hgconfig.Milliseconds(l.HeartbeatMs), func(time.Duration) { n.plan() })
	})
	n.timer.Every(hgconfig.Milliseconds(l.SweepMs), func(time.Duration) {
		n.owner.Tick()
		n.sweep()
	})
	n.timer.Every(hgconfig.Milliseconds(l.HeartbeatMs), func(time.Duration) { n.watchEndpoints() })
	n.timer.Every(collectInterval, func(time.Duration) { n.collectGarbage() })
	n.timer.Every(time.Second, func(time.Duration) {
		n.turns.tick()
		n.report()
	})
}

// startupHeartbeats is the number of heartbeat periods that a new node waits before it claims shards, to find its peers.
const startupHeartbeats = 3

// collectInterval is the period of collectGarbage.
const collectInterval = 30 * time.Second

// Close stops the node at once and cuts the calls in progress; Drain first to let them end.
func (n *Node) Close() {
	n.stopBackground()
	n.timer.Close()
	_ = n.public.Close()
	_ = n.peers.Close()
	n.inner.Close()
	n.owner.Close()
	n.client.Close()
	_ = n.metrics.Close()
	n.wg.Wait()
}

// background runs a function in a goroutine that Close waits for. It does nothing once the node closes: a peer's message may
// still arrive while Close waits.
func (n *Node) background(run func()) {
	n.backgroundMu.Lock()
	defer n.backgroundMu.Unlock()
	if n.ctx.Err() == nil {
		n.wg.Go(run)
	}
}

// stopBackground cancels the node's context, and keeps background from starting anything from then on.
func (n *Node) stopBackground() {
	n.backgroundMu.Lock()
	defer n.backgroundMu.Unlock()
	n.cancel()
}

// now returns the node's monotonic time, which starts with its timer service.
func (n *Node) now() time.Duration { return n.timer.Now() }

// report updates the gauges of the metrics.
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
	n.metrics.Set("leaving_endpoints", float64(lo.Count(lo.Values(n.leavingEndpoints), true)))
}

// String returns the word "node" and the node's name.
func (n *Node) String() string { return "node " + n.cfg.Node.ID }
