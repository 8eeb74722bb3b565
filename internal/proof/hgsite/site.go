package hgsite

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/operate/hgentryvm"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/proof/hgloopback"
	"hyssopgrade/internal/serve/hgdesired"
	"hyssopgrade/internal/serve/hgreplica"
	hgplatform "hyssopgrade/platform"
)

// The host, services, path prefixes and stream sizes of a site.
const (
	Host       = "site.example"
	Engines    = "engines"
	Tools      = "tools"
	ChatPath   = "/chat/"
	ThreadPath = "/thread/"
	CheckPath  = "/check/"
	ChargePath = "/charge/"
	// firstStart is the number of a replica's first start.
	firstStart = 1
	// TokensPerEvent is the number of tokens that each event of a stream counts for.
	TokensPerEvent = 10
	// Events is the number of events of a stream.
	Events = 4
	// Pause is the time before each event of a stream, and before the answer of a tool.
	Pause = 2 * time.Millisecond
)

// Domains are the failure domains of a site; VMs and replicas are spread over them in turn.
var Domains = []string{"north", "south", "west"}

// Site is a store, replicas and entry VMs that run on loopback in this process.
type Site struct {
	Store    *hgstore.Memory
	Replicas map[string]*Replica
	Nodes    []*hgentryvm.Node
	Configs  []hgconfig.EntryConfig
	// Options configure the entry VMs that are started from now on.
	Options      []hgentryvm.Option
	storeAddress string
	store        *http.Server
	// slow is the table for which the store delays its answers; nil if there is none.
	slow atomic.Pointer[slowTable]
	log  *slog.Logger
}

// Desired returns a desired state with four routes: a chat route whose turns are not retained, a thread route whose turns are,
// an idempotent check route and a charge route that runs each request at most once.
func Desired(version uint64) *hgdesired.State {
	route := func(name, path, service string, kind hgdesired.Kind) hgdesired.Route {
		return hgdesired.Route{
			Name: name, Host: Host, PathPrefix: path, Kind: kind, Timeout: 4 * time.Second, TargetLatency: 200 * time.Millisecond,
			MaxAttempts: 2, Shares: []hgdesired.Share{{Service: service, Weight: 1000}},
		}
	}
	chat := route("chat", ChatPath, Engines, hgdesired.Stream)
	chat.Resumable, chat.RetainFor = true, time.Minute
	thread := route("thread", ThreadPath, Engines, hgdesired.Stream)
	thread.Retain, thread.RetainFor = true, time.Minute
	return &hgdesired.State{
		Version: version,
		Routes: []hgdesired.Route{
			chat, thread, route("check", CheckPath, Tools, hgdesired.Idempotent), route("charge", ChargePath, Tools, hgdesired.AtMostOnce),
		},
		Services: map[string]hgdesired.Service{
			Engines: {Name: Engines, MaxConns: 100, Engine: &hgdesired.Engine{Slots: 8, CacheTokens: 100_000, TokensPerEvent: TokensPerEvent, FetchPerToken: time.Microsecond / 2}},
			Tools:   {Name: Tools, MaxConns: 100},
		},
		Limits: hgdesired.Limits{MaxBodyBytes: 1 << 20, IdleTimeout: 15 * time.Second},
	}
}

// NewSite starts a site with the given number of entry VMs, two engines and two tools. A nil log discards all messages.
func NewSite(nodes int, log *slog.Logger) (s *Site, err error) {
	if log == nil {
		log = hglog.Discard()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	site := &Site{Store: hgstore.NewMemory(), Replicas: map[string]*Replica{}, storeAddress: l.Addr().String(), log: log}
	defer func() {
		if err != nil {
			site.Close()
		}
	}()
	handler := hgplatform.NewStoreHandler(site.Store)
	site.store = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if slow := site.slow.Load(); slow != nil && r.URL.Query().Get("table") == slow.name {
			time.Sleep(slow.by)
		}
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = site.store.Serve(l) }()
	for i, e := range []hgreplica.Registration{
		{ID: "engine-0", Service: Engines}, {ID: "engine-1", Service: Engines}, {ID: "tool-0", Service: Tools}, {ID: "tool-1", Service: Tools},
	} {
		e.Domain = Domains[i%len(Domains)]
		if err := site.addReplica(e); err != nil {
			return nil, err
		}
	}
	if err := site.SetDesired(Desired(1)); err != nil {
		return nil, err
	}
	for range nodes {
		if err := site.addNode(true); err != nil {
			return nil, err
		}
	}
	return site, nil
}

// AddTool starts and registers one more tool.
func (s *Site) AddTool(id string) (err error) {
	return s.addReplica(hgreplica.Registration{ID: id, Service: Tools, Domain: Domains[len(s.Replicas)%len(Domains)]})
}

func (s *Site) addReplica(e hgreplica.Registration) (err error) {
	e.Slots, e.Born = 8, strconv.Itoa(firstStart)
	r, err := newReplica(e, e.Service == Engines, Events, Pause)
	if err != nil {
		return err
	}
	s.Replicas[e.ID] = r
	return s.Register(r.Entry)
}

// AddNode starts one more entry VM, one that has to load the state of the site before it serves.
func (s *Site) AddNode() (err error) { return s.addNode(false) }

func (s *Site) addNode(first bool) (err error) {
	cfg, err := s.AddConfig(s.storeAddress)
	if err != nil {
		return err
	}
	i := len(s.Configs) - 1
	cfg.VM.FirstStart = first
	s.Configs[i] = cfg
	s.Nodes = append(s.Nodes, nil)
	return s.StartNode(i)
}

