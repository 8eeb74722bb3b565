package hgentryvm

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/operate/hgtelemetry"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgentry"
	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
	"hyssopgrade/internal/serve/hgserver"
	"hyssopgrade/internal/serve/hgsuspect"
	"hyssopgrade/internal/serve/hgtransport"
	"hyssopgrade/internal/state/hgfeed"
	"hyssopgrade/internal/state/hghedge"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgreach"
	hgplatform "hyssopgrade/platform"
)

const (
	// storeTimeout bounds one operation of the store. Answers usually take 4 ms, and a few hundred when the store is slow.
	storeTimeout = 900 * time.Millisecond
	// headerTimeout bounds the time a client may take to send the header of a request: several times what the desired state allows, 3 s.
	headerTimeout = 15 * time.Second
	// readTimeout and writeTimeout bound a whole request and its answer at the ports for readiness, the directory and metrics, which
	// take no bodies and send a few KB.
	readTimeout  = 20 * time.Second
	writeTimeout = 60 * time.Second
	// idleTimeout is how long connections of callers stay open without a request. It is longer than
	// any caller reuses an idle connection.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// bufferShare is the share of the VM's memory for answers that are buffered until they are complete.
	bufferShare = 0.1
)

// Node is the process of an entry VM.
type Node struct {
	cfg     hgconfig.EntryConfig
	log     *slog.Logger
	timer   *hgtimer.Service
	store   *hgplatform.Store
	reach   reach
	members *hgpeer.Members
	client  *hgpeer.Client
	// tlsConfig secures the connections between nodes; nil if they are not encrypted.
	tlsConfig *tls.Config
	ledger    *hgledger.Ledger
	retention retention
	places    *hgpeer.Places
	replicas  *hgreplica.Set
	// dialReplica opens connections to replicas.
	dialReplica hgtransport.Dial
	entry       *hgentry.Entry
	// fresh decides whether keys may be served; nil without a bound on revocation.
	fresh *freshness
	// caps is nil if the settings enforce no usage caps.
	caps *hgpeer.Caps
	// watches are the watches of the store's tables, by table.
	watches map[string]*hgfeed.Watch
	// nodeRows, replicaRows and suspectRows cache the decoded rows of the watched tables; suspectRows are the rows of
	// nodeTable that describe suspect requests.
	nodeRows    hgfeed.RowCache[hgpeer.Info]
	replicaRows hgfeed.RowCache[hgreplica.Registration]
	suspectRows hgfeed.RowCache[hgsuspect.Row]
	metrics     *hgtelemetry.Recorder
	suspects    *suspects
	pace        pace
	bounds      *bounds

	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	public    *hgserver.Server
	listeners []net.Listener
	stopping  atomic.Bool
	// rowVersion is the version of this node's row as it last wrote it, 0 while it does so.
	rowVersion atomic.Uint64
	// storeOK says that the store answered at the last look, and probedAt is when it was last probed; only watchStore uses them.
	storeOK  bool
	probedAt time.Duration
	// desiredAt is when the current desired state took effect, in nanoseconds of the timer.
	desiredAt atomic.Int64
}

// desiredSince returns when the current desired state took effect, on the clock of the timer.
func (n *Node) desiredSince() time.Duration { return time.Duration(n.desiredAt.Load()) }

// Option configures a Node.
type Option func(n *Node)

// WithReplicaDial replaces how connections to replicas are opened; tests use it to delay what a connection reports.
func WithReplicaDial(dial hgtransport.Dial) Option { return func(n *Node) { n.dialReplica = dial } }

