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
	// mayDispatch is asked before anything is written to the connection; its error, in refused, closes the connection instead.
	mayDispatch func() error
	refused     atomic.Pointer[error]
}

func (u *connUse) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:      u.gotConn,
		WroteHeaders: func() { u.wroteHeaders.Store(true) },
	}
}

// gotConn is called when the transport has a connection, before it writes to it.
func (u *connUse) gotConn(i httptrace.GotConnInfo) {
	u.conn.Store(&i.Conn)
	if err := u.mayDispatch(); err != nil {
		u.refused.Store(&err)
		i.Conn.Close()
	}
}

// close closes the connection, so that the transport does not reuse it.
func (u *connUse) close() {
	if conn := u.conn.Load(); conn != nil {
		(*conn).Close()
	}
}
