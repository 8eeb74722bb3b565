package hgpeer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/singleflight"

	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/state/hgfeed"
	"hyssopgrade/internal/state/hgledger"
)

const (
	// dialTimeout bounds the connection to a peer; the latency to a peer is 0.5 ms.
	dialTimeout = 300 * time.Millisecond
	// rpcName is the name of the net/rpc service; it is part of the protocol between nodes.
	rpcName = "Peer"
)

// service adapts a Handler to net/rpc. Its method names are part of the protocol between nodes.
type service struct {
	h Handler
	// memory is what the texts of turns that are sent are charged to; nil sets no bound.
	memory *hgmemory.Account
}

// Beat replies to a heartbeat with this node's own.
func (s service) Beat(b Beat, reply *Beat) error {
	*reply = s.h.Beat(b)
	return nil
}

// Table replies with this node's copy of a watched table.
func (s service) Table(q TableRequest, reply *hgfeed.Snapshot) error {
	*reply = s.h.Table(q)
	return nil
}

// Open opens a turn in this node's ledger. A refusal is a verdict in the reply, not an error.
func (s service) Open(q hgledger.OpenRequest, reply *hgledger.OpenReply) error {
	if s.memory == nil {
		*reply = s.h.Open(q)
		return nil
	}
	claim := s.memory.Open(func() {})
	q.Charge = func(bytes int) error { return claim.Hold(messageFactor * bytes) }
	*reply = s.h.Open(q)
	reply.Release = claim.Close
	return nil
}

// Close settles a turn that this node opened.
func (s service) Close(q hgledger.CloseRequest, _ *Empty) error { return s.h.Close(q) }

// Extend adds tokens to the reservation of a turn that this node opened.
func (s service) Extend(q hgledger.ExtendRequest, reply *hgledger.ExtendReply) error {
	*reply = s.h.Extend(q)
	return nil
}

// Copy stores a copy of the calling node's claim on a program's budget.
func (s service) Copy(c hgledger.Copy, reply *OKReply) error {
	*reply = s.h.Copy(c)
	return nil
}

// Part replies with the claims on a program's budget that this node knows of.
func (s service) Part(q hgledger.SoleRequest, reply *hgledger.SoleReply) error {
	*reply = s.h.Part(q)
	return nil
}

// Seen replies with the digests of the programs that this node knows.
func (s service) Seen(_ Empty, reply *SeenReply) error {
	*reply = s.h.Seen()
	return nil
}

// Place reserves a place on a replica, as the placer of the calling node's failure domain.
func (s service) Place(a hgplacer.PlaceRequest, reply *PlaceReply) error {
	*reply = s.h.Place(a)
	return nil
}

// Leave cancels a request for a place, or releases the place.
func (s service) Leave(q LeaveRequest, _ *Empty) error {
	s.h.Leave(q)
	return nil
}

// Cap grants leases on the usage caps of teams.
func (s service) Cap(q CapRequest, reply *CapReply) error {
	*reply = s.h.Cap(q)
	return nil
}

// Client calls peers over one connection to each; it is safe for concurrent use.
type Client struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	// dials are the connections that are being established, by address, so that concurrent calls share one.
	dials singleflight.Group

	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// NewClient returns a Client that connects on demand, over TLS unless secure is nil.
func NewClient(secure *tls.Config) *Client {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	c := &Client{dial: d.DialContext, conns: map[string]*rpc.Client{}}
	if secure != nil {
		c.dial = (&tls.Dialer{NetDialer: d, Config: secure}).DialContext
	}
	return c
}

