package hgcell

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/proof/hgreplay"
)

func TestReplayOfShippedTraces(t *testing.T) {
	for _, name := range []string{"derwent", "fjordbom"} {
		t.Run(name, func(t *testing.T) {
			programs, err := hgreplay.Shipped(name)
			if err != nil {
				t.Fatal(err)
			}
			c, err := NewCell(DemoOptions(hglog.Discard()))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if err := c.WaitReady(); err != nil {
				t.Fatal(err)
			}
			r := c.Replay(t.Context(), programs, hgreplay.Options{
				Speed: 2, Deadline: 20 * time.Second, RetryWindow: 20 * time.Second, Progress: func(int, int) {},
			})
			if diff := cmp.Diff([]string{}, r.Violations); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(len(programs), r.Done); diff != "" {
				t.Errorf("programs done (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFreeAddress checks that each address has a host of its own, other than 127.0.0.1. A port of a host from which connections are
// made may be taken: the kernel may have given it to an outgoing connection.
func TestFreeAddress(t *testing.T) {
	hosts := map[string]bool{"127.0.0.1": true}
	for range 20 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil || hosts[host] {
			t.Errorf("address %q has a host in use (%v)", address, err)
		}
		hosts[host] = true
	}
}
