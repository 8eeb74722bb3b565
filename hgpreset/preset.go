package hgpreset

import (
	"embed"
	"fmt"
	"sort"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"hyssopgrade/hgbound"
)

//go:embed presets/*.toml
var shipped embed.FS

// Preset is a named set of weights and limits for routing, queueing, retention and retries.
type Preset struct {
	// Name identifies the preset; it is a word without '/'.
	Name string `toml:"name" json:"name"`
	// RoutePolicy names how an endpoint is chosen: score, roundRobin, leastInFlight or hashAffinity.
	RoutePolicy string `toml:"routePolicy" json:"routePolicy"`
	// QueuePolicy names the order of waiting calls: leastService or arrival.
	QueuePolicy string `toml:"queuePolicy" json:"queuePolicy"`
	// Window is the initial limit on the calls in flight to an endpoint over all nodes.
	Window int `toml:"window" json:"window"`
	// MinWindow and MaxWindow are the least and greatest window to which the limit adapts, in calls.
	MinWindow int `toml:"minWindow" json:"minWindow"`
	MaxWindow int `toml:"maxWindow" json:"maxWindow"`
	// TokenTargetMs is the time between the tokens of an answer above which the window shrinks, in milliseconds.
	TokenTargetMs int `toml:"tokenTargetMs" json:"tokenTargetMs"`
	// AgeingTokensPerSecond is the number of tokens of service that a second of waiting makes up for in the queue policy leastService.
	AgeingTokensPerSecond int `toml:"ageingTokensPerSecond" json:"ageingTokensPerSecond"`
	// MaxQueue is the maximum number of calls that wait in one node.
	MaxQueue int `toml:"maxQueue" json:"maxQueue"`
	// MaxNewWaitMs is the maximum expected wait for which a program's first call is accepted, in milliseconds.
	MaxNewWaitMs int `toml:"maxNewWaitMs" json:"maxNewWaitMs"`
	// AdmitNew is whether new programs are accepted.
	AdmitNew bool `toml:"admitNew" json:"admitNew"`
	// RemoteDomainMs is the cost that the policy score adds to an endpoint in another failure domain, in milliseconds.
	RemoteDomainMs float64 `toml:"remoteDomainMs" json:"remoteDomainMs"`
	// RecomputeWeight multiplies the time to compute a prefix anew on another endpoint; greater weights keep programs on their
	// endpoints longer.
	RecomputeWeight float64 `toml:"recomputeWeight" json:"recomputeWeight"`
	// MemoryFillPercent is the share of an engine's memory that live programs may hold before new programs wait; 0 means no limit.
	MemoryFillPercent int `toml:"memoryFillPercent" json:"memoryFillPercent"`
	// HoldMs is the longest expected pause for which a prefix is held under memory pressure, in milliseconds.
	HoldMs int `toml:"holdMs" json:"holdMs"`
	// SilenceMs is the time without a call after which a program's engine memory is released, in milliseconds.
	SilenceMs int `toml:"silenceMs" json:"silenceMs"`
	// RetryPercent is the maximum number of retries per hundred recent calls.
	RetryPercent int `toml:"retryPercent" json:"retryPercent"`
	// DefaultBudgetTokens is the budget of a program that sets none.
	DefaultBudgetTokens int `toml:"defaultBudgetTokens" json:"defaultBudgetTokens"`
	// DefaultMaxTokens is the limit on the output of a model call that sets none.
	DefaultMaxTokens int `toml:"defaultMaxTokens" json:"defaultMaxTokens"`
}

// Check returns a BadParameter error that names the first key out of range.
func (p Preset) Check() (err error) {
	if p.Name == "" || strings.ContainsAny(p.Name, "/ \t\n") {
		return trace.BadParameter("name %q: want a word without '/'", p.Name)
	}
	if !lo.Contains(RoutePolicies(), p.RoutePolicy) {
		return trace.BadParameter("routePolicy %q: want one of %s", p.RoutePolicy, strings.Join(RoutePolicies(), ", "))
	}
	if !lo.Contains(QueuePolicies(), p.QueuePolicy) {
		return trace.BadParameter("queuePolicy %q: want one of %s", p.QueuePolicy, strings.Join(QueuePolicies(), ", "))
	}
	if b, ok := hgbound.FirstOutOfRange(p.bounds()); ok {
		return trace.BadParameter("%s %d: want %d to %d", b.Key, b.Value, b.Low, b.High)
	}
	if p.RemoteDomainMs < 0 || p.RecomputeWeight < 0 {
		return trace.BadParameter("remoteDomainMs %v, recomputeWeight %v: want at least 0", p.RemoteDomainMs, p.RecomputeWeight)
	}
	return nil
}

// bounds returns the ranges of the integer keys.
func (p Preset) bounds() []hgbound.Bound {
	bound := hgbound.NewBound
	return []hgbound.Bound{
		bound("minWindow", p.MinWindow, 1, 4096),
		bound("window", p.Window, p.MinWindow, p.MaxWindow),
		bound("maxWindow", p.MaxWindow, p.MinWindow, 4096),
		bound("tokenTargetMs", p.TokenTargetMs, 1, 10_000),
		bound("ageingTokensPerSecond", p.AgeingTokensPerSecond, 0, 1_000_000),
		bound("maxQueue", p.MaxQueue, 1, 1_000_000),
		bound("maxNewWaitMs", p.MaxNewWaitMs, 0, 3_600_000),
		bound("memoryFillPercent", p.MemoryFillPercent, 0, 1000),
		bound("holdMs", p.HoldMs, 0, 3_600_000),
		bound("silenceMs", p.SilenceMs, 1_000, 86_400_000),
		bound("retryPercent", p.RetryPercent, 0, 100),
		bound("defaultBudgetTokens", p.DefaultBudgetTokens, 1, 1<<40),
		bound("defaultMaxTokens", p.DefaultMaxTokens, 1, 1<<20),
	}
}

// RoutePolicies returns the valid values of Preset.RoutePolicy.
func RoutePolicies() []string {
	return []string{"score", "roundRobin", "leastInFlight", "hashAffinity"}
}

// QueuePolicies returns the valid values of Preset.QueuePolicy.
func QueuePolicies() []string { return []string{"leastService", "arrival"} }

// Parse decodes a preset from TOML and checks it; unknown keys and values out of range are BadParameter errors.
func Parse(data string) (p Preset, err error) {
	defer func() { err = trace.Wrap(err, "preset") }()
	meta, err := toml.Decode(data, &p)
	if err != nil {
		return p, trace.BadParameter("%v", err)
	}
	if keys := meta.Undecoded(); len(keys) > 0 {
		return p, trace.BadParameter("unknown key %q", keys[0].String())
	}
	return p, p.Check()
}

// Shipped returns the presets that are compiled into the program, by name.
func Shipped() map[string]Preset {
	files, err := shipped.ReadDir("presets")
	if err != nil {
		panic(err)
	}
	presets := map[string]Preset{}
	for _, f := range files {
		data, err := shipped.ReadFile("presets/" + f.Name())
		if err != nil {
			panic(err)
		}
		p, err := Parse(string(data))
		if err != nil {
			panic(fmt.Sprintf("%s: %v", f.Name(), err))
		}
		presets[p.Name] = p
	}
	return presets
}

// Names returns the names of the presets in alphabetical order.
func Names(presets map[string]Preset) []string {
	names := lo.Keys(presets)
	sort.Strings(names)
	return names
}
