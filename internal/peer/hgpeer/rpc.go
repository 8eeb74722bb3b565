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

	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/state/hgfeed"
	"hyssopgrade/internal/state/hgledger"
)

const (
	// dialTimeout bounds a connection to a peer, which is half a millisecond away.
	dialTimeout = 300 * time.Millisecond
	// rpcName is the name of the service.
	rpcName = "Peer"
)

// service adapts a Handler to net/rpc.
type service struct{ h Handler }

// Beat exchanges heartbeats.
func (s service) Beat(b Beat, reply *Beat) error {
	*reply = s.h.Beat(b)
	return nil
}

// Table returns the copy of a table.
func (s service) Table(q TableRequest, reply *hgfeed.Copy) error {
	*reply = s.h.Table(q)
	return nil
}

// Open opens a turn.
func (s service) Open(q hgledger.OpenRequest, reply *hgledger.OpenReply) error {
	*reply = s.h.Open(q)
	return nil
}

// Close closes a turn.
func (s service) Close(q hgledger.CloseRequest, _ *Empty) error { return s.h.Close(q) }

// Copy holds a copy.
func (s service) Copy(c hgledger.Copy, reply *OKReply) error {
	*reply = s.h.Copy(c)
	return nil
}

// Part answers a question about a program.
func (s service) Part(q hgledger.SoleRequest, reply *hgledger.SoleReply) error {
	*reply = s.h.Part(q)
	return nil
}

// Seen returns known programs.
func (s service) Seen(_ Empty, reply *SeenReply) error {
	*reply = s.h.Seen()
	return nil
}

// Place gives a place.
func (s service) Place(a hgplacer.Ask, reply *PlaceReply) error {
	*reply = s.h.Place(a)
	return nil
}

// Leave ends a request for a place.
func (s service) Leave(q LeaveRequest, _ *Empty) error {
	s.h.Leave(q)
	return nil
}

// Serve answers peers on a listener until it is closed, and then closes their connections.
func Serve(l net.Listener, h Handler) (err error) {
	srv := rpc.NewServer()
	if err := srv.RegisterName(rpcName, service{h}); err != nil {
		return trace.Wrap(err)
	}
	var mu sync.Mutex
	conns := map[net.Conn]bool{}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for conn := range conns {
			conn.Close()
		}
	}()
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		mu.Lock()
		conns[conn] = true
		mu.Unlock()
		go func() {
			srv.ServeConn(conn)
			mu.Lock()
			delete(conns, conn)
			mu.Unlock()
		}()
	}
}

// Client speaks to peers; it is safe for concurrent use.
type Client struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	// dials are the connections that are being made, by address, so that messages at once share one.
	dials singleflight.Group

	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// NewClient returns a client without connections, which are secured if there are settings for that.
func NewClient(secure *tls.Config) *Client {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	c := &Client{dial: d.DialContext, conns: map[string]*rpc.Client{}}
	if secure != nil {
		c.dial = (&tls.Dialer{NetDialer: d, Config: secure}).DialContext
	}
	return c
}

// conn returns the connection to a peer. It connects without the lock, so that one dead peer holds up no others.
func (c *Client) conn(ctx context.Context, address string) (*rpc.Client, error) {
	if conn, ok := c.have(address); ok {
		return conn, nil
	}
	// The connection outlives the message that asks for it first, as others wait for it too.
	made := c.dials.DoChan(address, func() (any, error) {
		if conn, ok := c.have(address); ok {
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
	case r := <-made:
		if r.Err != nil {
			return nil, r.Err
		}
		return r.Val.(*rpc.Client), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// have returns the connection to a peer if there is one.
func (c *Client) have(address string) (conn *rpc.Client, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok = c.conns[address]
	return conn, ok
}

// drop closes a connection that failed or fell silent.
func (c *Client) drop(address string, conn *rpc.Client) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	conn.Close()
}

// call sends a message to a peer and waits for the answer until the context ends.
func call[Q, R any](ctx context.Context, c *Client, address, method string, q Q) (reply R, err error) {
	defer func() { err = trace.Wrap(err, "peer %s %s", address, method) }()
	conn, err := c.conn(ctx, address)
	if err != nil {
		return reply, err
	}
	// An answer that comes after the end of the context must not write into what the caller has by then.
	late := new(R)
	done := conn.Go(rpcName+"."+method, q, late, make(chan *rpc.Call, 1)).Done
	select {
	case r := <-done:
		if _, remote := r.Error.(rpc.ServerError); r.Error != nil && !remote {
			c.drop(address, conn)
		}
		return *late, r.Error
	case <-ctx.Done():
		// Only a heartbeat without an answer shows that the connection is silent; other messages may take their time.
		if method == "Beat" {
			c.drop(address, conn)
		}
		return reply, ctx.Err()
	}
}

// Beat exchanges heartbeats with a peer.
func (c *Client) Beat(ctx context.Context, address string, b Beat) (Beat, error) {
	return call[Beat, Beat](ctx, c, address, "Beat", b)
}

// Table returns a peer's copy of a table.
func (c *Client) Table(ctx context.Context, address, table string) (hgfeed.Copy, error) {
	return call[TableRequest, hgfeed.Copy](ctx, c, address, "Table", TableRequest{Table: table})
}

// Open opens a turn at a peer.
func (c *Client) Open(ctx context.Context, address string, q hgledger.OpenRequest) (hgledger.OpenReply, error) {
	return call[hgledger.OpenRequest, hgledger.OpenReply](ctx, c, address, "Open", q)
}

// Close closes a turn at a peer.
func (c *Client) Close(ctx context.Context, address string, q hgledger.CloseRequest) error {
	_, err := call[hgledger.CloseRequest, Empty](ctx, c, address, "Close", q)
	return err
}

// Copy gives a copy to a peer.
func (c *Client) Copy(ctx context.Context, address string, q hgledger.Copy) (OKReply, error) {
	return call[hgledger.Copy, OKReply](ctx, c, address, "Copy", q)
}

// Seen returns the programs that a peer knows of.
func (c *Client) Seen(ctx context.Context, address string) (SeenReply, error) {
	return call[Empty, SeenReply](ctx, c, address, "Seen", Empty{})
}

// Part asks what a peer knows to be taken of a program's budget.
func (c *Client) Part(ctx context.Context, address string, q hgledger.SoleRequest) (hgledger.SoleReply, error) {
	return call[hgledger.SoleRequest, hgledger.SoleReply](ctx, c, address, "Part", q)
}

// Place asks a peer for a place.
func (c *Client) Place(ctx context.Context, address string, a hgplacer.Ask) (PlaceReply, error) {
	return call[hgplacer.Ask, PlaceReply](ctx, c, address, "Place", a)
}

// Leave tells a peer that a place is free.
func (c *Client) Leave(ctx context.Context, address string, q LeaveRequest) error {
	_, err := call[LeaveRequest, Empty](ctx, c, address, "Leave", q)
	return err
}
