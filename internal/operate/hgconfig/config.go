package hgconfig

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"hyssopgrade/hgbound"
	"hyssopgrade/hgpreset"
)

// EndpointKind is what an endpoint is.
type EndpointKind string

// The kinds of endpoints.
const (
	Engine EndpointKind = "engine"
	Tool   EndpointKind = "tool"
)

// Config is the settings of one node.
type Config struct {
	Node     Node       `toml:"node"`
	Platform Platform   `toml:"platform"`
	Log      Log        `toml:"log"`
	Limits   Limits     `toml:"limits"`
	Endpoint []Endpoint `toml:"endpoint"`
}

// Node names the node and its addresses.
type Node struct {
	// ID names the node among all nodes of its cell.
	ID string `toml:"id"`
	// Domain is the failure domain.
	Domain string `toml:"domain"`
	// Public is the IP address and port for callers and operators.
	Public string `toml:"public"`
	// Inner is the IP address and port for other nodes.
	Inner string `toml:"inner"`
	// KeyFile names the file with the cell's key; KeyEnv names the environment variable with it.
	KeyFile string `toml:"keyFile"`
	KeyEnv  string `toml:"keyEnv"`
	// OperatorKeyFile and OperatorKeyEnv name the operators' key in the same way; without one, operators' routes are open.
	OperatorKeyFile string `toml:"operatorKeyFile"`
	OperatorKeyEnv  string `toml:"operatorKeyEnv"`
	// Shards is the number of shards of the cell; all its nodes must agree.
	Shards int `toml:"shards"`
	// Preset names the preset in force until operators choose one.
	Preset string `toml:"preset"`
}

// Platform says where the platform's service is.
type Platform struct {
	// Address is the IP address and port.
	Address string `toml:"address"`
	// TimeoutMs bounds one operation, in milliseconds.
	TimeoutMs int `toml:"timeoutMs"`
	// CommitsPerSecond is the most commits of all nodes of the cell together, shared out among the live ones.
	CommitsPerSecond int `toml:"commitsPerSecond"`
}

// Log says how to log.
type Log struct {
	// Format is text or json.
	Format string `toml:"format"`
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
}

// Limits are times in milliseconds and counts.
type Limits struct {
	HeartbeatMs      int `toml:"heartbeatMs"`
	SilentMs         int `toml:"silentMs"`
	StaleMs          int `toml:"staleMs"`
	PollMs           int `toml:"pollMs"`
	PresetBoundMs    int `toml:"presetBoundMs"`
	DispatchWindowMs int `toml:"dispatchWindowMs"`
	HoldMs           int `toml:"holdMs"`
	CommitWaitMs     int `toml:"commitWaitMs"`
	RetainMs         int `toml:"retainMs"`
	SweepMs          int `toml:"sweepMs"`
	LocateTTLMs      int `toml:"locateTtlMs"`
	DrainMs          int `toml:"drainMs"`
	MaxBodyBytes     int `toml:"maxBodyBytes"`
	CompactRecords   int `toml:"compactRecords"`
	Subset           int `toml:"subset"`
}

// Endpoint names an endpoint.
type Endpoint struct {
	ID      string       `toml:"id"`
	Kind    EndpointKind `toml:"kind"`
	Address string       `toml:"address"`
	Domain  string       `toml:"domain"`
	// Targets are the models, or the tool services, that it serves.
	Targets []string `toml:"targets"`
	// ChecksFencing says that it refuses orders with an old fencing number.
	ChecksFencing bool `toml:"checksFencing"`
	// MemoryTokens is an engine's memory for prefixes, in tokens; 0 means not known.
	MemoryTokens int `toml:"memoryTokens"`
}

// Default returns the settings before a file is read.
func Default() Config {
	return Config{
		Node:     Node{Shards: 64, Preset: "ordinary"},
		Platform: Platform{TimeoutMs: 2000, CommitsPerSecond: 300},
		Log:      Log{Format: "text", Level: "info"},
		Limits: Limits{
			HeartbeatMs: 500, SilentMs: 2000, StaleMs: 15000, PollMs: 2000, PresetBoundMs: 8000, DispatchWindowMs: 3000,
			HoldMs: 2000, CommitWaitMs: 2500, RetainMs: 3_600_000, SweepMs: 5000, LocateTTLMs: 5000, DrainMs: 60_000,
			MaxBodyBytes: 4 << 20, CompactRecords: 2000, Subset: 50,
		},
	}
}

func (c Config) bounds() []hgbound.Bound {
	l := c.Limits
	bound := hgbound.NewBound
	return []hgbound.Bound{
		bound("node.shards", c.Node.Shards, 1, 4096),
		bound("platform.timeoutMs", c.Platform.TimeoutMs, 10, 60_000),
		bound("platform.commitsPerSecond", c.Platform.CommitsPerSecond, 1, 100_000),
		bound("limits.heartbeatMs", l.HeartbeatMs, 50, 10_000),
		bound("limits.silentMs", l.SilentMs, 2*l.HeartbeatMs, 60_000),
		bound("limits.staleMs", l.StaleMs, l.SilentMs, 600_000),
		bound("limits.pollMs", l.PollMs, 50, 10_000),
		bound("limits.presetBoundMs", l.PresetBoundMs, 2*l.PollMs, 10_000),
		bound("limits.dispatchWindowMs", l.DispatchWindowMs, 100, 60_000),
		bound("limits.holdMs", l.HoldMs, 10, 60_000),
		bound("limits.commitWaitMs", l.CommitWaitMs, 10, 60_000),
		bound("limits.retainMs", l.RetainMs, 60_000, 604_800_000),
		bound("limits.sweepMs", l.SweepMs, 100, 600_000),
		bound("limits.locateTtlMs", l.LocateTTLMs, 100, 600_000),
		bound("limits.drainMs", l.DrainMs, 1000, 3_600_000),
		bound("limits.maxBodyBytes", l.MaxBodyBytes, 1<<10, 64<<20),
		bound("limits.compactRecords", l.CompactRecords, 10, 1<<30),
		bound("limits.subset", l.Subset, 1, 1000),
	}
}