// NewNode returns a node with its parts; it listens on nothing until Start. An error means that the certificate or keys of
// the settings cannot be used.
func NewNode(cfg hgconfig.EntryConfig, log *slog.Logger, options ...Option) (n *Node, err error) {
	n = &Node{cfg: cfg, log: log, timer: hgtimer.NewService(), dialReplica: newReplicaDialer().DialContext}
	for _, o := range options {
		o(n)
	}
	if cfg.Keys.Certificate != "" {
		if n.tlsConfig, err = hgpeer.TLSConfig(cfg.Keys.Certificate, cfg.Keys.Key, cfg.Keys.Authority); err != nil {
			return nil, err
		}
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	boot := cfg.VM.Name + "/" + uuid.NewString()
	n.reach = reach{monitor: hgreach.NewMonitor(), timer: n.timer}
	n.store = hgplatform.NewStore(cfg.Store.Address, storeTimeout, n.reach)
	n.metrics = hgtelemetry.NewRecorder(log)
	n.bounds = newBounds(cfg.VM, log, n.metrics.Count, n.timer)
	n.members = hgpeer.NewMembers(n.timer, hgpeer.Info{
		Name: cfg.VM.Name, Boot: boot, Peer: cfg.Listen.Peer, Public: cfg.Listen.Public, Domain: cfg.VM.Domain,
		Power: cfg.VM.CPUShare * cfg.VM.Cores, Started: time.Now().UnixMilli(), Joining: !cfg.VM.FirstStart,
	}, cfg.VM.Domains...)
	n.client = hgpeer.NewClient(n.tlsConfig)
	n.ledger = hgledger.NewLedger(boot, hghedge.NewTable(n.store), n.timer, log,
		hgledger.WithBackup(hgpeer.NewBackup(n.members, n.client)), hgledger.WithAllProgramsKnown(cfg.VM.FirstStart),
		hgledger.WithReachability(n.reach.state), hgledger.WithInformed(n.hasReadNodes), n.bounds.ledgerOption())
	n.replicas = hgreplica.NewSet(n.timer, cfg.VM.Domain, func(idle time.Duration) *http.Client { return newReplicaClient(n.dialReplica, idle) })
	n.suspects = &suspects{List: hgsuspect.NewList(n.timer, log), node: n}
	n.pace.node = n
	n.replicas.OnEnd(n.suspects.replicaEnded)
	programs := hgpeer.NewPrograms(n.ledger, n.members, n.client, log)
	n.places = hgpeer.NewPlaces(hgplacer.NewPlacer(n.replicas, n.timer), n.replicas, n.members, n.client, log)
	opts := append(n.capOptions(boot), n.bounds.entryOption())
	if revoke := hgconfig.Seconds(cfg.Teams.RevokeMs / 1000); cfg.Teams.StrictRevoke && revoke > 0 {
		n.fresh = newFreshness(revoke, bootClock, n.metrics, log)
		opts = append(opts, hgentry.WithFreshness(n.fresh.evidence))
	}
	n.entry = hgentry.NewEntry(hgplatform.Dialect{}, programs, n.places, n.replicas, n.timer, log, n.metrics, n.suspects,
		hgmemory.NewPool(int64(cfg.VM.MemoryMB*(1<<20)*bufferShare)), opts...)
	n.public = n.bounds.public(&http.Server{
		Handler: n.entry, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn), ConnContext: hgentry.ConnContext,
	})
	wait := hgfeed.WithWait(n.watchWait)
	n.watches = map[string]*hgfeed.Watch{
		hgplatform.DesiredTable: hgfeed.NewWatch(n.store, hgplatform.DesiredTable, n.timer, log, n.applyDesired, n.desiredOptions()...),
		hgplatform.ReplicaTable: hgfeed.NewWatch(n.store, hgplatform.ReplicaTable, n.timer, log, n.applyReplicas, wait, hgfeed.WithLapseTime(n.lapseTime())),
		nodeTable:               hgfeed.NewWatch(n.store, nodeTable, n.timer, log, n.applyNodes, wait),
	}
	n.members.SetRowsAge(n.watches[nodeTable].Age)
	return n, nil
}