// conn returns the connection to a peer, established if necessary. It dials without holding the lock, so that one dead peer
// does not delay calls to others.
func (c *Client) conn(ctx context.Context, address string) (*rpc.Client, error) {
	if conn, ok := c.existing(address); ok {
		return conn, nil
	}
	// The dial is not canceled with the call that starts it, because other calls may wait for the same connection.
	dialed := c.dials.DoChan(address, func() (any, error) {
		if conn, ok := c.existing(address); ok {
			return conn, nil
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
		defer cancel()
		raw, err := c.dial(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		conn := rpc.NewClient(raw)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.conns[address] = conn
		return conn, nil
	})
	select {
	case r := <-dialed:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*rpc.Client), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// existing returns the established connection to a peer, if there is one.
func (c *Client) existing(address string) (conn *rpc.Client, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok = c.conns[address]
	return conn, ok
}

// drop closes a connection that failed or no longer answers, and removes it unless it has been replaced.
func (c *Client) drop(address string, conn *rpc.Client) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	conn.Close()
}

// call calls a method of a peer and waits for the reply until the context ends. The request may still be read after that, so it must
// not change.
func call[Q, R any](ctx context.Context, c *Client, address, method string, q Q) (reply R, err error) {
	defer func() { err = trace.Wrap(err, "call to peer %s, method %s", address, method) }()
	conn, err := c.conn(ctx, address)
	if err != nil {
		return reply, err
	}
	// A reply that arrives after the context has ended must not write into the value that the caller got.
	result := new(R)
	done := make(chan *rpc.Call, 1)
	// Sending blocks while the connection takes no bytes, also for the calls behind the first one that does not fit.
	go conn.Go(rpcName+"."+method, q, result, done)
	select {
	case r := <-done:
		if _, remote := r.Error.(rpc.ServerError); r.Error != nil && !remote {
			c.drop(address, conn)
		}
		return *result, r.Error
	case <-ctx.Done():
		// Only a heartbeat that times out shows that the connection is dead; other calls may legitimately take longer.
		if method == "Beat" {
			c.drop(address, conn)
		}
		return reply, ctx.Err()
	}
}

// Beat sends a heartbeat to a peer and returns the reply. If ctx ends first, the connection is closed as dead.
func (c *Client) Beat(ctx context.Context, address string, b Beat) (Beat, error) {
	return call[Beat, Beat](ctx, c, address, "Beat", b)
}

// Table returns a peer's copy of a watched table.
func (c *Client) Table(ctx context.Context, address, table string) (hgfeed.Snapshot, error) {
	return call[TableRequest, hgfeed.Snapshot](ctx, c, address, "Table", TableRequest{Table: table})
}

// Open asks a peer to open a turn in its ledger.
func (c *Client) Open(ctx context.Context, address string, q hgledger.OpenRequest) (hgledger.OpenReply, error) {
	return call[hgledger.OpenRequest, hgledger.OpenReply](ctx, c, address, "Open", q)
}

// Close asks the peer that opened a turn to settle it.
func (c *Client) Close(ctx context.Context, address string, q hgledger.CloseRequest) error {
	_, err := call[hgledger.CloseRequest, Empty](ctx, c, address, "Close", q)
	return err
}

// Extend asks the peer that opened a turn for more tokens.
func (c *Client) Extend(ctx context.Context, address string, q hgledger.ExtendRequest) (hgledger.ExtendReply, error) {
	return call[hgledger.ExtendRequest, hgledger.ExtendReply](ctx, c, address, "Extend", q)
}

// Copy asks a peer to hold a copy of this node's claim on a program's budget.
func (c *Client) Copy(ctx context.Context, address string, q hgledger.Copy) (OKReply, error) {
	return call[hgledger.Copy, OKReply](ctx, c, address, "Copy", q)
}

// Seen returns the digests of the programs that a peer knows.
func (c *Client) Seen(ctx context.Context, address string) (SeenReply, error) {
	return call[Empty, SeenReply](ctx, c, address, "Seen", Empty{})
}

// Part asks a peer for the claims on a program's budget that it knows of.
func (c *Client) Part(ctx context.Context, address string, q hgledger.SoleRequest) (hgledger.SoleReply, error) {
	return call[hgledger.SoleRequest, hgledger.SoleReply](ctx, c, address, "Part", q)
}

// Place requests a place on a replica from the placer.
func (c *Client) Place(ctx context.Context, address string, a hgplacer.PlaceRequest) (PlaceReply, error) {
	return call[hgplacer.PlaceRequest, PlaceReply](ctx, c, address, "Place", a)
}

// Leave tells the placer that a request for a place is canceled, or that the place is free.
func (c *Client) Leave(ctx context.Context, address string, q LeaveRequest) error {
	_, err := call[LeaveRequest, Empty](ctx, c, address, "Leave", q)
	return err
}

// Cap asks the owner of teams for leases on their usage caps, or for the teams themselves.
func (c *Client) Cap(ctx context.Context, address string, q CapRequest) (CapReply, error) {
	return call[CapRequest, CapReply](ctx, c, address, "Cap", q)
}
