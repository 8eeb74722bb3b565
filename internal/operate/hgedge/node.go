package hgedge

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

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/operate/hgfigure"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgentry"
	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
	"hyssopgrade/internal/serve/hgsuspect"
	"hyssopgrade/internal/state/hgfeed"
	"hyssopgrade/internal/state/hghedge"
	"hyssopgrade/internal/state/hgledger"
	hgplatform "hyssopgrade/platform"
)

const (
	// storeTimeout bounds an operation of the store: its answers take 4 ms, and a few hundred when it is slow.
	storeTimeout = 900 * time.Millisecond
	// headerTimeout bounds the time in which a caller sends the head of a request.
	headerTimeout = 30 * time.Second
	// idleTimeout is how long connections of callers stay open without a request, longer than any caller reuses them.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 64 << 10
	// forgetAfter is the least time that silent programs are kept, and forgetFactor that time as a multiple of the
	// longest time that the desired state keeps turns.
	forgetAfter  = 2 * time.Minute
	forgetFactor = 2
	// answerShare is the part of the VM's memory that answers may take while they are held until they are whole.
	answerShare = 0.1
)

// Node is a running entry VM.
type Node struct {
	cfg     hgconfig.Entry
	log     *slog.Logger
	timer   *hgtimer.Service
	store   *hgplatform.Store
	health  health
	members *hgpeer.Members
	client  *hgpeer.Client
	// secure is how connections between nodes are secured, or nil.
	secure  *tls.Config
	ledger  *hgledger.Ledger
	places  *hgpeer.Places
	set     *hgreplica.Set
	entry   *hgentry.Entry
	watches map[string]*hgfeed.Watch
	// nodeRows and replicaRows are the decoded rows of the watched tables.
	nodeRows    hgfeed.RowCache[hgpeer.Info]
	replicaRows hgfeed.RowCache[hgreplica.Entry]
	// suspectRows are those of requests that broke off replicas.
	suspectRows hgfeed.RowCache[hgsuspect.Row]
	figures     *hgfigure.Figures
	suspects    *suspects

	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	public    *http.Server
	listeners []net.Listener
	stopping  atomic.Bool
	// desiredAt is when the desired state came into force, in nanoseconds of the timer.
	desiredAt atomic.Int64
}

// inForce returns when the desired state came into force.
func (n *Node) inForce() time.Duration { return time.Duration(n.desiredAt.Load()) }

