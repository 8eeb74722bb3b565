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

// EndpointKind tells engines from tools.
type EndpointKind string

// The kinds of endpoints.
const (
	// Engine endpoints run models.
	Engine EndpointKind = "engine"
	// Tool endpoints run the operations of tool services.
	Tool EndpointKind = "tool"
)

// Config is the settings file of a node.
type Config struct {
	Node     Node       `toml:"node"`
	Platform Platform   `toml:"platform"`
	Log      Log        `toml:"log"`
	Limits   Limits     `toml:"limits"`
	Endpoint []Endpoint `toml:"endpoint"`
}

// Node identifies a node and says where it listens.
type Node struct {
	// ID is unique among the nodes of a cell.
	ID string `toml:"id"`
	// Domain is the failure domain of the node.
	Domain string `toml:"domain"`
	// Public is the IP address and port that callers and operators connect to.
	Public string `toml:"public"`
	// Inner is the IP address and port that other nodes connect to.
	Inner string `toml:"inner"`
	// KeyFile names the file that holds the key of the cell, KeyEnv the environment variable; exactly one of them is set.
	KeyFile string `toml:"keyFile"`
	KeyEnv  string `toml:"keyEnv"`
	// OperatorKeyFile and OperatorKeyEnv name the operators' key in the same way. If neither is set, the routes for operators
	// need no key.
	OperatorKeyFile string `toml:"operatorKeyFile"`
	OperatorKeyEnv  string `toml:"operatorKeyEnv"`
	// Shards is the number of shards of the cell. It must be the same on all nodes.
	Shards int `toml:"shards"`
	// Preset names the preset that is in force until operators choose another one.
	Preset string `toml:"preset"`
}

// Platform holds the address of the platform's store and the limits of its use.
type Platform struct {
	// Address is the IP address and port of the store.
	Address string `toml:"address"`
	// TimeoutMs bounds one call of the store, in milliseconds.
	TimeoutMs int `toml:"timeoutMs"`
	// CommitsPerSecond limits the commits of all nodes of the cell together; the live nodes divide it among themselves.
	CommitsPerSecond int `toml:"commitsPerSecond"`
}

// Log is the format and the level of the log.
type Log struct {
	// Format is "text" or "json".
	Format string `toml:"format"`
	// Level is "debug", "info", "warn" or "error".
	Level string `toml:"level"`
}

// Limits are the times, in milliseconds, and the sizes that a node works with.
type Limits struct {
	// HeartbeatMs is the time between two heartbeats.
	HeartbeatMs int `toml:"heartbeatMs"`
	// SilentMs is the time without a heartbeat after which other nodes may take over the shards of a node.
	SilentMs int `toml:"silentMs"`
	// StaleMs is the time without a refresh after which the registration of a node is stale.
	StaleMs int `toml:"staleMs"`
	// PollMs is the time between two reads of the preset, the members and the rows of shards from the store.
	PollMs int `toml:"pollMs"`
	// PresetBoundMs is the time without a confirmation of the preset after which a node takes no new work.
	PresetBoundMs int `toml:"presetBoundMs"`
	// DispatchWindowMs is the time after its intent within which a call may be dispatched. The next owner of the shard waits
	// as long before it resolves the call.
	DispatchWindowMs int `toml:"dispatchWindowMs"`
	// HoldMs is how long a call waits for its predecessors in the program.
	HoldMs int `toml:"holdMs"`
	// CommitWaitMs is how long a call waits for a commit.
	CommitWaitMs int `toml:"commitWaitMs"`
	// RetainMs is how long a program without calls is kept.
	RetainMs int `toml:"retainMs"`
	// SweepMs is the time between two searches for engine memory of programs that have ended.
	SweepMs int `toml:"sweepMs"`
	// LocateTTLMs is how long callers may keep the address of a node.
	LocateTTLMs int `toml:"locateTtlMs"`
	// DrainMs bounds the drain of a node that stops.
	DrainMs int `toml:"drainMs"`
	// MaxBodyBytes is the largest body of a request.
	MaxBodyBytes int `toml:"maxBodyBytes"`
	// CompactRecords is the number of journal records of a shard after which a segment is written.
	CompactRecords int `toml:"compactRecords"`
	// Subset is the largest number of endpoints per target that a node uses.
	Subset int `toml:"subset"`
	// MemoryMB is the memory that the process may use, in units of 2^20 bytes, and MaxDescriptors the number of its file
	// descriptors; 0 means that the machine sets no limit.
	MemoryMB       int `toml:"memoryMb"`
	MaxDescriptors int `toml:"maxDescriptors"`
	// RequestMemoryMB is the memory for the requests of callers, with their connections, in units of 2^20 bytes; 0 means a share of
	// MemoryMB.
	RequestMemoryMB int `toml:"requestMemoryMb"`
}

