package hgproof

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgcall"
	"hyssopgrade/internal/proof/hgcell"
	"hyssopgrade/internal/proof/hgreplay"
	"hyssopgrade/internal/proof/hgstandin"
	"hyssopgrade/internal/serve/hgcaller"
	"hyssopgrade/internal/serve/hgfront"
)

// binary is the path of the hyssopgrade command, built by TestMain.
var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the command and runs the tests. It is not part of TestMain because os.Exit skips deferred calls.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hgproof")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "hyssopgrade")
	build := exec.Command("go", "build", "-o", binary, "hyssopgrade/cmd/hyssopgrade")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	return m.Run()
}

// nodeProcess is a node that runs as a process of its own.
type nodeProcess struct {
	id string
	// public is the node's public address.
	public string
	// config is the path of the settings file.
	config string
	cmd    *exec.Cmd
	// out holds the process's log since its last start.
	out *lockedBuffer
	// exited receives the result of the process's Wait. Whoever receives it sends it back for the next.
	exited chan error
}

// testBench is a cell of node processes, with stand-ins for the platform and the endpoints in the test's process.
type testBench struct {
	t         *testing.T
	platform  *hgstandin.Platform
	endpoints map[string]*hgstandin.Endpoint
	nodes     []*nodeProcess
	client    *hgcaller.Client
}

type testBenchOptions struct {
	nodes   int
	engines int
	tools   int
	engine  hgstandin.Options
	// limits holds lines in TOML that are added to the section [limits] of the settings.
	limits string
}

// lockedBuffer is a buffer that a process's log may be written to while a test reads it.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// quickEngine takes 1 ms per generated token and 10 µs per prompt token that is not cached.
var quickEngine = hgstandin.Options{TokenTime: time.Millisecond, PrefillTime: 10 * time.Microsecond, CacheTokens: 200_000}

