package hgcell

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/peer/hgnode"
	"hyssopgrade/internal/peer/hgnoderpc"
	"hyssopgrade/internal/proof/hgloopback"
	"hyssopgrade/internal/proof/hgreplay"
	"hyssopgrade/internal/proof/hgstandin"
	"hyssopgrade/internal/serve/hgcaller"
)

// Domains are the failure domains over which a cell's nodes and endpoints are spread in turn.
var Domains = []string{"hobart", "launceston", "burnie"}

// Options configures a Cell.
type Options struct {
	// Nodes, Engines and Tools are the numbers of nodes, model engines and tool services.
	Nodes   int
	Engines int
	Tools   int
	// Models and Services are the targets that every engine and every tool serves.
	Models   []string
	Services []string
	// Engine configures all endpoints, engines and tools alike.
	Engine hgstandin.Options
	Log    *slog.Logger
	// EditConfig changes a node's settings before the node starts. It may be nil.
	EditConfig func(cfg *hgconfig.Config)
	// Dial returns the function that a node uses to connect to its peers. If nil, nodes connect over TCP as in production.
	Dial func(node string) hgnoderpc.Dial
}

// Cell is a running cell in this process.
type Cell struct {
	Platform *hgstandin.Platform
	// Endpoints holds the engines and tools by identifier, such as engine-0 and tool-2.
	Endpoints map[string]*hgstandin.Endpoint
	Nodes     []*hgnode.Node
	// Configs holds the settings of Nodes, in the same order.
	Configs []hgconfig.Config
	opts    Options
}

// key is the key with which the nodes authenticate to each other.
const key = "key-of-a-cell-in-one-process"

// NewCell starts the platform, the endpoints and the nodes of a cell on loopback addresses. Call WaitReady before sending calls.
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

// startEndpoints starts the engines and tools and returns their settings for the nodes.
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
	if c.opts.EditConfig != nil {
		c.opts.EditConfig(&cfg)
	}
	return cfg, nil
}

// FreeAddress returns an address that nothing listens at, each call one of another host.
func FreeAddress() (address string, err error) {
	addresses, err := hgloopback.FreeAddresses(1)
	if err != nil {
		return "", err
	}
	return addresses[0], nil
}

// StartNode starts a node with the given settings: an additional one, or one that was stopped. It isn't added to Nodes or Configs.
func (c *Cell) StartNode(cfg hgconfig.Config) (n *hgnode.Node, err error) {
	operator, err := cfg.OperatorKey()
	if err != nil {
		return nil, err
	}
	i := hgnode.NewInjector(cfg, hgnode.Keys{Cell: key, Operator: operator}, c.opts.Log, hgnode.BuildInfo{Version: "cell"})
	if c.opts.Dial != nil {
		do.ProvideValue(i, c.opts.Dial(cfg.Node.ID))
	}
	if n, err = do.Invoke[*hgnode.Node](i); err != nil {
		return nil, err
	}
	return n, n.Start()
}

// Addresses returns the public addresses of all nodes in Configs, running or not.
func (c *Cell) Addresses() []string {
	return lo.Map(c.Configs, func(cfg hgconfig.Config, _ int) string { return cfg.Node.Public })
}

// readyTimeout bounds WaitReady.
const readyTimeout = 20 * time.Second

// WaitReady waits until each shard has an owner and each node accepts work. It fails after 20 s.
func (c *Cell) WaitReady() (err error) {
	end := time.Now().Add(readyTimeout)
	for time.Now().Before(end) {
		owned := lo.SumBy(c.Nodes, func(n *hgnode.Node) int { return n.OwnedShards() })
		ready := lo.EveryBy(c.Nodes, func(n *hgnode.Node) bool { return n.Ready() == nil })
		if ready && owned == c.Configs[0].Node.Shards {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return trace.LimitExceeded("cell not ready after %s: a shard has no owner or a node accepts no work", readyTimeout)
}

// Executions returns the records of all requests that the endpoints accepted, in no particular order of endpoints.
func (c *Cell) Executions() []hgstandin.Execution {
	return lo.FlatMap(lo.Values(c.Endpoints), func(e *hgstandin.Endpoint, _ int) []hgstandin.Execution { return e.Executions() })
}

// Replay replays a trace against the cell and checks the callers' outcomes against the endpoints' records.
func (c *Cell) Replay(ctx context.Context, programs []hgreplay.Program, opts hgreplay.Options) *hgreplay.Report {
	client := hgcaller.NewClient(c.Addresses()...)
	defer client.Close()
	r := hgreplay.NewReplay(client, opts).Run(ctx, programs)
	r.CheckRecords(c.Executions())
	for _, e := range c.Endpoints {
		r.AddWaste(e.Waste())
	}
	return r
}

// Close stops the nodes without draining them, then the endpoints and the platform.
func (c *Cell) Close() {
	for _, n := range c.Nodes {
		n.Close()
	}
	for _, e := range c.Endpoints {
		e.Close()
	}
	c.Platform.Close()
}

// DemoOptions returns the options of a small cell that serves all models and services of the shipped traces.
func DemoOptions(log *slog.Logger) Options {
	return Options{
		Nodes: 3, Engines: 3, Tools: 3, Models: []string{"clerk-7b", "dispute-13b"}, Services: []string{"register", "gate", "payment"},
		Engine: hgstandin.Options{TokenTime: time.Millisecond, PrefillTime: 20 * time.Microsecond, CacheTokens: 200_000},
		Log:    log,
	}
}
