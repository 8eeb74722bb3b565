package hgtransport

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/proof/hgreset"
)

// ends are the ways in which a peer ends a connection under an upload.
var ends = map[string]struct {
	end func(c *net.TCPConn)
	err error
}{
	"reset": {func(c *net.TCPConn) { _ = c.SetLinger(0) }, syscall.ECONNRESET},
	"closed in order, then reset": {func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
	}, nil},
	"closed in order, read to the end": {func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}, nil},
}

// listen starts a peer that reads a part of what each client sends, sends "part" and ends the connection.
func listen(t *testing.T, end func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
				_, _ = io.CopyN(io.Discard, c, 100)
				_, _ = io.WriteString(c, "part")
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// socketless hides the socket of a connection, as on a system that does not tell its state.
type socketless struct{ net.Conn }

// Guards against a part of an answer that counts as whole because a write, and not a read, has got the error of the connection.
func TestReadsEndOnlyInOrder(t *testing.T) {
	for name, tt := range ends {
		for wrapped, wrap := range map[string]func(c net.Conn) net.Conn{
			"socket":    func(c net.Conn) net.Conn { return c },
			"no socket": func(c net.Conn) net.Conn { return socketless{c} },
		} {
			t.Run(name+", "+wrapped, func(t *testing.T) {
				raw, err := hgreset.Dial(t.Context(), "tcp", listen(t, tt.end))
				if err != nil {
					t.Fatal(err)
				}
				c := &conn{Conn: wrap(raw)}
				defer c.Close()
				go func() { _, _ = c.Write(make([]byte, 1<<20)) }()
				got, err := io.ReadAll(c)
				if !errors.Is(err, tt.err) {
					t.Errorf("error %v, want %v", err, tt.err)
				}
				if diff := cmp.Diff("part", string(got)); diff != "" {
					t.Errorf("bytes (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// Guards against an answer that is held up until its request was sent, by a peer that has closed its side in order.
func TestEndInOrderDoesNotWaitForUpload(t *testing.T) {
	ended := make(chan struct{})
	address := listen(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-ended
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c := &conn{Conn: raw}
	context.AfterFunc(ctx, func() { c.Close() })
	go func() { _, _ = c.Write(make([]byte, 64<<20)) }()
	if got, err := io.ReadAll(c); err != nil || string(got) != "part" {
		t.Errorf("%q, error %v", got, err)
	}
	close(ended)
}