// Read reads and checks a settings file; errors name the key, its line and the allowed range.
func Read(path string) (c Config, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return c, trace.ConvertSystemError(err)
	}
	c, err = Parse(string(data))
	return c, trace.Wrap(err, "%s", path)
}

// Parse reads and checks settings.
func Parse(data string) (c Config, err error) {
	c = Default()
	meta, err := toml.Decode(data, &c)
	if err != nil {
		return c, trace.BadParameter("%v", err)
	}
	if keys := meta.Undecoded(); len(keys) > 0 {
		return c, at(data, keys[0].String(), "unknown key")
	}
	return c, c.check(data)
}

// at returns an error about a key with its line, when the key stands in the data.
func at(data, key, format string, args ...any) error {
	name := key[strings.LastIndexByte(key, '.')+1:]
	re := regexp.MustCompile(`^\s*(\[+.*)?` + regexp.QuoteMeta(name) + `\s*[=\]]`)
	where := ""
	for i, line := range strings.Split(data, "\n") {
		if re.MatchString(line) {
			where = fmt.Sprintf("line %d: ", i+1)
			break
		}
	}
	return trace.BadParameter("%s%s: %s", where, key, fmt.Sprintf(format, args...))
}

func (c Config) check(data string) (err error) {
	if b, ok := hgbound.Broken(c.bounds()); ok {
		return at(data, b.Key, "%d is outside %d to %d", b.Value, b.Low, b.High)
	}
	if c.Node.ID == "" || strings.ContainsAny(c.Node.ID, "/ ") {
		return at(data, "node.id", "%q: want a word without '/'", c.Node.ID)
	}
	if c.Node.Domain == "" {
		return at(data, "node.domain", "want the failure domain")
	}
	if (c.Node.KeyFile == "") == (c.Node.KeyEnv == "") {
		return at(data, "node.keyFile", "want either keyFile or keyEnv")
	}
	if c.Node.OperatorKeyFile != "" && c.Node.OperatorKeyEnv != "" {
		return at(data, "node.operatorKeyFile", "want operatorKeyFile, operatorKeyEnv or neither")
	}
	if _, ok := hgpreset.Shipped()[c.Node.Preset]; !ok {
		return at(data, "node.preset", "%q: want one of %s", c.Node.Preset, strings.Join(hgpreset.Names(hgpreset.Shipped()), ", "))
	}
	for key, address := range map[string]string{"node.public": c.Node.Public, "node.inner": c.Node.Inner, "platform.address": c.Platform.Address} {
		if err := checkAddress(address); err != nil {
			return at(data, key, "%v", err)
		}
	}
	return c.checkEndpoints(data)
}

func (c Config) checkEndpoints(data string) (err error) {
	seen := map[string]bool{}
	for i, e := range c.Endpoint {
		key := fmt.Sprintf("endpoint[%d].", i)
		switch {
		case e.ID == "" || seen[e.ID]:
			return at(data, key+"id", "%q: want a name that no other endpoint has", e.ID)
		case e.Kind != Engine && e.Kind != Tool:
			return at(data, key+"kind", "%q: want %q or %q", e.Kind, Engine, Tool)
		case e.MemoryTokens < 0:
			return at(data, key+"memoryTokens", "%d: want at least 0", e.MemoryTokens)
		case e.Domain == "":
			return at(data, key+"domain", "want the failure domain")
		case len(e.Targets) == 0 || lo.Contains(e.Targets, ""):
			return at(data, key+"targets", "want at least one model or service")
		}
		if err := checkAddress(e.Address); err != nil {
			return at(data, key+"address", "%v", err)
		}
		seen[e.ID] = true
	}
	return nil
}

// checkAddress demands an IP number and a port.
func checkAddress(address string) (err error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return trace.BadParameter("%q: want an IP number and a port, such as 127.0.0.1:7400", address)
	}
	return nil
}

// minKeyBytes is the least length of a key.
const minKeyBytes = 16

// Key returns the cell's key from its file or environment variable.
func (c Config) Key() (key string, err error) {
	defer func() { err = trace.Wrap(err, "cell key") }()
	return readKey(c.Node.KeyFile, c.Node.KeyEnv)
}

// OperatorKey returns the operators' key, or an empty one if the settings name none.
func (c Config) OperatorKey() (key string, err error) {
	defer func() { err = trace.Wrap(err, "operators' key") }()
	if c.Node.OperatorKeyFile == "" && c.Node.OperatorKeyEnv == "" {
		return "", nil
	}
	return readKey(c.Node.OperatorKeyFile, c.Node.OperatorKeyEnv)
}

func readKey(file, env string) (key string, err error) {
	if env != "" {
		key = os.Getenv(env)
	} else {
		data, err := os.ReadFile(file)
		if err != nil {
			return "", trace.ConvertSystemError(err)
		}
		key = strings.TrimSpace(string(data))
	}
	if len(key) < minKeyBytes || strings.ContainsAny(key, " \r\n") {
		return "", trace.BadParameter("want at least %d bytes without spaces", minKeyBytes)
	}
	return key, nil
}

// MS returns a time in milliseconds as a duration.
func MS(n int) time.Duration { return time.Duration(n) * time.Millisecond }
