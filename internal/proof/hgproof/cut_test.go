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
	"hyssopgrade/internal/peer/hginner"
	"hyssopgrade/internal/proof/hgcell"
	"hyssopgrade/internal/proof/hgreplay"
	"hyssopgrade/internal/proof/hgstandin"
	"hyssopgrade/internal/serve/hgcaller"
	"hyssopgrade/internal/serve/hgfront"
)

// network connects the nodes of a cell and can cut one of them from the others, in both directions.
type network struct {
	mu        sync.Mutex
	addresses map[string]string
	cut       string
}

var errCut = errors.New("network is cut")

func (n *network) parted(from, address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != "" && (from == n.cut || n.addresses[address] == n.cut)
}

func (n *network) setCut(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = node
}

// nodeAt returns the node with a public address.
func (n *network) nodeAt(c *hgcell.Cell, public string) string {
	cfg, _ := lo.Find(c.Configs, func(cfg hgconfig.Config) bool { return cfg.Node.Public == public })
	return cfg.Node.ID
}

func (n *network) dial(from string) hginner.Dial {
	return func(ctx context.Context, proto, address string) (net.Conn, error) {
		if n.parted(from, address) {
			return nil, errCut
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, proto, address)
		return &cuttable{Conn: conn, parted: func() bool { return n.parted(from, address) }}, err
	}
}

// cuttable is a connection that loses what is sent and received while its ends are parted.
type cuttable struct {
	net.Conn
	parted func() bool
}

func (c *cuttable) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil && c.parted() {
		return 0, errCut
	}
	return n, err
}

func (c *cuttable) Write(p []byte) (int, error) {
	if c.parted() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// roaming sends each call through the next node, so that both sides of a cut see calls of one program.
type roaming struct {
	clients []*hgcaller.Client
	next    atomic.Int64
}

func (r *roaming) client() *hgcaller.Client {
	return r.clients[int(r.next.Add(1))%len(r.clients)]
}

// Call sends a call until it has a final answer.
func (r *roaming) Call(ctx context.Context, c hgcall.Call) (a hgcaller.Answer, err error) {
	return r.client().Call(ctx, c)
}

// End ends a program.
func (r *roaming) End(ctx context.Context, program string) (err error) {
	return r.client().End(ctx, program)
}

// newCutCell returns a cell of four nodes whose connections with each other can be cut.
func newCutCell(t *testing.T, pollMs int) (c *hgcell.Cell, wire *network) {
	t.Helper()
	wire = &network{addresses: map[string]string{}}
	opts := hgcell.Demo(hglog.Discard())
	opts.Nodes = 4
	opts.Dial = wire.dial
	opts.EditConfig = func(cfg *hgconfig.Config) {
		cfg.Limits.HeartbeatMs, cfg.Limits.SilentMs, cfg.Limits.PollMs = 200, 1000, pollMs
		cfg.Limits.DispatchWindowMs, cfg.Limits.StaleMs = 1000, 8*pollMs
		wire.addresses[cfg.Node.Inner] = cfg.Node.ID
	}
	c, err := hgcell.NewCell(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.WaitReady(); err != nil {
		t.Fatal(err)
	}
	return c, wire
}

// TestCutBetweenNodes cuts one node after the other from its peers, past the takeover, while a trace is replayed through
// all of them; each still reaches the store and the endpoints. No outcome is wrong, and every program gets its answer.
func TestCutBetweenNodes(t *testing.T) {
	programs, err := hgreplay.Shipped("derwent")
	if err != nil {
		t.Fatal(err)
	}
	c, wire := newCutCell(t, 500)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			wire.setCut(c.Configs[i%4].Node.ID)
			time.Sleep(2500 * time.Millisecond)
			wire.setCut("")
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	caller := &roaming{}
	for _, address := range c.Addresses() {
		caller.clients = append(caller.clients, hgcaller.NewClient(address))
	}
	r := hgreplay.NewReplay(caller, hgreplay.Options{
		Speed: 0.4, Deadline: 25 * time.Second, Patience: 20 * time.Second, Progress: func(int, int) {},
	}).Run(t.Context(), programs)
	r.CheckRecords(c.Executions())
	t.Logf("done %d, undone %d, refusals %v, latency %+v", r.Done, r.Undone, r.Refusals, r.Latency())
	if diff := cmp.Diff([]string{}, r.Violations); diff != "" {
		t.Errorf("violations (-want +got):\n%s", diff)
	}
	if r.Undone > 0 {
		t.Errorf("%d programs have no answer", r.Undone)
	}
}

// TestSupersededOwnerDispatchesNothing cuts a program's owner from its peers until another node has taken the shard, and sends a
// call that may not be repeated through both before the old owner can read of it: it runs once, and is answered.
func TestSupersededOwnerDispatchesNothing(t *testing.T) {
	c, wire := newCutCell(t, 3000)
	for round := range 3 {
		program := fmt.Sprintf("superseded-%d", round)
		old := locate(t, c.Addresses()[0], program)
		if _, err := hgcaller.NewClient(old).Call(t.Context(), model(program, 1, "hello")); err != nil {
			t.Fatal(err)
		}
		id := wire.nodeAt(c, old)
		wire.setCut(id)
		other := lo.Without(c.Addresses(), old)[0]
		for end := time.Now().Add(5 * time.Second); ownerSeen(t, other, program) == id && time.Now().Before(end); {
			time.Sleep(20 * time.Millisecond)
		}
		next := locate(t, other, program)
		believes := ownerSeen(t, old, program) == id
		call := tool(program, 2, "payment/charge", false)
		_, err1 := hgcaller.NewClient(old).Call(t.Context(), call.WithDeadline(time.Second))
		_, err2 := hgcaller.NewClient(next).Call(t.Context(), call.WithDeadline(8*time.Second))
		runs := lo.CountBy(c.Executions(), func(x hgstandin.Execution) bool { return x.Request == call.Request })
		t.Logf("old owner believes that it owns the shard: %t; answers: %v, %v", believes, err1, err2)
		if err2 != nil || runs != 1 {
			t.Errorf("%s: answer of the new owner: %v; the call ran %d times", program, err2, runs)
		}
		wire.setCut("")
		time.Sleep(2 * time.Second)
	}
}

// ownerSeen returns the owner of a program's shard as a node knows it.
func ownerSeen(t *testing.T, address, program string) string {
	t.Helper()
	client := hgcaller.NewClient(address)
	defer client.Close()
	var o hgfront.Overview
	if err := client.Get(t.Context(), address, "/v1/status", &o); err != nil {
		t.Fatal(err)
	}
	return o.Shards[hgshard.Of(program, uint32(len(o.Shards)))]
}

// locate returns the first address that a node names for a program.
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
