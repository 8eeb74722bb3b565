package hgproof

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgshard"
	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/peer/hgnoderpc"
	"hyssopgrade/internal/proof/hgcell"
	"hyssopgrade/internal/proof/hgreplay"
	"hyssopgrade/internal/proof/hgstandin"
	"hyssopgrade/internal/serve/hgcaller"
	"hyssopgrade/internal/serve/hgfront"
)

// faultyNetwork connects the nodes of a cell and can isolate one node from the others, in both directions.
type faultyNetwork struct {
	mu sync.Mutex
	// nodes maps inner addresses to nodes.
	nodes map[string]string
	// isolated is the isolated node, or empty.
	isolated string
}

var errPartitioned = errors.New("network partition between the nodes")

// partitioned reports whether the node from can't reach the node at an inner address.
func (n *faultyNetwork) partitioned(from, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated != "" && (from == n.isolated || n.nodes[address] == n.isolated)
}

// isolate isolates a node instead of the one isolated before. An empty name ends the partition.
func (n *faultyNetwork) isolate(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = node
}

// nodeAt returns the identifier of the node with the given public address.
func (n *faultyNetwork) nodeAt(c *hgcell.Cell, public string) string {
	cfg, _ := lo.Find(c.Configs, func(cfg hgconfig.Config) bool { return cfg.Node.Public == public })
	return cfg.Node.ID
}

// dial returns the function by which a node connects to its peers.
func (n *faultyNetwork) dial(from string) hgnoderpc.Dial {
	return func(ctx context.Context, proto, address string) (net.Conn, error) {
		if n.partitioned(from, address) {
			return nil, errPartitioned
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, proto, address)
		return &partitionableConn{Conn: conn, partitioned: func() bool { return n.partitioned(from, address) }}, err
	}
}

// partitionableConn is a connection between nodes. During a partition it discards what is sent, as a network that drops packets, and
// fails when something is received.
type partitionableConn struct {
	net.Conn
	partitioned func() bool
}

func (c *partitionableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil && c.partitioned() {
		return 0, errPartitioned
	}
	return n, err
}

