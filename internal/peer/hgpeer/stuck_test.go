package hgpeer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgturn"
)

// Guards against calls that outlive their context because a peer, as one that is paused, accepts connections and reads nothing: a
// long turn fills the connection, and the calls after it wait for their turn to be sent.
func TestCallsToPeerThatReadsNothingEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
		}
	}()
	c, address := hgpeer.NewClient(nil), l.Addr().String()
	const limit = 300 * time.Millisecond
	calls := map[string]func(ctx context.Context) error{
		"close": func(ctx context.Context) error {
			return c.Close(ctx, address, hgledger.CloseRequest{Turn: &hgturn.Turn{ID: "t", Input: make([]byte, 32<<20)}})
		},
		"heartbeat": func(ctx context.Context) error {
			_, err := c.Beat(ctx, address, hgpeer.Beat{})
			return err
		},
		"extend": func(ctx context.Context) error {
			_, err := c.Extend(ctx, address, hgledger.ExtendRequest{})
			return err
		},
	}
	for _, name := range []string{"close", "heartbeat", "extend", "close", "extend"} {
		ended := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			ended <- calls[name](ctx)
		}()
		select {
		case err := <-ended:
			if err == nil {
				t.Errorf("%s: a peer that reads nothing has answered", name)
			}
		case <-time.After(10 * limit):
			t.Errorf("%s: no end after %v, the limit is %v", name, 10*limit, limit)
		}
	}
}