// Start opens all listeners, then starts the watches of the store, the heartbeats and the periodic tasks.
func (n *Node) Start() (err error) {
	defer func() { err = trace.Wrap(err, "start") }()
	if err := n.listen(n.cfg.Listen.Peer, n.servePeers); err != nil {
		return err
	}
	if err := n.listen(n.cfg.Listen.Public, n.public.Serve); err != nil {
		return err
	}
	for _, port := range []struct {
		address string
		handler http.Handler
		part    float64
		share   float64
	}{
		{n.cfg.Listen.Ready, n.readyHandler(), operatorPart, operatorShare},
		{n.cfg.Listen.Directory, n.directoryHandler(), directoryPart, directoryShare},
		{n.cfg.Listen.Metrics, n.metricsHandler(), operatorPart, operatorShare},
	} {
		srv := n.bounds.other(&http.Server{
			Handler: port.handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
		}, port.part, port.share)
		if err := n.listen(port.address, srv.Serve); err != nil {
			return err
		}
	}
	for _, w := range n.watches {
		n.wg.Go(func() { w.Run(n.ctx) })
	}
	n.wg.Go(func() { n.register(n.cfg.VM.FirstStart) })
	n.wg.Go(n.runHeartbeats)
	n.timer.Every(minRetention/4, n.evict)
	n.timer.Every(savePeriod, n.saveBudgets)
	n.timer.Every(reachPeriod, n.watchStore)
	n.timer.Every(heapPeriod, n.bounds.watchHeap)
	n.timer.Every(suspectPeriod, n.suspects.save)
	n.timer.Every(pacePeriod, n.pace.review)
	n.timer.Every(removePeriod, n.removeGone)
	if n.fresh != nil {
		n.timer.Every(freshPeriod, n.fresh.observe)
	}
	if n.caps != nil {
		n.timer.Every(capPeriod, n.caps.Tick)
	}
	// A node that has run for minRetention counts as knowing all programs of its failure domain within the retention time
	// (Ledger.KnownPrograms).
	n.timer.After(minRetention, func(time.Duration) { n.ledger.AddKnownPrograms(nil, true) })
	n.log.Info("started", "vm", n.cfg.VM.Name, "domain", n.cfg.VM.Domain, "public", n.cfg.Listen.Public, "ledger", n.ledger.String())
	return nil
}

// servePeers answers peers, over TLS if the settings name a certificate.
func (n *Node) servePeers(l net.Listener) error {
	if n.tlsConfig != nil {
		l = tls.NewListener(l, n.tlsConfig)
	}
	return hgpeer.Serve(l, (*peerHandler)(n), n.bounds.peers())
}

// listen opens a TCP listener and serves it in the background until the node ends.
func (n *Node) listen(address string, serve func(l net.Listener) error) (err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.listeners = append(n.listeners, l)
	n.wg.Go(func() {
		if err := serve(l); err != nil && n.ctx.Err() == nil && !n.stopping.Load() {
			n.log.Error("listener failed", "address", address, "error", err)
		}
	})
	return nil
}

const (
	// leaveTime is how long a stopping node still accepts requests, as callers may hold an address list that names it.
	leaveTime = 2500 * time.Millisecond
	// closeReserve is the part of the platform's grace time that is kept for closing after the last answer.
	closeReserve = 700 * time.Millisecond
	// lastReturnTime bounds the return of budgets after the last turn has ended; it is part of closeReserve.
	lastReturnTime = 300 * time.Millisecond
	// turnCheckPeriod is the time between two looks at the open turns of a stopping node, and openerCheckPeriod the time between two
	// questions to the peers that opened them.
	turnCheckPeriod   = 20 * time.Millisecond
	openerCheckPeriod = 250 * time.Millisecond
)