func (c *partitionableConn) Write(p []byte) (int, error) {
	if c.partitioned() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// roundRobinClient sends each call through the next node, so that both sides of a partition get calls of the same program.
type roundRobinClient struct {
	clients []*hgcaller.Client
	next    atomic.Int64
}

func (r *roundRobinClient) client() *hgcaller.Client {
	return r.clients[int(r.next.Add(1))%len(r.clients)]
}

// Call sends a call to the next node and retries it there until it has a final answer.
func (r *roundRobinClient) Call(ctx context.Context, c hgcall.Call) (a hgcaller.Answer, err error) {
	return r.client().Call(ctx, c)
}

// End ends a program through the next node.
func (r *roundRobinClient) End(ctx context.Context, program string) (err error) {
	return r.client().End(ctx, program)
}

// newPartitionCell starts a cell of four nodes that can be isolated from each other. They read the store every pollMs.
func newPartitionCell(t *testing.T, pollMs int) (c *hgcell.Cell, network *faultyNetwork) {
	t.Helper()
	network = &faultyNetwork{nodes: map[string]string{}}
	opts := hgcell.DemoOptions(hglog.Discard())
	opts.Nodes = 4
	opts.Dial = network.dial
	opts.EditConfig = func(cfg *hgconfig.Config) {
		cfg.Limits.HeartbeatMs, cfg.Limits.SilentMs, cfg.Limits.PollMs = 200, 1000, pollMs
		cfg.Limits.DispatchWindowMs, cfg.Limits.StaleMs = 1000, 8*pollMs
		network.nodes[cfg.Node.Inner] = cfg.Node.ID
	}
	c, err := hgcell.NewCell(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.WaitReady(); err != nil {
		t.Fatal(err)
	}
	return c, network
}

// TestCutBetweenNodes isolates one node after the other from its peers, each for longer than it takes the others to take its shards
// over, while a trace is replayed through all nodes. The isolated node still reaches the store and the endpoints, so that for a time two
// nodes may act as the owner of a shard. No outcome may be wrong, and every program has to get its answers.
func TestCutBetweenNodes(t *testing.T) {
	programs, err := hgreplay.Shipped("derwent")
	if err != nil {
		t.Fatal(err)
	}
	c, network := newPartitionCell(t, 500)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			network.isolate(c.Configs[i%4].Node.ID)
			time.Sleep(2500 * time.Millisecond)
			network.isolate("")
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	caller := &roundRobinClient{}
	for _, address := range c.Addresses() {
		caller.clients = append(caller.clients, hgcaller.NewClient(address))
	}
	r := hgreplay.NewReplay(caller, hgreplay.Options{
		Speed: 0.4, Deadline: 25 * time.Second, RetryWindow: 20 * time.Second, Progress: func(int, int) {},
	}).Run(t.Context(), programs)
	r.CheckRecords(c.Executions())
	t.Logf("done %d, undone %d, refusals %v, latency %+v", r.Done, r.Undone, r.Refusals, r.Latency())
	if diff := cmp.Diff([]string{}, r.Violations); diff != "" {
		t.Errorf("violations (-want +got):\n%s", diff)
	}
	if r.Undone > 0 {
		t.Errorf("%d programs were not completed", r.Undone)
	}
}

// TestSupersededOwnerDispatchesNothing isolates a program's owner from its peers until another node has taken the shard over. It then
// sends a call that may not be repeated through both nodes, before the old owner's next read of the store can tell it of the takeover.
// The call has to run exactly once, and the new owner has to answer it.
func TestSupersededOwnerDispatchesNothing(t *testing.T) {
	c, network := newPartitionCell(t, 3000)
	for round := range 3 {
		program := fmt.Sprintf("superseded-%d", round)
		old := locate(t, c.Addresses()[0], program)
		if _, err := hgcaller.NewClient(old).Call(t.Context(), model(program, 1, "hello")); err != nil {
			t.Fatal(err)
		}
		id := network.nodeAt(c, old)
		network.isolate(id)
		other := lo.Without(c.Addresses(), old)[0]
		for end := time.Now().Add(5 * time.Second); ownerSeenBy(t, other, program) == id && time.Now().Before(end); {
			time.Sleep(20 * time.Millisecond)
		}
		next := locate(t, other, program)
		staleView := ownerSeenBy(t, old, program) == id
		call := tool(program, 2, "payment/charge", false)
		_, err1 := hgcaller.NewClient(old).Call(t.Context(), call.WithDeadline(time.Second))
		_, err2 := hgcaller.NewClient(next).Call(t.Context(), call.WithDeadline(8*time.Second))
		runs := lo.CountBy(c.Executions(), func(x hgstandin.Execution) bool { return x.Request == call.Request })
		t.Logf("the old owner still takes itself for the owner: %t; answers: %v, %v", staleView, err1, err2)
		if err2 != nil || runs != 1 {
			t.Errorf("%s: answer of the new owner: %v; the call ran %d times", program, err2, runs)
		}
		network.isolate("")
		time.Sleep(2 * time.Second)
	}
}

// ownerSeenBy returns the owner of a program's shard as seen by the node at address.
func ownerSeenBy(t *testing.T, address, program string) string {
	t.Helper()
	client := hgcaller.NewClient(address)
	defer client.Close()
	var o hgfront.Overview
	if err := client.Get(t.Context(), address, "/v1/status", &o); err != nil {
		t.Fatal(err)
	}
	return o.Shards[hgshard.Of(program, uint32(len(o.Shards)))]
}

// locate returns the address of a program's owner as seen by the node at address.
func locate(t *testing.T, address, program string) string {
	t.Helper()
	client := hgcaller.NewClient(address)
	defer client.Close()
	var loc hgfront.Location
	if err := client.Get(t.Context(), address, "/v1/locate?program="+program, &loc); err != nil || len(loc.Addresses) == 0 {
		t.Fatalf("locate at %s: %v %v", address, loc, err)
	}
	return loc.Addresses[0]
}
