package hgtransport

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
)

// Dial opens a connection, as the method DialContext of net.Dialer does.
type Dial func(ctx context.Context, network, address string) (conn net.Conn, err error)

// Transport is an http.RoundTripper for HTTP/1 that takes no broken message for an answer.
type Transport struct{ base *http.Transport }

// New returns a Transport with the settings of base, whose DialContext opens all connections.
func New(base *http.Transport) *Transport {
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
	return &Transport{base: t}
}

// CloseIdleConnections closes the connections without a request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. An answer that CheckFields rejects is an error, and its connection is not used again.
func (t *Transport) RoundTrip(r *http.Request) (w *http.Response, err error) {
	x := &exchange{maxHeaderBytes: cmp.Or(t.base.MaxResponseHeaderBytes, defaultMaxHeaderBytes)}
	w, err = t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), x.hooks())))
	if err != nil {
		return nil, err
	}
	if err := CheckFields(w.Header); err != nil {
		// The transport may have put the connection of an answer without a body back into its pool already.
		x.conn.Load().Close()
		w.Body.Close()
		return nil, err
	}
	if len(w.TransferEncoding) > 0 {
		w.Body = &chunkedBody{ReadCloser: w.Body, answer: w, conn: x.conn.Load()}
	}
	return w, nil
}

// ErrFieldName means that a field name holds a blank. The field may be meant to be another one, such as the length of the body.
var ErrFieldName = errors.New("answer has a field name with a blank")

// CheckFields returns an error if HTTP does not allow the name of a field that net/http has read. Only blanks are left to look for:
// net/http keeps them in names and rejects all other bytes that these may not hold.
func CheckFields(h http.Header) (err error) {
	for name := range h {
		if strings.Contains(name, " ") {
			return ErrFieldName
		}
	}
	return nil
}

// defaultMaxHeaderBytes is the default of http.Transport.
const defaultMaxHeaderBytes = 10 << 20

// errPreliminary means that the preliminary (1xx) heads before an answer are too many or too long.
var errPreliminary = errors.New("too many preliminary answers")

// exchange is one request and its answer.
type exchange struct {
	maxHeaderBytes int64
	// conn is the connection of the last try to send the request; net/http tries again if a connection was closed while idle.
	conn atomic.Pointer[conn]
}

func (x *exchange) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: x.begin, Got1xxResponse: x.checkPreliminary}
}

func (x *exchange) begin(i httptrace.GotConnInfo) {
	c := i.Conn
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	x.conn.Store(c.(*conn))
	x.conn.Load().received.Store(0)
}

// checkPreliminary checks a preliminary head. With this hook net/http bounds only each of them, not all together.
func (x *exchange) checkPreliminary(_ int, h textproto.MIMEHeader) (err error) {
	if x.conn.Load().received.Load() > x.maxHeaderBytes {
		return errPreliminary
	}
	return CheckFields(http.Header(h))
}

// chunkedBody is a body in chunks, whose end is an error if CheckFields rejects the trailer.
type chunkedBody struct {
	io.ReadCloser
	answer *http.Response
	conn   *conn
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := CheckFields(b.answer.Trailer); err != nil {
		b.conn.Close()
		return n, err
	}
	return n, io.EOF
}
