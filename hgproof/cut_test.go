package hgproof

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgcaller"
	"hyssopgrade/hgcell"
	"hyssopgrade/hgconfig"
	"hyssopgrade/hginner"
	"hyssopgrade/hglog"
	"hyssopgrade/hgreplay"
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

// TestCutBetweenNodes cuts one node after the other from its peers, past the takeover, while a trace is replayed through
// all of them; each still reaches the store and the endpoints. No outcome is wrong, and every program gets its answer.
func TestCutBetweenNodes(t *testing.T) {
	programs, err := hgreplay.Shipped("derwent")
	if err != nil {
		t.Fatal(err)
	}
	wire := &network{addresses: map[string]string{}}
	opts := hgcell.Demo(hglog.Discard())
	opts.Nodes = 4
	opts.Dial = wire.dial
	opts.Change = func(cfg *hgconfig.Config) {
		cfg.Limits.HeartbeatMs, cfg.Limits.SilentMs, cfg.Limits.PollMs = 200, 1000, 500
		cfg.Limits.DispatchWindowMs, cfg.Limits.StaleMs = 1000, 4000
		wire.addresses[cfg.Node.Inner] = cfg.Node.ID
	}
	c, err := hgcell.NewCell(opts)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.WaitReady(); err != nil {
		t.Fatal(err)
	}
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
	r.CheckRecords(c.Record())
	t.Logf("done %d, undone %d, refusals %v, latency %+v", r.Done, r.Undone, r.Refusals, r.Latency())
	if diff := cmp.Diff([]string{}, r.Violations); diff != "" {
		t.Errorf("violations (-want +got):\n%s", diff)
	}
	if r.Undone > 0 {
		t.Errorf("%d programs have no answer", r.Undone)
	}
}