// Stop shuts the node down gracefully within the platform's grace time. It tells peers, returns budgets, accepts requests
// for up to leaveTime, and then waits for the requests in flight and for turns that run at peers and depend on this node's ledger.
func (n *Node) Stop() {
	began := n.timer.Now()
	grace := hgconfig.Seconds(n.cfg.Bounds.GraceSeconds) - closeReserve
	n.log.Info("stopping", "running", n.entry.Running(), "grace", grace)
	n.stopping.Store(true)
	leave := min(leaveTime, grace/2)
	n.entry.Stop(leave, grace)
	n.members.SetSelf(func(i hgpeer.Info) hgpeer.Info {
		i.Stopping, i.Ready = true, false
		return i
	})
	n.broadcastHeartbeat()
	n.wg.Go(n.markStopping)
	n.returnBudgets(leave)
	time.Sleep(leave - (n.timer.Now() - began))
	ctx, cancel := context.WithTimeout(context.Background(), grace-(n.timer.Now()-began))
	defer cancel()
	if err := n.public.Shutdown(ctx); err != nil {
		n.log.Warn("shutdown incomplete; cutting off the requests in flight", "running", n.entry.Running(), "error", err)
	}
	n.awaitTurns(ctx)
	n.returnBudgets(lastReturnTime)
	n.log.Info("stopped", "after", n.timer.Now()-began)
	n.Close()
}

// awaitTurns waits until no turn of a node that runs holds a reservation of this node's ledger, which extends and settles it, and until
// this node's own turns are settled, or until the context ends. The reservations of processes that have ended stay: what they
// delivered of them is not known.
func (n *Node) awaitTurns(ctx context.Context) {
	ended := map[hgledger.Opener]bool{}
	askedAt := n.timer.Now() - openerCheckPeriod
	for {
		turns := lo.OmitBy(n.ledger.OpenTurns(), func(o hgledger.Opener, _ int) bool { return ended[o] })
		if n.entry.Running()+len(turns) == 0 {
			return
		}
		if now := n.timer.Now(); now-askedAt >= openerCheckPeriod {
			askedAt = now
			for _, o := range hgpeer.EndedOpeners(ctx, n.members, n.client, n.peersOf(turns)) {
				ended[o] = true
				n.log.Info("not waiting for turns of a peer that has ended", "boot", o.Boot, "open", turns[o])
			}
			continue
		}
		select {
		case <-ctx.Done():
			n.log.Warn("turns are left without their ledger", "settling", n.entry.Running(), "open", lo.Sum(lo.Values(turns)))
			return
		case <-time.After(turnCheckPeriod):
		}
	}
}

// peersOf returns the other nodes among those that opened turns, without the unknown one.
func (n *Node) peersOf(turns map[hgledger.Opener]int) []hgledger.Opener {
	self := n.members.Self().Boot
	return lo.Filter(lo.Keys(turns), func(o hgledger.Opener, _ int) bool { return o.Boot != "" && o.Boot != self })
}

// returnBudgets gives back the unused part of the node's shares of programs' budgets, so that the nodes that serve these
// programs next can claim it.
func (n *Node) returnBudgets(limit time.Duration) {
	ctx, cancel := context.WithTimeout(n.ctx, limit)
	defer cancel()
	returned, failed := n.ledger.ReturnUnused(ctx)
	n.log.Info("budgets returned", "programs", returned, "failed", failed)
}

// evict drops programs without recent requests and suspects that no longer count, and deletes their rows.
func (n *Node) evict(time.Duration) {
	n.evictSuspects()
	n.deleteOldRows()
	ctx, cancel := context.WithTimeout(n.ctx, minRetention/4)
	defer cancel()
	if dropped, failed := n.ledger.EvictUnused(ctx, n.retention.duration()); dropped+failed > 0 {
		n.log.Info("idle programs evicted", "programs", dropped, "failed", failed)
	}
}

// Close ends the node at once; requests in flight are cut off.
func (n *Node) Close() {
	n.cancel()
	n.stopping.Store(true)
	for _, l := range n.listeners {
		if err := l.Close(); err != nil {
			n.log.Debug("listener already closed", "error", err)
		}
	}
	if err := n.public.Close(); err != nil {
		n.log.Debug("server for callers already closed", "error", err)
	}
	if err := n.metrics.Close(); err != nil {
		n.log.Debug("cannot close metrics", "error", err)
	}
	n.timer.Close()
}

// Ready says whether the node serves callers, reaches the store and has at least the given number of live peers. Tests use it
// to wait for a site to form.
func (n *Node) Ready(peers int) bool {
	self := n.members.Self()
	return self.Ready && self.StoreOK && len(n.members.Live()) >= peers
}
