package hghostile_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/serve/hgcaller"
	"hyssopgrade/internal/serve/hgendpoint"
)

// waitReady waits until a node takes new work.
func waitReady(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(answerLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w, err := http.Get("http://" + address + "/readyz"); err == nil && w.Body.Close() == nil && w.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("the node does not become ready")
}

// Guards against endpoints that send bytes without end to a node, in heads, bodies or events, which exhaust its
// memory and end the requests of all its callers.
func TestEndlessAnswersAtNode(t *testing.T) {
	const (
		callers  = 64
		deadline = 5 * time.Second
		// outcomeTime is how long a node may ask the endpoint for the outcome of a call that was cut.
		outcomeTime = 10 * time.Second
		service     = "endless"
		// endlessPause is the pause between some KB.
		endlessPause = 200 * time.Microsecond
	)
	ok := "HTTP/1.1 200 OK\r\n" + hgendpoint.HeaderRequest + ": " + attemptPlaceholder + "\r\n"
	events := ok + "Content-Type: text/event-stream\r\n\r\n"
	piece := `data: {"choices":[{"delta":{"content":"` + strings.Repeat("x", 4<<10) + `"}}]}` + "\n\n"
	tests := map[string]struct {
		kind           hgcall.Kind
		head, repeated string
	}{
		"no answer at all": {hgcall.Tool, "", "x"},
		"header line":      {hgcall.Tool, "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header lines":     {hgcall.Tool, "HTTP/1.1 200 OK\r\n", "X-More: x\r\n"},
		"body":             {hgcall.Tool, ok + "\r\n", "x"},
		"body in chunks":   {hgcall.Tool, ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"refusal":          {hgcall.Tool, "HTTP/1.1 503 Service Unavailable\r\n\r\n", "x"},
		"event":            {hgcall.Model, events, "x"},
		"text":             {hgcall.Model, events, piece},
		"empty lines":      {hgcall.Model, events, "\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &endlessServer{head: tt.head, repeated: tt.repeated, pause: endlessPause, id: func(h http.Header) string { return h.Get(hgendpoint.HeaderRequest) }}
			e.isSound = func(r *http.Request) bool { return r.Method == http.MethodGet }
			kind := hgconfig.Tool
			if tt.kind == hgcall.Model {
				kind = hgconfig.Engine
			}
			p, cfg := startNode(t, manyDescriptors, hgconfig.Endpoint{ID: "endless-0", Kind: kind, Address: e.start(t), Domain: "north", Targets: []string{service}, MemoryTokens: 100_000})
			waitReady(t, cfg.Node.Public)
			client := hgcaller.NewClient(cfg.Node.Public)
			defer client.Close()
			var wg sync.WaitGroup
			for i := range callers {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), deadline+outcomeTime)
					defer cancel()
					c := hgcall.Call{
						Program: fmt.Sprint("p", i), Seq: 1, Request: fmt.Sprint("r", i), Kind: tt.kind, Target: service, Deadline: deadline,
						Messages: []hgcall.Message{{Role: "user", Content: "x"}}, MaxTokens: 100, Budget: 10_000,
					}
					if tt.kind == hgcall.Tool {
						c.Target, c.Messages, c.MaxTokens, c.Body = service+"/o", nil, 0, []byte("{}")
					}
					if _, err := client.Call(ctx, c); err == nil {
						t.Error("the caller got an endless answer as a complete one")
					}
					if ctx.Err() != nil {
						t.Error("the caller got no end of its answer")
					}
				})
			}
			wg.Wait()
			p.checkAnswers(t)
			if resident := p.residentMB(t); resident > memoryMB {
				t.Errorf("%d MB resident, want %d at most", resident, memoryMB)
			}
		})
	}
}
