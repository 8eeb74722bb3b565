package hgtransport_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hgstatus"
	"hyssopgrade/internal/peer/hgnoderpc"
	"hyssopgrade/internal/proof/hgreset"
	"hyssopgrade/internal/serve/hgcaller"
	"hyssopgrade/internal/serve/hgendpoint"
	"hyssopgrade/internal/serve/hgtransport"
	hgplatform "hyssopgrade/platform"
)

// Guards against a part of the product that reads answers and takes one with a field name that is none of HTTP.
func TestReadersRejectFieldNames(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go hgreset.Server{Answer: func(*http.Request) hgreset.Answer {
		// A node opens a control connection by this status.
		return hgreset.Answer{Data: "HTTP/1.0 200 connected to hyssopgrade\r\nX-Request-Id: r\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}"}
	}}.Serve(l)
	address := l.Addr().String()
	timer := hgtimer.NewService()
	defer timer.Close()
	node := hgnoderpc.NewClient("key", timer, time.Second, nil)
	defer node.Close()
	caller := hgcaller.NewClient(address)
	defer caller.Close()
	store := hgplatform.NewStore(address, time.Second, nil)
	endpoint := hgendpoint.NewHTTP("endpoint", address, hgendpoint.NewMemory(0))
	for name, read := range map[string]func(ctx context.Context) error{
		"store":              func(ctx context.Context) error { _, err := store.Scan(ctx, "a/b/c", "", 1); return err },
		"probe of the store": func(ctx context.Context) error { return store.Probe(ctx, "a/b/c") },
		"call of a node":     func(ctx context.Context) error { return node.End(ctx, address, "p") },
		"control connection": func(context.Context) error { return node.Nudge(address) },
		"caller":             func(ctx context.Context) error { return caller.Get(ctx, address, "/v1/locate", &struct{}{}) },
		"status":             func(ctx context.Context) error { _, err := hgstatus.Get(ctx, address); return err },
		"tool": func(ctx context.Context) error {
			_, err := endpoint.Call(ctx, hgendpoint.ToolRequest{Request: "r", Operation: "o"})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(hgtransport.ErrFieldName, read(t.Context()), cmpopts.EquateErrors()); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}
