package hgpeer

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/state/hgledger"
)

const (
	// messageTimeout bounds the reception of one message of a peer. The largest hold a program's history, which takes a second or two.
	messageTimeout = 15 * time.Second
	// messageFactor is the memory that a message takes in relation to its bytes: gob's buffer grows by doubling, and the decoded value
	// is a copy.
	messageFactor = 2
)

// Bounds limit the connections and the memory of Serve; the zero value sets no limits.
type Bounds struct {
	// MaxConns is the number of connections; a further one closes the one that was silent for longest.
	MaxConns int
	// Memory bounds the bytes of all messages that are received, and of all texts of turns that are sent, at the same time.
	Memory *hgmemory.Account
	// Refused is called with the reason of each connection that is closed because of the bounds.
	Refused func(reason string)
}

// Reasons of closed connections.
const (
	refusedPeerConns  = "peer_conns_closed"
	refusedPeerMemory = "peer_memory_closed"
)

func (b Bounds) refused(reason string) {
	if b.Refused != nil {
		b.Refused(reason)
	}
}

// Serve handles the calls of peers on a listener until it is closed. It then closes all connections and returns the error of
// Accept.
func Serve(l net.Listener, h Handler, bounds Bounds) (err error) {
	srv := rpc.NewServer()
	if err := srv.RegisterName(rpcName, service{h: h, memory: bounds.Memory}); err != nil {
		return trace.Wrap(err)
	}
	conns := servedConns{bounds: bounds, open: map[*servedConn]bool{}}
	defer conns.closeAll()
	for {
		nc, err := l.Accept()
		if err != nil {
			return err
		}
		c := conns.add(nc)
		go func() {
			defer conns.remove(c)
			srv.ServeCodec(newCodec(c))
		}()
	}
}

// servedConns are the open connections of Serve.
type servedConns struct {
	bounds Bounds
	mu     sync.Mutex
	open   map[*servedConn]bool
}

// add adds a connection; at the bound it closes the one that was silent for longest.
func (s *servedConns) add(nc net.Conn) *servedConn {
	c := &servedConn{Conn: nc, conns: s, readAt: time.Now()}
	if s.bounds.Memory != nil {
		c.charge = s.bounds.Memory.Open(func() { nc.Close() })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bounds.MaxConns > 0 && len(s.open) >= s.bounds.MaxConns {
		var victim *servedConn
		for o := range s.open {
			if victim == nil || o.lastRead().Before(victim.lastRead()) {
				victim = o
			}
		}
		delete(s.open, victim)
		victim.Close()
		s.bounds.refused(refusedPeerConns)
	}
	s.open[c] = true
	return c
}

func (s *servedConns) remove(c *servedConn) {
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
	c.Close()
	if c.charge != nil {
		c.charge.Close()
	}
}

func (s *servedConns) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
}

// servedConn is a connection of a peer. It follows the frames of gob, each of which begins with its length: gob allocates a frame's
// bytes once it knows their number, so that they are charged before gob sees the length.
type servedConn struct {
	net.Conn
	conns *servedConns
	// charge is the charge for the frame that is received; nil if messages are not bounded.
	charge *hgmemory.Claim
	// left is the number of bytes of the frame that are still to come, and lengthLeft that of the frame's length, of which length holds
	// the bytes so far. Only the goroutine that reads uses these.
	left, length uint64
	lengthLeft   int

	mu     sync.Mutex
	readAt time.Time
}

func (c *servedConn) lastRead() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAt
}

// Read implements io.Reader.
func (c *servedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	c.readAt = time.Now()
	c.mu.Unlock()
	if frameErr := c.follow(p[:n]); frameErr != nil {
		return 0, frameErr
	}
	return n, err
}

// follow follows the frames in the bytes that were read. A length is one byte up to maxOneByte, or else a negated count of the bytes
// that hold it, as the documentation of encoding/gob describes.
func (c *servedConn) follow(p []byte) (err error) {
	const maxOneByte = 0x7f
	for len(p) > 0 {
		switch {
		case c.left > 0:
			n := min(c.left, uint64(len(p)))
			c.left -= n
			p = p[n:]
			continue
		case c.lengthLeft > 0:
			c.length = c.length<<8 | uint64(p[0])
			c.lengthLeft--
		case p[0] <= maxOneByte:
			c.length = uint64(p[0])
		default:
			c.length, c.lengthLeft = 0, -int(int8(p[0]))
		}
		p = p[1:]
		if c.lengthLeft == 0 {
			if err := c.beginFrame(); err != nil {
				return err
			}
		}
	}
	return nil
}

// maxMessageBytes is the largest frame that a peer may send, several times the longest history of a program.
const maxMessageBytes = 64 << 20

// beginFrame charges a frame and bounds the time of its reception.
func (c *servedConn) beginFrame() (err error) {
	c.left = c.length
	if err := c.SetReadDeadline(time.Now().Add(messageTimeout)); err != nil {
		return err
	}
	if c.charge == nil {
		return nil
	}
	c.charge.Reset()
	if c.length > maxMessageBytes {
		err = hgmemory.ErrTooLong
	} else {
		err = c.charge.Charge(messageFactor * int(c.length))
	}
	if err != nil {
		c.conns.bounds.refused(refusedPeerMemory)
	}
	return err
}

// endMessage ends the charge and the deadline of a message that is complete, unless the next one has begun.
func (c *servedConn) endMessage() (err error) {
	if c.left > 0 || c.lengthLeft > 0 {
		return nil
	}
	if c.charge != nil {
		c.charge.Reset()
	}
	return c.SetReadDeadline(time.Time{})
}

// codec is the codec of net/rpc for encoding/gob, with the end of each message reported to the connection.
type codec struct {
	conn *servedConn
	dec  *gob.Decoder
	enc  *gob.Encoder
	out  *bufio.Writer
}

func newCodec(c *servedConn) *codec {
	out := bufio.NewWriter(c)
	return &codec{conn: c, dec: gob.NewDecoder(c), enc: gob.NewEncoder(out), out: out}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error { return c.dec.Decode(r) }

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) (err error) {
	if err := c.dec.Decode(body); err != nil {
		return err
	}
	return c.conn.endMessage()
}

// WriteResponse implements rpc.ServerCodec. A response that cannot be encoded closes the connection, so that the caller does not wait.
func (c *codec) WriteResponse(r *rpc.Response, body any) (err error) {
	defer func() {
		if reply, ok := body.(*hgledger.OpenReply); ok && reply.Release != nil {
			reply.Release()
		}
		if err != nil {
			c.conn.Close()
		}
	}()
	if err := c.enc.Encode(r); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.out.Flush()
}

// Close implements rpc.ServerCodec.
func (c *codec) Close() error { return c.conn.Close() }
