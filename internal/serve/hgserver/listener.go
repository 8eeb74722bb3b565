package hgserver

import (
	"errors"
	"net"
	"os"
	"time"
)

// listener accepts the connections of a server.
type listener struct {
	net.Listener
	server *Server
}

// Accept waits for a connection. While the server stops it returns net.ErrClosed once no connection waits.
func (l *listener) Accept() (nc net.Conn, err error) {
	for {
		nc, err = l.Listener.Accept()
		switch {
		case err == nil:
			if c := l.server.addConn(nc); c != nil {
				return c, nil
			}
			continue
		case !l.server.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case !isReadable(l.Listener):
			return nil, net.ErrClosed
		}
		// An expired deadline fails an accept even if a connection waits.
		l.setDeadline(time.Now().Add(acceptTimeout))
	}
}

// acceptTimeout bounds an accept of a connection that waits already.
const acceptTimeout = 10 * time.Millisecond

// drain makes Accept return only the connections that wait already.
func (l *listener) drain() { l.setDeadline(time.Now()) }

// setDeadline sets the deadline of accepts. A listener that has none, or that is closed, is closed.
func (l *listener) setDeadline(t time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok && d.SetDeadline(t) == nil {
		return
	}
	if err := l.Close(); err != nil {
		l.server.log.Debug("listener already closed", "error", err)
	}
}

// Close closes the listener. Connections that wait to be accepted are reset by the system.
func (l *listener) Close() (err error) {
	if isReadable(l.Listener) {
		l.server.log.Warn("listener closed while a connection waited to be accepted", "address", l.Addr().String())
	}
	return l.Listener.Close()
}
