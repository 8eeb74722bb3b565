package hgpeer_test

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/proof/hgstandin"
)

func newAuthority(t testing.TB) *hgstandin.Authority {
	t.Helper()
	a, err := hgstandin.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// secure returns the TLS configuration of a node whose certificate is signed by signer and expires at end, and that trusts
// the authority trusted.
func secure(t testing.TB, signer, trusted *hgstandin.Authority, end time.Time) *tls.Config {
	t.Helper()
	cert, key, err := signer.Sign("node", end)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := hgpeer.TLSConfig(cert, key, trusted.File)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// echo is a Handler that returns heartbeats; the tests make no other calls.
type echo struct{ hgpeer.Handler }

func (echo) Beat(b hgpeer.Beat) hgpeer.Beat { return b }

// serve runs a server with an echo handler until the test ends.
func serve(t testing.TB, cfg *tls.Config) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	address = l.Addr().String()
	if cfg != nil {
		l = tls.NewListener(l, cfg)
	}
	go func() { _ = hgpeer.Serve(l, echo{}, hgpeer.Bounds{}) }()
	return address
}

// A node with TLS keys must not exchange messages with a peer that has no certificate, one of another authority, or an expired
// one. Both the server and the client have to check.
func TestSecure(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	valid, past := time.Now().Add(time.Hour), time.Now().Add(-time.Minute)
	tests := map[string]struct {
		server, client *tls.Config
		ok             bool
	}{
		"both signed":              {secure(t, ours, ours, valid), secure(t, ours, ours, valid), true},
		"plain":                    {nil, nil, true},
		"client signed by another": {secure(t, ours, ours, valid), secure(t, theirs, ours, valid), false},
		"server signed by another": {secure(t, theirs, ours, valid), secure(t, ours, ours, valid), false},
		"client plain":             {secure(t, ours, ours, valid), nil, false},
		"client's is out of date":  {secure(t, ours, ours, valid), secure(t, ours, ours, past), false},
		"server's is out of date":  {secure(t, ours, ours, past), secure(t, ours, ours, valid), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := hgpeer.NewClient(tt.client).Beat(ctx, serve(t, tt.server), hgpeer.Beat{Info: info("a", "north")})
			if (err == nil) != tt.ok {
				t.Errorf("error %v, want success %v", err, tt.ok)
			}
		})
	}
}

func BenchmarkBeat(b *testing.B) {
	ours := newAuthority(b)
	valid := time.Now().Add(time.Hour)
	for name, cfg := range map[string]*tls.Config{"plain": nil, "secured": secure(b, ours, ours, valid)} {
		b.Run(name, func(b *testing.B) {
			address, client := serve(b, cfg), hgpeer.NewClient(cfg)
			for b.Loop() {
				if _, err := client.Beat(b.Context(), address, hgpeer.Beat{Info: info("a", "north")}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