// Endpoint describes an engine or a tool that the node sends calls to.
type Endpoint struct {
	ID      string       `toml:"id"`
	Kind    EndpointKind `toml:"kind"`
	Address string       `toml:"address"`
	Domain  string       `toml:"domain"`
	// Targets are the models or tool services that the endpoint serves.
	Targets []string `toml:"targets"`
	// ChecksFencing says that the endpoint rejects requests whose fencing number is older than one it has seen.
	ChecksFencing bool `toml:"checksFencing"`
	// MemoryTokens is the memory of an engine for cached prefixes, in tokens; 0 means unknown.
	MemoryTokens int `toml:"memoryTokens"`
}

// Default returns the settings of a node whose file sets none.
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
		bound("limits.memoryMb", l.MemoryMB, 0, 1<<20),
		bound("limits.maxDescriptors", l.MaxDescriptors, 0, 1<<24),
		bound("limits.requestMemoryMb", l.RequestMemoryMB, 0, 1<<20),
	}
}

// Read reads and validates the settings file of a node. An error names the key, its line and the values that are allowed.
func Read(path string) (c Config, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return c, trace.ConvertSystemError(err)
	}
	c, err = Parse(string(data))
	return c, trace.Wrap(err, "%s", path)
}

// Parse decodes and validates the settings of a node.
func Parse(data string) (c Config, err error) {
	c = Default()
	meta, err := toml.Decode(data, &c)
	if err != nil {
		return c, trace.BadParameter("%v", err)
	}
	if keys := meta.Undecoded(); len(keys) > 0 {
		return c, keyError(data, keys[0].String(), "unknown key")
	}
	return c, c.check(data)
}

// keyError returns an error about a key, with the number of its line if the key is in the data.
func keyError(data, key, format string, args ...any) error {
	name := key[strings.LastIndexByte(key, '.')+1:]
	re := regexp.MustCompile(`^\s*(\[+.*)?` + regexp.QuoteMeta(name) + `\s*[=\]]`)
	line := ""
	for i, text := range strings.Split(data, "\n") {
		if re.MatchString(text) {
			line = fmt.Sprintf("line %d: ", i+1)
			break
		}
	}
	return trace.BadParameter("%s%s: %s", line, key, fmt.Sprintf(format, args...))
}

func (c Config) check(data string) (err error) {
	if b, ok := hgbound.FirstOutOfRange(c.bounds()); ok {
		return keyError(data, b.Key, "%d is outside %d to %d", b.Value, b.Low, b.High)
	}
	if c.Node.ID == "" || strings.ContainsAny(c.Node.ID, "/ ") {
		return keyError(data, "node.id", "%q: want a word without '/'", c.Node.ID)
	}
	if c.Node.Domain == "" {
		return keyError(data, "node.domain", "want the failure domain")
	}
	if (c.Node.KeyFile == "") == (c.Node.KeyEnv == "") {
		return keyError(data, "node.keyFile", "want either keyFile or keyEnv")
	}
	if c.Node.OperatorKeyFile != "" && c.Node.OperatorKeyEnv != "" {
		return keyError(data, "node.operatorKeyFile", "want operatorKeyFile, operatorKeyEnv or neither")
	}
	if _, ok := hgpreset.Shipped()[c.Node.Preset]; !ok {
		return keyError(data, "node.preset", "%q: want one of %s", c.Node.Preset, strings.Join(hgpreset.Names(hgpreset.Shipped()), ", "))
	}
	for key, address := range map[string]string{"node.public": c.Node.Public, "node.inner": c.Node.Inner, "platform.address": c.Platform.Address} {
		if err := checkAddress(address); err != nil {
			return keyError(data, key, "%v", err)
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
			return keyError(data, key+"id", "%q: want a name that no other endpoint has", e.ID)
		case e.Kind != Engine && e.Kind != Tool:
			return keyError(data, key+"kind", "%q: want %q or %q", e.Kind, Engine, Tool)
		case e.MemoryTokens < 0:
			return keyError(data, key+"memoryTokens", "%d: want at least 0", e.MemoryTokens)
		case e.Domain == "":
			return keyError(data, key+"domain", "want the failure domain")
		case len(e.Targets) == 0 || lo.Contains(e.Targets, ""):
			return keyError(data, key+"targets", "want at least one model or service")
		}
		if err := checkAddress(e.Address); err != nil {
			return keyError(data, key+"address", "%v", err)
		}
		seen[e.ID] = true
	}
	return nil
}

// checkAddress returns an error unless the address is an IP number and a port.
func checkAddress(address string) (err error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return trace.BadParameter("%q: want an IP number and a port, such as 127.0.0.1:7400", address)
	}
	return nil
}

// minKeyBytes is the smallest allowed length of a key.
const minKeyBytes = 16

// Key returns the key of the cell, read from the file or the environment variable that the settings name.
func (c Config) Key() (key string, err error) {
	defer func() { err = trace.Wrap(err, "cell key") }()
	return readKey(c.Node.KeyFile, c.Node.KeyEnv)
}

// OperatorKey returns the operators' key, or "" if the settings name none.
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

// Milliseconds converts milliseconds, the unit of settings, to a duration.
func Milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
