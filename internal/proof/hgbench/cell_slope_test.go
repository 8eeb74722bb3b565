package hgbench

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"

	"hyssopgrade/hgcall"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/peer/hgnode"
	"hyssopgrade/internal/proof/hgcell"
	"hyssopgrade/internal/serve/hgcaller"
	"hyssopgrade/internal/serve/hgendpoint"
)

// defaultEngines is the number of engines in measurements that do not depend on it.
const defaultEngines = 3

// newCell starts a cell and waits until it is ready.
func newCell(t *testing.T, nodes, engines int) *hgcell.Cell {
	t.Helper()
	opts := hgcell.DemoOptions(hglog.Discard())
	opts.Nodes, opts.Engines = nodes, engines
	c, err := hgcell.NewCell(opts)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.WaitReady(); err != nil {
		t.Fatal(err)
	}
	return c
}

// pathSlope compares sequential model calls through a cell of the given number of nodes with direct calls to an endpoint.
func pathSlope(t *testing.T, nodes int) {
	c := newCell(t, nodes, 1)
	defer c.Close()
	client := hgcaller.NewClient(c.Addresses()...)
	defer client.Close()
	direct := hgendpoint.NewHTTP("engine-0", c.Endpoints["engine-0"].Address(), hgendpoint.NewMemory(0))
	t.Log("calls, direct ms per call, ms through the cell, of it commits, µs of processor time per call through the cell, stand-ins included")
	for _, n := range []int{50, 100, 200} {
		start := time.Now()
		for i := range n {
			id := fmt.Sprintf("direct-%d-%d", n, i)
			_, err := direct.Chat(t.Context(), hgendpoint.ChatRequest{
				Program: id, Request: id, Model: "clerk-7b", MaxTokens: 8, Fence: hgendpoint.Fence{Epoch: 1 << 40},
				Messages: []hgcall.Message{{Role: "user", Content: id}},
			}, func(string) {})
			if err != nil {
				t.Fatal(err)
			}
		}
		plain := time.Since(start)
		start, used := time.Now(), processorTime()
		var commits time.Duration
		for i := range n {
			id := fmt.Sprintf("path-%d-%d", n, i)
			call := hgcall.Call{
				Program: id, Seq: 1, Request: id, Kind: hgcall.Model, Target: "clerk-7b", MaxTokens: 8, Deadline: time.Minute,
				Messages: []hgcall.Message{{Role: "user", Content: id}},
			}
			if _, err := client.Call(t.Context(), call); err != nil {
				t.Fatal(err)
			}
			s, err := c.Nodes[0].Status(t.Context(), id)
			if err != nil {
				t.Fatal(err)
			}
			commits += s.Time.Commit
		}
		through, spent := time.Since(start), processorTime()-used
		each := func(d time.Duration) float64 { return d.Seconds() * 1e3 / float64(n) }
		t.Logf("%d, %.2f, %.2f, %.2f, %.0f", n, each(plain), each(through), each(commits), 1e3*each(spent))
	}
}

// idlePeriod is the length of a measurement of an idle cell.
const idlePeriod = 6 * time.Second

// settleTime is the time in which the shards of a new cell are assigned to nodes.
const settleTime = 10 * time.Second

// idleSlope measures the platform reads and commits, the processor time and the memory that an idle cell takes per node,
// with all nodes in one process.
func idleSlope(t *testing.T) {
	t.Log("nodes, platform reads/s per node, commits/s per node, bytes/s read per node, % of a core per node, heap KB per node, stand-ins included")
	for _, n := range []int{3, 6, 10} {
		before := int64(heapBytes())
		c := newCell(t, n, defaultEngines)
		time.Sleep(settleTime)
		was, start := c.Platform.Store.Usage(), processorTime()
		time.Sleep(idlePeriod)
		used, is := processorTime()-start, c.Platform.Store.Usage()
		per := idlePeriod.Seconds() * float64(n)
		t.Logf("%d, %.2f, %.2f, %.0f, %.2f, %d", n, float64(is.Reads-was.Reads)/per, float64(is.Commits-was.Commits)/per,
			float64(is.ReadBytes-was.ReadBytes)/per, 100*used.Seconds()/per, (int64(heapBytes())-before)/int64(n)/1024)
		c.Close()
	}
}

// presetSlope measures the time from one node's acceptance of a preset until all nodes of the cell apply it.
func presetSlope(t *testing.T) {
	t.Log("nodes, changes, ms until in force everywhere p50, most")
	for _, n := range []int{3, 6, 9} {
		c := newCell(t, n, defaultEngines)
		h := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
		for i := range 12 {
			v, err := c.Nodes[i%n].UsePreset(t.Context(), []string{"peak", "ordinary"}[i%2], "slope")
			if err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			for !lo.EveryBy(c.Nodes, func(node *hgnode.Node) bool { return node.Overview().Members[0].PresetVersion >= v.Number }) {
				time.Sleep(time.Millisecond)
			}
			_ = h.RecordValue(max(time.Since(start).Milliseconds(), 1))
		}
		t.Logf("%d, %d, %d, %d", n, h.TotalCount(), h.ValueAtQuantile(50), h.Max())
		c.Close()
	}
}

// handoverTime is the length of a measurement of calls around a membership change.
const handoverTime = 4 * time.Second

// handoverSlope measures the latency of model calls while a node is drained and while one joins, compared with a stable
// membership.
func handoverSlope(t *testing.T) {
	t.Log("nodes, event, calls, ms per call p50, p99, most, calls over 100 ms")
	for _, n := range []int{3, 6, 9} {
		c := newCell(t, n, defaultEngines)
		time.Sleep(settleTime)
		timeCalls(t, c, n, "none", func() {})
		timeCalls(t, c, n, "drain", func() {
			if err := c.Nodes[n-1].Drain(t.Context()); err != nil {
				t.Error(err)
			}
			c.Nodes[n-1].Close()
		})
		timeCalls(t, c, n, "join", func() {
			node, err := c.StartNode(c.Configs[n-1])
			if err != nil {
				t.Error(err)
				return
			}
			c.Nodes[n-1] = node
		})
		c.Close()
	}
}

// timeCalls sends calls of new programs for handoverTime, runs change after a quarter of it, and prints the latencies.
func timeCalls(t *testing.T, c *hgcell.Cell, n int, event string, change func()) {
	t.Helper()
	client := hgcaller.NewClient(c.Addresses()...)
	defer client.Close()
	end := time.Now().Add(handoverTime)
	var mu sync.Mutex
	h := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	var wg sync.WaitGroup
	for w := range 16 {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%s-%d-%d", event, w, i)
				start := time.Now()
				_, err := client.Call(t.Context(), hgcall.Call{
					Program: id, Seq: 1, Request: id, Kind: hgcall.Model, Target: "clerk-7b", MaxTokens: 8, Deadline: time.Minute,
					Messages: []hgcall.Message{{Role: "user", Content: id}},
				})
				if err != nil {
					t.Error(err)
				}
				mu.Lock()
				_ = h.RecordValue(max(time.Since(start).Milliseconds(), 1))
				mu.Unlock()
			}
		})
	}
	time.Sleep(handoverTime / 4)
	change()
	wg.Wait()
	over := lo.SumBy(h.Distribution(), func(b hdrhistogram.Bar) int64 { return lo.Ternary(b.From > 100, b.Count, 0) })
	t.Logf("%d, %s, %d, %d, %d, %d, %d", n, event, h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max(), over)
}
