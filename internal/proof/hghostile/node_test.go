package hghostile_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/proof/hgloopback"
	"hyssopgrade/internal/proof/hgstandin"
)

// startNode starts a store, a tool and the process of one node with the given descriptors and further endpoints, and waits until it answers.
func startNode(t *testing.T, descriptors int, endpoints ...hgconfig.Endpoint) (p *process, cfg hgconfig.Config) {
	t.Helper()
	store, err := hgstandin.NewPlatform("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	tool, err := hgstandin.NewEndpoint("127.0.0.1:0", hgstandin.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { tool.Close() })
	addresses, err := hgloopback.FreeAddresses(2)
	if err != nil {
		t.Fatal(err)
	}
	cfg = hgconfig.Default()
	cfg.Node.ID, cfg.Node.Domain, cfg.Node.KeyEnv = "node-0", "north", "HYSSOPGRADE_KEY"
	cfg.Node.Public, cfg.Node.Inner = addresses[0], addresses[1]
	cfg.Node.Shards = 16 // one node claims them in one transaction, which the store bounds
	cfg.Platform.Address = store.Address()
	cfg.Endpoint = append(endpoints, hgconfig.Endpoint{ID: "tool-0", Kind: hgconfig.Tool, Address: tool.Address(), Domain: "north", Targets: []string{"register"}})
	cfg.Limits.MemoryMB, cfg.Limits.MaxDescriptors, cfg.Limits.MaxBodyBytes = memoryMB, descriptors, bodyLimit
	return startProcess(t, "node", cfg, memoryMB, descriptors, func(ctx context.Context) (fault string) {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addresses[0]+"/metrics", nil)
		if err != nil {
			return err.Error()
		}
		r.Close = true
		w, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			return err.Error()
		}
		defer w.Body.Close()
		if _, err := io.Copy(io.Discard, w.Body); err != nil || w.StatusCode != http.StatusOK {
			return fmt.Sprintf("status %d, %v", w.StatusCode, err)
		}
		return ""
	}, "HYSSOPGRADE_KEY=key-of-a-cell-of-one-node"), cfg
}

// Guards against the same clients at the two ports of a node.
func TestNode(t *testing.T) {
	public, inner := func(c hgconfig.Config) string { return c.Node.Public }, func(c hgconfig.Config) string { return c.Node.Inner }
	request := []byte("POST /v1/tools/register/x HTTP/1.1\r\nHost: node\r\nHg-Call: a\r\n")
	tests := map[string]struct {
		port    func(c hgconfig.Config) string
		clients int
		run     client
	}{
		"silent":        {public, holders, func(net.Conn) {}},
		"endless head":  {public, holders, endlessHead},
		"inner, silent": {inner, holders, func(net.Conn) {}},
		"inner, heads":  {inner, holders, endlessHead},
		"declared": {public, senders, func(conn net.Conn) {
			sendPieces(conn, append(append(request[:len(request):len(request)], fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit)...), body[:bodyLimit-1]...), 2*bodyLimit, 0)
		}},
		"chunked tiny": {public, senders, func(conn net.Conn) {
			tiny := chunks(bodyLimit, 3)
			sendPieces(conn, append(append(request[:len(request):len(request)], chunkedLine+"\r\n\r\n"...), tiny[:len(tiny)-3]...), 64<<10, 0)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, cfg := startNode(t, maxDescriptors)
			crowd(t, tt.port(cfg), tt.clients, tt.run)
			p.check(t)
		})
	}
}
