package hgtransport

import (
	"context"
	"net"
	"net/http"
)

// Dial opens a connection, as the method DialContext of net.Dialer does.
type Dial func(ctx context.Context, network, address string) (conn net.Conn, err error)

// New returns a copy of a transport whose connections end with io.EOF only if the peer has closed its side in order.
func New(base *http.Transport) *http.Transport {
	t := base.Clone()
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return t
}
