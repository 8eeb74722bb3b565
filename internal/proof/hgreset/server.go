package hgreset

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

const (
	// bufferBytes is the size of the buffers of a connection, in which a long upload does not fit.
	bufferBytes = 64 << 10
	// readBytes is the part of an upload that a server reads before it answers and resets the connection.
	readBytes = 100
)

// Answer is the answer to a request, byte for byte.
type Answer struct {
	Data string
	// Reset says that the answer is sent before the upload was read, and the connection reset behind it.
	Reset bool
}

// Server answers requests.
type Server struct {
	// Answer returns the answer to a request whose body is still to be read.
	Answer func(r *http.Request) Answer
}

// Serve answers the requests of all connections until the listener is closed.
func (s Server) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn.(*net.TCPConn))
	}
}

// serveConn ends at the first error, as a client may leave at any time.
func (s Server) serveConn(conn *net.TCPConn) {
	defer conn.Close()
	if err := conn.SetReadBuffer(bufferBytes); err != nil {
		return
	}
	in := bufio.NewReaderSize(conn, readBytes)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		a := s.Answer(r)
		body := io.Reader(r.Body)
		if a.Reset {
			body = io.LimitReader(body, readBytes)
		}
		if _, err := io.Copy(io.Discard, body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, a.Data); err != nil {
			return
		}
		if a.Reset {
			_ = conn.SetLinger(0) // fails only on a connection that is closed
			return
		}
	}
}
