package hgentry

import (
	"context"
	"net"
)

// connKey is the key of the caller's connection in the context of a request.
type connKey struct{}

// ConnContext adds the caller's connection to the context of its requests; servers of an Entry use it as their ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// setResetOnClose sets whether closing the caller's connection resets it. To a caller that speaks HTTP/1.0 an orderly close marks
// the end of a stream, so that a stream has to end with a reset if it breaks off or the process ends. HTTP/1.1 has chunks for that.
func (x *exchange) setResetOnClose(reset bool) {
	conn, ok := x.r.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error })
	if !ok || x.r.ProtoAtLeast(1, 1) {
		return
	}
	linger := -1
	if reset {
		linger = 0
	}
	if err := conn.SetLinger(linger); err != nil {
		x.entry.log.Debug("connection is closed already", "attempt", x.attempt.ID, "error", err)
	}
}
