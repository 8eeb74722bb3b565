package hgentry

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// connUse records how the transport used a connection for one request. The transport calls its hooks from several goroutines.
type connUse struct {
	conn atomic.Pointer[net.Conn]
	// wroteHeaders says that the head of the request was handed to the connection.
	wroteHeaders atomic.Bool
}

func (u *connUse) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { u.conn.Store(&i.Conn) },
		WroteHeaders: func() { u.wroteHeaders.Store(true) },
	}
}

// close closes the connection, so that the transport does not reuse it.
func (u *connUse) close() {
	if conn := u.conn.Load(); conn != nil {
		(*conn).Close()
	}
}
