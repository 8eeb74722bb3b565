package hgnoderpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgquarantine"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hgkey"
	"hyssopgrade/internal/serve/hgowner"
	"hyssopgrade/internal/serve/hgtransport"
)

// Client sends requests to the other nodes of the cell; it is safe for concurrent use.
type Client struct {
	key     string
	timer   hgtimer.Timer
	timeout time.Duration
	dial    Dial
	forward *http.Client

	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// Dial connects to a peer; tests replace it to cut the network.
type Dial func(ctx context.Context, network, address string) (conn net.Conn, err error)

// NewClient returns a client that waits at most the timeout for the reply to a control message. A nil dial means TCP.
func NewClient(key string, timer hgtimer.Timer, timeout time.Duration, dial Dial) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: timeout}).DialContext
	}
	return &Client{
		key: key, timer: timer, timeout: timeout, dial: dial, conns: map[string]*rpc.Client{},
		forward: &http.Client{Transport: hgtransport.New(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: 32})},
	}
}

// Beat sends a heartbeat to the node at address and returns that node's.
func (c *Client) Beat(address string, b Beat) (reply Beat, err error) {
	return invoke[Beat, Beat](c, address, "Inner.Beat", b)
}

// Preset returns the version of the preset that the node at address applies.
func (c *Client) Preset(address string) (reply PresetReply, err error) {
	return invoke[Empty, PresetReply](c, address, "Inner.Preset", Empty{})
}

// Suspect reports a request that was running when an endpoint died, or its clearing, to the node at address.
func (c *Client) Suspect(address string, s hgquarantine.Suspect) (err error) {
	_, err = invoke[hgquarantine.Suspect, Empty](c, address, "Inner.Suspect", s)
	return err
}

// EnterTurn asks the node at address whether a copy of a request may run now.
func (c *Client) EnterTurn(address string, t Turn) (ok bool, err error) {
	reply, err := invoke[Turn, TurnReply](c, address, "Inner.Enter", t)
	return reply.OK, err
}

// LeaveTurn reports to the node at address that a copy of a request has ended.
func (c *Client) LeaveTurn(address string, t Turn) (err error) {
	_, err = invoke[Turn, Empty](c, address, "Inner.Leave", t)
	return err
}

// Nudge tells the node at address to read the shard rows, because they have changed.
func (c *Client) Nudge(address string) (err error) {
	_, err = invoke[Empty, Empty](c, address, "Inner.Nudge", Empty{})
	return err
}

// invoke calls a method over the connection to address. After any error, or without a reply in time, it closes the
// connection, so that the next call dials again.
func invoke[A, R any](c *Client, address, method string, args A) (reply R, err error) {
	defer func() { err = trace.Wrap(err, "%s at %s", method, address) }()
	conn, err := c.conn(address)
	if err != nil {
		return reply, err
	}
	var got R
	call := conn.Go(method, args, &got, make(chan *rpc.Call, 1))
	timedOut := make(chan struct{})
	stop := c.timer.After(c.timeout, func(time.Duration) { close(timedOut) })
	defer stop()
	select {
	case <-call.Done:
		err = call.Error
	case <-timedOut:
		err = trace.ConnectionProblem(nil, "no reply within %s", c.timeout)
	}
	if err != nil {
		c.closeConn(address, conn)
		return reply, err
	}
	return got, nil
}

func (c *Client) conn(address string) (conn *rpc.Client, err error) {
	c.mu.Lock()
	conn = c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	conn, err = c.dialRPC(address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.conns[address]; old != nil {
		_ = conn.Close()
		return old, nil
	}
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) closeConn(address string, conn *rpc.Client) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// dialRPC opens a connection for net/rpc by an HTTP CONNECT that carries the cell's key.
func (c *Client) dialRPC(address string) (client *rpc.Client, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = conn.Close()
		}
	}()
	if err := conn.SetDeadline(time.Now().Add(c.timeout)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(conn, "CONNECT /inner/rpc HTTP/1.0\r\nAuthorization: Bearer %s\r\n\r\n", c.key); err != nil {
		return nil, err
	}
	w, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, err
	}
	if err := hgtransport.CheckFields(w.Header); err != nil {
		return nil, err
	}
	if w.Status != connectedStatus {
		return nil, trace.AccessDenied("inner port refused the control connection: status %q", w.Status)
	}
	return rpc.NewClient(conn), conn.SetDeadline(time.Time{})
}

// Close closes the control connections and the idle connections of forwarded calls.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = map[string]*rpc.Client{}
	c.forward.CloseIdleConnections()
}

// Call forwards a call to the node at address and passes the pieces of its output to out. The error is a *hgowner.NotOwner or
// a *hgcall.Refusal if the node answered so, and of another type if the forwarding failed. sent reports whether any piece
// was passed to out.
func (c *Client) Call(ctx context.Context, address string, call hgcall.Call, out hgowner.Sink) (r hgcall.Result, sent bool, err error) {
	return c.post(ctx, address, "/inner/call", call, out)
}

// End asks the node at address to end a program; it returns the same errors as Call.
func (c *Client) End(ctx context.Context, address, program string) (err error) {
	_, _, err = c.post(ctx, address, "/inner/end", Query{Program: program}, nil)
	return err
}

// Query asks the node at address about a program; it returns the same errors as Call.
func (c *Client) Query(ctx context.Context, address string, q Query) (a Answer, err error) {
	r, _, err := c.post(ctx, address, "/inner/query", q, nil)
	if err != nil {
		return a, err
	}
	return a, json.Unmarshal(r.Answer, &a)
}

func (c *Client) post(ctx context.Context, address, path string, body any, out hgowner.Sink) (r hgcall.Result, sent bool, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return r, false, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return r, false, err
	}
	hgkey.Set(req.Header, c.key)
	if out != nil {
		req.Header.Set("X-Stream", "1")
	}
	w, err := c.forward.Do(req)
	if err != nil {
		return r, false, err
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		return r, false, trace.ConnectionProblem(nil, "inner port answered with status %q", w.Status)
	}
	return readFrames(w.Body, out)
}

// readFrames reads an answer up to its last frame and passes the pieces to out, until out fails; out may be nil.
func readFrames(body io.Reader, out hgowner.Sink) (r hgcall.Result, sent bool, err error) {
	d := json.NewDecoder(body)
	for {
		var f Frame
		if err := d.Decode(&f); err != nil {
			return r, sent, errors.Join(io.ErrUnexpectedEOF, err)
		}
		switch {
		case f.NotOwner:
			return r, sent, &hgowner.NotOwner{}
		case f.Refusal != nil:
			return r, sent, f.Refusal
		case f.Result != nil:
			return *f.Result, sent, nil
		case out != nil:
			sent = true
			if err := out.Piece(f.Piece); err != nil {
				out = nil
			}
		}
	}
}
