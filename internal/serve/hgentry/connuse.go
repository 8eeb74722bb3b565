package hgentry

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// connUse records how the transport used a connection for one request. The transport calls its hooks from several goroutines.
type connUse struct {
	conn atomic.Pointer[net.Conn]
	// reused says that the connection was idle before, or carried other requests.
	reused atomic.Bool
	// wroteHeaders says that the head of the request was handed to the connection, and early that a response began before.
	wroteHeaders, early atomic.Bool
}

func (u *connUse) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			u.conn.Store(&i.Conn)
			u.reused.Store(i.Reused)
		},
		WroteHeaders:         func() { u.wroteHeaders.Store(true) },
		GotFirstResponseByte: func() { u.early.Store(!u.wroteHeaders.Load()) },
	}
}

// isFirstExchange reports whether the response is the first one on its connection and began after the headers of the request were
// written. Only then it can't be a late or repeated response to another request.
func (u *connUse) isFirstExchange() bool { return !u.reused.Load() && !u.early.Load() }

// close closes the connection, so that the transport does not reuse it.
func (u *connUse) close() {
	if conn := u.conn.Load(); conn != nil {
		(*conn).Close()
	}
}