// newTestBench starts a cell and waits until each shard has an owner. The cell stops at the end of the test.
func newTestBench(t *testing.T, o testBenchOptions) *testBench {
	t.Helper()
	b := &testBench{t: t, endpoints: map[string]*hgstandin.Endpoint{}}
	var err error
	if b.platform, err = hgstandin.NewPlatform("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.platform.Close)
	eps := b.addEndpoints("engine", o.engines, o.engine) + b.addEndpoints("tool", o.tools, o.engine)
	dir := t.TempDir()
	for i := range o.nodes {
		b.nodes = append(b.nodes, b.configure(dir, i, o, eps))
	}
	t.Cleanup(b.logIfFailed)
	for i := range b.nodes {
		b.start(i)
	}
	b.client = hgcaller.NewClient(b.addresses()...)
	t.Cleanup(b.client.Close)
	b.waitOwned(o.nodes)
	return b
}

// addEndpoints starts stand-ins for endpoints of a kind and returns their settings in TOML.
func (b *testBench) addEndpoints(kind string, n int, opts hgstandin.Options) string {
	b.t.Helper()
	var text strings.Builder
	for i := range n {
		e, err := hgstandin.NewEndpoint("127.0.0.1:0", opts)
		if err != nil {
			b.t.Fatal(err)
		}
		b.t.Cleanup(e.Close)
		id := fmt.Sprintf("%s-%d", kind, i)
		b.endpoints[id] = e
		targets := lo.Ternary(kind == "engine", `"clerk-7b", "dispute-13b"`, `"register", "gate", "payment"`)
		fmt.Fprintf(&text, "[[endpoint]]\nid = %q\nkind = %q\naddress = %q\ndomain = %q\ntargets = [%s]\nchecksFencing = %t\n",
			id, kind, e.Address(), hgcell.Domains[i%3], targets, opts.ChecksFencing)
	}
	return text.String()
}

// configure writes the settings of node i and returns the node, which doesn't run yet.
func (b *testBench) configure(dir string, i int, o testBenchOptions, eps string) *nodeProcess {
	b.t.Helper()
	public, err1 := hgcell.FreeAddress()
	inner, err2 := hgcell.FreeAddress()
	if err := errors.Join(err1, err2); err != nil {
		b.t.Fatal(err)
	}
	n := &nodeProcess{id: fmt.Sprintf("node-%d", i), public: public, config: filepath.Join(dir, fmt.Sprintf("node-%d.toml", i))}
	text := fmt.Sprintf(`[node]
id = %q
domain = %q
public = %q
inner = %q
keyEnv = "HYSSOPGRADE_KEY"
shards = 16
[platform]
address = %q
timeoutMs = 1000
commitsPerSecond = 600
[limits]
heartbeatMs = 200
silentMs = 1000
staleMs = 4000
pollMs = 500
presetBoundMs = 4000
dispatchWindowMs = 1000
sweepMs = 500
locateTtlMs = 1000
compactRecords = 40
%s
%s`, n.id, hgcell.Domains[i%3], public, inner, b.platform.Address(), o.limits, eps)
	if err := os.WriteFile(n.config, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return n
}

// start starts the process of node i, for the first time or again, and kills it at the end of the test.
func (b *testBench) start(i int) {
	b.t.Helper()
	n := b.nodes[i]
	n.out = &lockedBuffer{}
	n.cmd = exec.Command(binary, "node", "--config", n.config)
	n.cmd.Env = append(os.Environ(), "HYSSOPGRADE_KEY=key-of-the-cell-under-test")
	n.cmd.Stderr = n.out
	if err := n.cmd.Start(); err != nil {
		b.t.Fatal(err)
	}
	n.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan error) { exited <- cmd.Wait() }(n.cmd, n.exited)
	b.t.Cleanup(func() { b.kill(i) })
}

func (b *testBench) signal(i int, s syscall.Signal) { _ = b.nodes[i].cmd.Process.Signal(s) }

// kill ends node i by SIGKILL and waits until its process has exited.
func (b *testBench) kill(i int) {
	b.signal(i, syscall.SIGKILL)
	err := <-b.nodes[i].exited
	b.nodes[i].exited <- err
}

// drain stops node i by SIGTERM and waits until its process has exited. The test fails if the exit status is not 0.
func (b *testBench) drain(i int) {
	b.signal(i, syscall.SIGTERM)
	err := <-b.nodes[i].exited
	b.nodes[i].exited <- err
	if err != nil {
		b.t.Errorf("%s exited after SIGTERM with an error: %v", b.nodes[i].id, err)
	}
}

// freeze suspends the process of node i, whose connections stay open.
func (b *testBench) freeze(i int) { b.signal(i, syscall.SIGSTOP) }

// resume continues node i after freeze.
func (b *testBench) resume(i int) { b.signal(i, syscall.SIGCONT) }

func (b *testBench) addresses() []string {
	return lo.Map(b.nodes, func(n *nodeProcess, _ int) string { return n.public })
}

// overview returns the cell's status as node i sees it.
func (b *testBench) overview(i int) (o hgfront.Overview, err error) {
	return o, b.client.Get(b.t.Context(), b.nodes[i].public, "/v1/status", &o)
}

// benchTimeout bounds waits for the cell, such as for the owners of all shards.
const benchTimeout = 30 * time.Second

// eventually polls ok until it returns true. The test fails if that takes longer than within.
func (b *testBench) eventually(what string, within time.Duration, ok func() bool) {
	b.t.Helper()
	end := time.Now().Add(within)
	for !ok() {
		if time.Now().After(end) {
			b.t.Fatalf("timeout after %s: %s", within, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// waitOwned waits until the first node sees the given number of live members, an owner for each shard, and each member as an owner.
func (b *testBench) waitOwned(members int) {
	b.t.Helper()
	b.eventually("each shard has an owner", benchTimeout, func() bool {
		o, err := b.overview(0)
		owners := lo.Uniq(lo.Values(o.Shards))
		live := lo.CountBy(o.Members, func(m hgfront.MemberStatus) bool { return m.Live })
		return err == nil && len(o.Shards) == 16 && !lo.Contains(owners, "") && live == members && len(owners) == members
	})
}

// owner returns the index of the node that owns a program's shard, by the first node that answers.
func (b *testBench) owner(program string) int {
	b.t.Helper()
	found := -1
	b.eventually("owner of "+program, benchTimeout, func() bool {
		for i := range b.nodes {
			var loc hgfront.Location
			if b.client.Get(b.t.Context(), b.nodes[i].public, "/v1/locate?program="+program, &loc) != nil || len(loc.Addresses) == 0 {
				continue
			}
			found = lo.IndexOf(b.addresses(), loc.Addresses[0])
			return found >= 0
		}
		return false
	})
	return found
}

// executions returns the records of all requests that the endpoints accepted.
func (b *testBench) executions() []hgstandin.Execution {
	return lo.FlatMap(lo.Values(b.endpoints), func(e *hgstandin.Endpoint, _ int) []hgstandin.Execution { return e.Executions() })
}

// runs returns the executions of the request with the given identifier.
func (b *testBench) runs(request string) []hgstandin.Execution {
	return lo.Filter(b.executions(), func(x hgstandin.Execution, _ int) bool { return x.Request == request })
}

// setFault sets a fault on all endpoints of a kind, "engine" or "tool".
func (b *testBench) setFault(kind string, f hgstandin.Fault) {
	for id, e := range b.endpoints {
		if strings.HasPrefix(id, kind) {
			e.SetFault(f)
		}
	}
}

// via returns a client that sends all calls to node i.
func (b *testBench) via(i int) *hgcaller.Client {
	c := hgcaller.NewClient(b.nodes[i].public)
	b.t.Cleanup(c.Close)
	return c
}

// model returns a model call of one message.
func model(program string, seq uint64, text string) hgcall.Call {
	return hgcall.Call{
		Program: program, Seq: seq, Request: fmt.Sprintf("%s-%d", strings.ReplaceAll(program, "/", "."), seq), Kind: hgcall.Model, Target: "clerk-7b",
		Messages: []hgcall.Message{{Role: "user", Content: text}}, MaxTokens: 16, Deadline: 20 * time.Second,
	}
}

// tool returns a tool call that takes 20 ms.
func tool(program string, seq uint64, target string, idempotent bool) hgcall.Call {
	return hgcall.Call{
		Program: program, Seq: seq, Request: fmt.Sprintf("%s-%d", strings.ReplaceAll(program, "/", "."), seq), Kind: hgcall.Tool, Target: target,
		Idempotent: idempotent, Body: fmt.Appendf(nil, `{"durationMs":20,"program":%q,"seq":%d}`, program, seq), Deadline: 20 * time.Second,
	}
}

// refusalOf returns the refusal that an error wraps, or an empty one if there is none.
func refusalOf(err error) hgcall.Refusal {
	var r *hgcall.Refusal
	if errors.As(err, &r) {
		return *r
	}
	return hgcall.Refusal{}
}

// replay replays a shipped trace against the nodes, speed times as fast as recorded. Program identifiers get the prefix.
func (b *testBench) replay(ctx context.Context, name, prefix string, speed float64) *hgreplay.Report {
	b.t.Helper()
	programs, err := hgreplay.Shipped(name)
	if err != nil {
		b.t.Fatal(err)
	}
	return hgreplay.NewReplay(b.client, hgreplay.Options{
		Speed: speed, Deadline: 25 * time.Second, RetryWindow: 20 * time.Second, Progress: func(int, int) {}, Prefix: prefix,
	}).Run(ctx, programs)
}
