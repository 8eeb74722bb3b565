package hgendpoint

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against an endpoint that switches protocols and then says nothing, whose connection no deadline of the call ends.
func TestSwitchedProtocolEndsInTime(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			stop := make(chan struct{})
			tool := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n%s: %s\r\n\r\n", HeaderRequest, r.Header.Get(HeaderRequest))
				<-stop
			}))
			defer tool.Close()
			defer close(stop)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			done := make(chan error, 1)
			go func() {
				_, err := NewHTTP("tool", strings.TrimPrefix(tool.URL, "http://"), NewMemory(0)).Call(ctx, ToolRequest{Request: "r", Operation: "o", Idempotent: idempotent})
				done <- err
			}()
			select {
			case err := <-done:
				if err == nil {
					t.Error("the switch counts as the tool's answer")
				}
			case <-time.After(2 * time.Second):
				t.Error("no end of the call 1.8 s after its deadline")
			}
		})
	}
}