// NewNode returns a node that is not running.
func NewNode(cfg hgconfig.Entry, log *slog.Logger) (n *Node, err error) {
	n = &Node{cfg: cfg, log: log, timer: hgtimer.NewService()}
	if cfg.Keys.Certificate != "" {
		if n.secure, err = hgpeer.Secure(cfg.Keys.Certificate, cfg.Keys.Key, cfg.Keys.Authority); err != nil {
			return nil, err
		}
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	boot := cfg.VM.Name + "/" + uuid.NewString()
	n.health.timer = n.timer
	n.store = hgplatform.NewStore(cfg.Store.Address, storeTimeout, n.health.called)
	n.figures = hgfigure.NewFigures(log)
	n.members = hgpeer.NewMembers(n.timer, hgpeer.Info{
		Name: cfg.VM.Name, Boot: boot, Peer: cfg.Listen.Peer, Public: cfg.Listen.Public, Domain: cfg.VM.Domain,
		Power: cfg.VM.CPUShare * cfg.VM.Cores, Started: time.Now().UnixMilli(),
	}, cfg.VM.Domains...)
	n.client = hgpeer.NewClient(n.secure)
	n.ledger = hgledger.NewLedger(boot, hghedge.NewTable(n.store), n.timer, log,
		hgledger.WithBackup(hgpeer.NewBackup(n.members, n.client)), hgledger.WithComplete(cfg.VM.FirstStart), hgledger.WithMarkers())
	n.set = hgreplica.NewSet(n.timer, cfg.VM.Domain, newReplicaClient)
	n.suspects = &suspects{List: hgsuspect.NewList(n.timer, log), node: n}
	n.set.OnEnd(n.suspects.replicaEnded)
	programs := hgpeer.NewPrograms(n.ledger, n.members, n.client, log)
	n.places = hgpeer.NewPlaces(hgplacer.NewPlacer(n.set, n.timer), n.set, n.members, n.client, log)
	n.entry = hgentry.NewEntry(hgplatform.Dialect{}, programs, n.places, n.set, n.timer, log, n.figures, n.suspects,
		hgmemory.NewPool(int64(cfg.VM.MemoryMB*(1<<20)*answerShare)))
	wait := hgfeed.WithWait(n.feedWait)
	n.watches = map[string]*hgfeed.Watch{
		hgplatform.DesiredTable: hgfeed.NewWatch(n.store, hgplatform.DesiredTable, n.timer, log, n.applyDesired, wait),
		hgplatform.ReplicaTable: hgfeed.NewWatch(n.store, hgplatform.ReplicaTable, n.timer, log, n.applyReplicas, wait),
		nodeTable:               hgfeed.NewWatch(n.store, nodeTable, n.timer, log, n.applyNodes, wait),
	}
	return n, nil
}

// Start listens and begins to follow the store and the peers.
func (n *Node) Start() (err error) {
	defer func() { err = trace.Wrap(err, "start") }()
	if err := n.listen(n.cfg.Listen.Peer, n.servePeers); err != nil {
		return err
	}
	n.public = &http.Server{
		Handler: n.entry, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	if err := n.listen(n.cfg.Listen.Public, n.public.Serve); err != nil {
		return err
	}
	for address, handler := range map[string]http.Handler{
		n.cfg.Listen.Ready: n.readyHandler(), n.cfg.Listen.Directory: n.directoryHandler(), n.cfg.Listen.Metrics: n.metricsHandler(),
	} {
		srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		if err := n.listen(address, srv.Serve); err != nil {
			return err
		}
	}
	for _, w := range n.watches {
		n.wg.Go(func() { w.Run(n.ctx) })
	}
	n.wg.Go(n.register)
	n.wg.Go(n.beats)
	n.timer.Every(forgetAfter/4, n.forget)
	n.timer.Every(savePeriod, n.save)
	n.timer.Every(suspectPeriod, n.suspects.save)
	n.timer.After(forgetAfter, func(time.Duration) { n.ledger.Learn(nil, true) })
	n.log.Info("started", "vm", n.cfg.VM.Name, "domain", n.cfg.VM.Domain, "public", n.cfg.Listen.Public, "ledger", n.ledger.String())
	return nil
}

// servePeers answers peers, over secured connections if there are settings for that.
func (n *Node) servePeers(l net.Listener) error {
	if n.secure != nil {
		l = tls.NewListener(l, n.secure)
	}
	return hgpeer.Serve(l, (*peerHandler)(n))
}

func (n *Node) listen(address string, serve func(l net.Listener) error) (err error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.listeners = append(n.listeners, l)
	n.wg.Go(func() {
		if err := serve(l); err != nil && n.ctx.Err() == nil && !n.stopping.Load() {
			n.log.Error("listener ended", "address", address, "error", err)
		}
	})
	return nil
}

const (
	// leaveTime is how long a stopping node still takes requests of callers that have not heard of it.
	leaveTime = 2500 * time.Millisecond
	// spareTime is the rest of the grace time after the last answer must be out.
	spareTime = 700 * time.Millisecond
)

// Stop ends the node gracefully: peers and callers hear of it first, then connections end after their answers.
func (n *Node) Stop() {
	began := n.timer.Now()
	grace := hgconfig.Seconds(n.cfg.Bounds.GraceSeconds) - spareTime
	n.log.Info("stopping", "running", n.entry.Running(), "grace", grace)
	n.stopping.Store(true)
	n.entry.Stop()
	n.members.SetSelf(func(i hgpeer.Info) hgpeer.Info {
		i.Stopping, i.Ready = true, false
		return i
	})
	n.beatAll()
	leave := min(leaveTime, grace/2)
	n.returnBudgets(leave)
	time.Sleep(leave - (n.timer.Now() - began))
	ctx, cancel := context.WithTimeout(context.Background(), grace-(n.timer.Now()-began))
	defer cancel()
	if err := n.public.Shutdown(ctx); err != nil {
		n.log.Warn("requests are cut", "running", n.entry.Running(), "error", err)
	}
	n.log.Info("stopped", "after", n.timer.Now()-began)
	n.Close()
}

// returnBudgets gives back what the node holds of budgets, so that its successors have them whole.
func (n *Node) returnBudgets(limit time.Duration) {
	ctx, cancel := context.WithTimeout(n.ctx, limit)
	defer cancel()
	returned, failed := n.ledger.Return(ctx)
	n.log.Info("budgets returned", "programs", returned, "failed", failed)
}

// forget drops silent programs and requests that count no longer, and removes their rows.
func (n *Node) forget(time.Duration) {
	n.forgetSuspects()
	ctx, cancel := context.WithTimeout(n.ctx, forgetAfter/4)
	defer cancel()
	silent := forgetAfter
	if d := n.entry.Desired(); d != nil {
		for _, r := range d.Routes {
			silent = max(silent, forgetFactor*r.RetainFor)
		}
	}
	if dropped, failed := n.ledger.Forget(ctx, silent); dropped+failed > 0 {
		n.log.Info("programs forgotten", "programs", dropped, "failed", failed)
	}
}

// Close ends the node at once.
func (n *Node) Close() {
	n.cancel()
	n.stopping.Store(true)
	for _, l := range n.listeners {
		if err := l.Close(); err != nil {
			n.log.Debug("listener was closed before", "error", err)
		}
	}
	if err := n.public.Close(); err != nil {
		n.log.Debug("public server was closed before", "error", err)
	}
	if err := n.figures.Close(); err != nil {
		n.log.Debug("figures not closed", "error", err)
	}
	n.timer.Close()
}

// Ready says whether the node serves callers, reaches the store and hears at least a number of peers.
func (n *Node) Ready(peers int) bool {
	self := n.members.Self()
	return self.Ready && self.StoreOK && len(n.members.Live()) >= peers
}
