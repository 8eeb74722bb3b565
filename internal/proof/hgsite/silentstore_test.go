package hgsite_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/proof/hgsite"
)

// silentProxy is a TCP proxy whose open connections can go silent for good, while new ones work.
type silentProxy struct {
	address string
	// epoch counts the silences; connections of earlier epochs deliver nothing.
	epoch atomic.Int64
}

// newSilentProxy starts a proxy in front of an address.
func newSilentProxy(t *testing.T, target string) *silentProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &silentProxy{address: l.Addr().String()}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			epoch := p.epoch.Load()
			go p.relay(out, in, epoch)
			go p.relay(in, out, epoch)
		}
	}()
	return p
}

// silence makes all open connections silent.
func (p *silentProxy) silence() { p.epoch.Add(1) }

func (p *silentProxy) relay(to, from net.Conn, epoch int64) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if p.epoch.Load() == epoch && n > 0 {
			_, err = to.Write(buf[:n])
		}
		if err != nil {
			break
		}
	}
	if p.epoch.Load() != epoch {
		_, _ = io.Copy(io.Discard, from) // a silent connection does not tell of the other side's close
	}
}

// Guards against connections to the store that have gone silent and are tried one after the other, while a removed replica gets requests
// and a new desired state is not applied.
func TestSilentConnectionsToStoreDelayNoChange(t *testing.T) {
	const (
		vms = 3
		// removedAfter is the time from the silence to the changes, drainLimit the one within which they have to take effect, and
		// contactTime that after which the VMs are in touch again.
		removedAfter = 200 * time.Millisecond
		drainLimit   = 2 * time.Second
		contactTime  = 3 * time.Second
	)
	s := newSite(t, 0)
	var proxies []*silentProxy
	for i := range vms {
		p := newSilentProxy(t, s.StoreAddress())
		proxies = append(proxies, p)
		cfg, err := s.AddConfig(p.address)
		if err != nil {
			t.Fatal(err)
		}
		cfg.VM.FirstStart = true
		s.Configs[i], s.Nodes = cfg, append(s.Nodes, nil)
		if err := s.StartNode(i); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.WaitReady(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	for i := range vms {
		// The lookup of a turn in all partitions opens many connections at once.
		if reply := call(t, s, i, hgsite.Turn(hgsite.ThreadPath, fmt.Sprint("p", i), "unknown", "x")); reply.Status != http.StatusNotFound {
			t.Errorf("turn that continues an unknown one: status %d", reply.Status)
		}
	}
	time.Sleep(contactTime)
	began := time.Now()
	for _, p := range proxies {
		p.silence()
	}
	time.Sleep(removedAfter)
	if err := s.Unregister("tool-1"); err != nil {
		t.Fatal(err)
	}
	next := hgsite.Desired(2)
	next.Routes[2].PathPrefix = "/renamed/"
	if err := s.SetDesired(next); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(began.Add(max(contactTime, removedAfter+drainLimit))))
	before := len(s.Replicas["tool-1"].Runs())
	type result struct{ Charge, Renamed int }
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i := range vms {
			got := result{
				call(t, s, i, hgsite.Turn(hgsite.ChargePath, "", "", "charge")).Status,
				call(t, s, i, hgsite.Turn("/renamed/", "", "", "check")).Status,
			}
			if diff := cmp.Diff(result{http.StatusOK, http.StatusOK}, got); diff != "" {
				t.Fatalf("VM %d, %v after the silence (-want +got):\n%s", i, time.Since(began), diff)
			}
		}
	}
	if n := len(s.Replicas["tool-1"].Runs()) - before; n > 0 {
		t.Errorf("a replica that was removed %v before got %d requests", contactTime-removedAfter, n)
	}
}
