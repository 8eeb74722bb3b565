package hgnode

import (
	"log/slog"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"hyssopgrade/hgpreset"
	"hyssopgrade/hgroute"
	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/operate/hgmetric"
	"hyssopgrade/internal/peer/hgnoderpc"
	"hyssopgrade/internal/serve/hgendpoint"
	"hyssopgrade/internal/serve/hgsched"
	hgplatform "hyssopgrade/platform"
)

// Keys are the key that the nodes of a cell share, and the key of its operators; without the latter the operators' routes
// are open to all callers.
type Keys struct {
	Cell     string
	Operator string
}

// ReadKeys reads the keys from the files or environment variables that the settings name.
func ReadKeys(cfg hgconfig.Config) (k Keys, err error) {
	if k.Cell, err = cfg.Key(); err != nil {
		return k, err
	}
	k.Operator, err = cfg.OperatorKey()
	return k, err
}

// BuildInfo identifies the build that runs, for the OpenAPI page.
type BuildInfo struct{ Version string }

// NewInjector returns an injector with the services of a node. Before the node is made, tests may override services, or provide a
// hgnoderpc.Dial by which the node then connects to its peers.
func NewInjector(cfg hgconfig.Config, keys Keys, log *slog.Logger, rel BuildInfo) *do.RootScope {
	i := do.New()
	do.ProvideValue(i, cfg)
	do.ProvideValue(i, keys)
	do.ProvideValue(i, log)
	do.ProvideValue(i, rel)
	do.ProvideValue(i, hgpreset.Version{Preset: hgpreset.Shipped()[cfg.Node.Preset], By: "settings"})
	do.ProvideValue(i, hgtimer.NewService())
	do.Provide(i, newStore)
	do.Provide(i, newEndpoints)
	do.Provide(i, newScheduler)
	do.Provide(i, newClient)
	do.Provide(i, func(do.Injector) (*hgmetric.Metrics, error) { return hgmetric.New(cfg.Node.ID) })
	do.Provide(i, NewNode)
	return i
}

// storePrefix names the table and the partition of it in the platform's store that hold all rows of the nodes of a cell.
// They are in one partition because the nodes' transactions join rows of several shards.
const storePrefix = "hgown//"

func newStore(i do.Injector) (hgstore.Store, error) {
	cfg := do.MustInvoke[hgconfig.Config](i)
	store := hgplatform.NewStore(cfg.Platform.Address, hgconfig.Milliseconds(cfg.Platform.TimeoutMs), nil)
	return hgstore.WithPrefix(store, storePrefix), nil
}

// answerShare is the part of the node's memory, one in so many, for answers of endpoints that are being read. Growing buffers take up to
// three times as much.
const answerShare = 16

func newEndpoints(i do.Injector) (map[string]hgendpoint.Endpoint, error) {
	cfg := do.MustInvoke[hgconfig.Config](i)
	memory := hgendpoint.NewMemory(int64(cfg.Limits.MemoryMB * (1 << 20) / answerShare))
	return lo.SliceToMap(cfg.Endpoint, func(e hgconfig.Endpoint) (string, hgendpoint.Endpoint) {
		return e.ID, hgendpoint.NewHTTP(e.ID, e.Address, memory)
	}), nil
}

func newScheduler(i do.Injector) (*hgsched.Scheduler, error) {
	cfg := do.MustInvoke[hgconfig.Config](i)
	eps := lo.Map(cfg.Endpoint, func(e hgconfig.Endpoint, _ int) hgroute.Endpoint {
		return hgroute.Endpoint{ID: e.ID, Domain: e.Domain, Targets: e.Targets, MemoryTokens: e.MemoryTokens}
	})
	timer := do.MustInvoke[*hgtimer.Service](i)
	return hgsched.NewScheduler(cfg.Node.ID, cfg.Node.Domain, eps, do.MustInvoke[hgpreset.Version](i).Preset,
		hgsched.WithLog(do.MustInvoke[*slog.Logger](i)), hgsched.WithNow(timer.Now), hgsched.WithSubset(cfg.Limits.Subset)), nil
}

func newClient(i do.Injector) (*hgnoderpc.Client, error) {
	cfg := do.MustInvoke[hgconfig.Config](i)
	timeout := hgconfig.Milliseconds(cfg.Limits.SilentMs) / 2
	dial, _ := do.Invoke[hgnoderpc.Dial](i)
	return hgnoderpc.NewClient(do.MustInvoke[Keys](i).Cell, do.MustInvoke[*hgtimer.Service](i), timeout, dial), nil
}
