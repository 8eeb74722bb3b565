package hgcell

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/peer/hginner"
	"hyssopgrade/internal/peer/hgnode"
	"hyssopgrade/internal/proof/hgreplay"
	"hyssopgrade/internal/proof/hgstandin"
	"hyssopgrade/internal/serve/hgcaller"
)

// Domains are the failure domains of a cell.
var Domains = []string{"hobart", "launceston", "burnie"}

// Options set up a Cell.
type Options struct {
	Nodes   int
	Engines int
	Tools   int
	// Models and Services are what each engine and each tool serves.
	Models   []string
	Services []string
	Engine   hgstandin.Options
	Log      *slog.Logger
	// Change changes each node's settings, if set.
	Change func(cfg *hgconfig.Config)
	// Dial returns how a node connects to its peers, if set.
	Dial func(node string) hginner.Dial
}

// Cell is a running cell.
type Cell struct {
	Platform  *hgstandin.Platform
	Endpoints map[string]*hgstandin.Endpoint
	Nodes     []*hgnode.Node
	Configs   []hgconfig.Config
	opts      Options
}

// key is the shared key of a cell in one process.
const key = "key-of-a-cell-in-one-process"

// NewCell starts a cell on loopback addresses.
func NewCell(opts Options) (c *Cell, err error) {
	defer func() { err = trace.Wrap(err, "start cell") }()
	c = &Cell{opts: opts, Endpoints: map[string]*hgstandin.Endpoint{}}
	if c.Platform, err = hgstandin.NewPlatform("127.0.0.1:0"); err != nil {
		return nil, err
	}
	eps, err := c.startEndpoints()
	if err != nil {
		return nil, err
	}
	for i := range opts.Nodes {
		cfg, err := c.config(i, eps)
		if err != nil {
			return nil, err
		}
		c.Configs = append(c.Configs, cfg)
		n, err := c.StartNode(cfg)
		if err != nil {
			return nil, err
		}
		c.Nodes = append(c.Nodes, n)
	}
	return c, nil
}

func (c *Cell) startEndpoints() (eps []hgconfig.Endpoint, err error) {
	add := func(id string, i int, kind hgconfig.EndpointKind, targets []string) error {
		e, err := hgstandin.NewEndpoint("127.0.0.1:0", c.opts.Engine)
		if err != nil {
			return err
		}
		c.Endpoints[id] = e
		eps = append(eps, hgconfig.Endpoint{
			ID: id, Kind: kind, Address: e.Address(), Domain: Domains[i%len(Domains)], Targets: targets, ChecksFencing: c.opts.Engine.ChecksFencing,
			MemoryTokens: lo.Ternary(kind == hgconfig.Engine, c.opts.Engine.CacheTokens, 0),
		})
		return nil
	}
	for i := range c.opts.Engines {
		if err := add(fmt.Sprintf("engine-%d", i), i, hgconfig.Engine, c.opts.Models); err != nil {
			return nil, err
		}
	}
	for i := range c.opts.Tools {
		if err := add(fmt.Sprintf("tool-%d", i), i, hgconfig.Tool, c.opts.Services); err != nil {
			return nil, err
		}
	}
	return eps, nil
}

// config returns the settings of node i.
func (c *Cell) config(i int, eps []hgconfig.Endpoint) (cfg hgconfig.Config, err error) {
	cfg = hgconfig.Default()
	cfg.Node.ID = fmt.Sprintf("node-%d", i)
	cfg.Node.Domain = Domains[i%len(Domains)]
	cfg.Node.KeyEnv = "HYSSOPGRADE_KEY"
	cfg.Platform.Address = c.Platform.Address()
	cfg.Endpoint = eps
	if cfg.Node.Public, err = FreeAddress(); err != nil {
		return cfg, err
	}
	if cfg.Node.Inner, err = FreeAddress(); err != nil {
		return cfg, err
	}
	if c.opts.Change != nil {
		c.opts.Change(&cfg)
	}
	return cfg, nil
}

// hosts counts the loopback hosts that this process has used.
var hosts atomic.Uint32

// FreeAddress returns an address that nothing listens at. Its host is a loopback address of its own where the system has
// one, as the kernel may give a port of 127.0.0.1 to any outgoing connection before the port is used.
func FreeAddress() (address string, err error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%254, pid&0xff, 1+hosts.Add(1)%254)
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		l, err = net.Listen("tcp", "127.0.0.1:0")
	}
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// StartNode starts one more node, or one again.
func (c *Cell) StartNode(cfg hgconfig.Config) (n *hgnode.Node, err error) {
	operator, err := cfg.OperatorKey()
	if err != nil {
		return nil, err
	}
	i := hgnode.Wire(cfg, hgnode.Keys{Cell: key, Operator: operator}, c.opts.Log, hgnode.Release{Version: "cell"})
	if c.opts.Dial != nil {
		do.ProvideValue(i, c.opts.Dial(cfg.Node.ID))
	}
	if n, err = do.Invoke[*hgnode.Node](i); err != nil {
		return nil, err
	}
	return n, n.Start()
}

// Addresses returns the nodes' public addresses.
func (c *Cell) Addresses() []string {
	return lo.Map(c.Configs, func(cfg hgconfig.Config, _ int) string { return cfg.Node.Public })
}

// readyTimeout bounds the wait for a cell.
const readyTimeout = 20 * time.Second

// WaitReady waits until each shard has an owner and each node takes work.
func (c *Cell) WaitReady() (err error) {
	end := time.Now().Add(readyTimeout)
	for time.Now().Before(end) {
		owned := lo.SumBy(c.Nodes, func(n *hgnode.Node) int { return n.Owned() })
		ready := lo.EveryBy(c.Nodes, func(n *hgnode.Node) bool { return n.Ready() == nil })
		if ready && owned == c.Configs[0].Node.Shards {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return trace.LimitExceeded("the cell is not ready after %s", readyTimeout)
}

// Record returns the executions of all endpoints.
func (c *Cell) Record() []hgstandin.Execution {
	return lo.FlatMap(lo.Values(c.Endpoints), func(e *hgstandin.Endpoint, _ int) []hgstandin.Execution { return e.Record() })
}

// Replay replays a trace against the cell and checks it against the endpoints' records.
func (c *Cell) Replay(ctx context.Context, programs []hgreplay.Program, opts hgreplay.Options) *hgreplay.Report {
	client := hgcaller.NewClient(c.Addresses()...)
	defer client.Close()
	r := hgreplay.NewReplay(client, opts).Run(ctx, programs)
	r.CheckRecords(c.Record())
	for _, e := range c.Endpoints {
		r.AddWaste(e.Waste())
	}
	return r
}

// Close stops everything at once.
func (c *Cell) Close() {
	for _, n := range c.Nodes {
		n.Close()
	}
	for _, e := range c.Endpoints {
		e.Close()
	}
	c.Platform.Close()
}

// Demo returns the options of a small cell that serves the shipped traces.
func Demo(log *slog.Logger) Options {
	return Options{
		Nodes: 3, Engines: 3, Tools: 3, Models: []string{"clerk-7b", "dispute-13b"}, Services: []string{"register", "gate", "payment"},
		Engine: hgstandin.Options{TokenTime: time.Millisecond, PrefillTime: 20 * time.Microsecond, CacheTokens: 200_000},
		Log:    log,
	}
}