// RegisterRestart registers a new incarnation of a replica under the same identifier and address.
func (s *Site) RegisterRestart(id string) (err error) {
	r := s.Replicas[id]
	r.mu.Lock()
	r.starts++
	r.Entry.Born = strconv.Itoa(r.starts)
	e := r.Entry
	r.mu.Unlock()
	return s.Register(e)
}

// slowTable is a table of the store and the delay of its answers.
type slowTable struct {
	name string
	by   time.Duration
}

// SetSlow makes the store delay its answers about a table.
func (s *Site) SetSlow(table string, by time.Duration) { s.slow.Store(&slowTable{table, by}) }

// StoreAddress returns the host and port of the store, for proxies in front of it.
func (s *Site) StoreAddress() string { return s.storeAddress }

// AddConfig adds and returns the settings of one more entry VM that uses the given store address. The caller starts the VM.
func (s *Site) AddConfig(store string) (cfg hgconfig.EntryConfig, err error) {
	if cfg, err = entryConfig(len(s.Configs), store); err == nil {
		s.Configs = append(s.Configs, cfg)
	}
	return cfg, err
}

func entryConfig(i int, store string) (cfg hgconfig.EntryConfig, err error) {
	addresses, err := hgloopback.FreeAddresses(5)
	if err != nil {
		return cfg, err
	}
	cfg = hgconfig.DefaultEntryConfig()
	cfg.VM = hgconfig.EntryVM{Name: fmt.Sprintf("vm-%d", i), Domain: Domains[i%len(Domains)], MemoryMB: 256, CPUShare: 1, Cores: 1, FirstStart: true}
	cfg.Listen = hgconfig.EntryListen{
		Public: addresses[0], Ready: addresses[1], Directory: addresses[2], Peer: addresses[3], Metrics: addresses[4],
	}
	cfg.Store.Address = store
	return cfg, nil
}

// StartNode starts an entry VM that is not running, with its current settings.
func (s *Site) StartNode(i int) (err error) {
	n, err := hgentryvm.NewNode(s.Configs[i], s.log.With("vm", s.Configs[i].VM.Name), s.Options...)
	if err != nil {
		return err
	}
	s.Nodes[i] = n
	return n.Start()
}

// RestartNode starts an entry VM that was killed. The VM has lost its memory and has to load the state of the site.
func (s *Site) RestartNode(i int) (err error) {
	s.Configs[i].VM.FirstStart = false
	return s.StartNode(i)
}

// Kill closes an entry VM immediately, without draining its requests.
func (s *Site) Kill(i int) { s.Nodes[i].Close() }

// Register writes a replica's registration to the store.
func (s *Site) Register(e hgreplica.Registration) (err error) {
	value, err := hgplatform.EncodeReplica(e)
	if err != nil {
		return err
	}
	return s.put(hgplatform.ReplicaTable+"//"+e.ID, value)
}

// SetRegisteredLeaving sets whether a replica's registration marks it as leaving.
func (s *Site) SetRegisteredLeaving(id string, leaving bool) (err error) {
	r := s.Replicas[id]
	r.mu.Lock()
	e := r.Entry
	r.mu.Unlock()
	e.Leaving = leaving
	return s.Register(e)
}

// Unregister removes a replica's registration from the store.
func (s *Site) Unregister(id string) (err error) {
	return s.commit(hgstore.Txn{Deletes: []string{hgplatform.ReplicaTable + "//" + id}})
}

// SetDesired writes a desired state to the store, from which the entry VMs load it.
func (s *Site) SetDesired(d *hgdesired.State) (err error) { return s.SetDesiredKeys(d, nil) }

// SetDesiredKeys is SetDesired with keys of the teams in plaintext, by name.
func (s *Site) SetDesiredKeys(d *hgdesired.State, keys map[string][]string) (err error) {
	value, err := hgplatform.EncodeDesiredKeys(d, keys)
	if err != nil {
		return err
	}
	return s.put(hgplatform.DesiredKey, value)
}

func (s *Site) put(key string, value []byte) error {
	return s.commit(hgstore.Txn{Puts: []hgstore.Put{{Key: key, Value: value}}})
}

// commitTimeout bounds the stand-ins' own writes to the store, which may hang.
const commitTimeout = time.Second

func (s *Site) commit(t hgstore.Txn) error {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	_, err := s.Store.Commit(ctx, t)
	return err
}

// WaitReady waits until all entry VMs are ready and connected to each other, or returns an error after the limit.
func (s *Site) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if lo.EveryBy(s.Nodes, func(n *hgentryvm.Node) bool { return n.Ready(len(s.Nodes) - 1) }) {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("entry VMs are not ready after %v", limit)
}

// Runs returns the requests that the replicas of a service have executed. The order of the replicas is random.
func (s *Site) Runs(service string) (runs []Run) {
	for _, r := range s.Replicas {
		if r.Entry.Service == service {
			runs = append(runs, r.Runs()...)
		}
	}
	return runs
}

// Close stops the entry VMs, the replicas and the store.
func (s *Site) Close() {
	for _, n := range s.Nodes {
		if n != nil {
			n.Close()
		}
	}
	for _, r := range s.Replicas {
		_ = r.srv.Close()
	}
	_ = s.store.Close()
}
