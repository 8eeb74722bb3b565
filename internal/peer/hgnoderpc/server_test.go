package hgnoderpc

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgquarantine"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/serve/hgowner"
)

// node is a Node with fixed answers.
type node struct{}

func (node) Beat(b Beat) Beat                  { b.ID = "answer to " + b.ID; return b }
func (node) Preset() PresetReply               { return PresetReply{Age: time.Second} }
func (node) Suspect(hgquarantine.Suspect)      {}
func (node) EnterTurn(Turn) bool               { return true }
func (node) LeaveTurn(Turn)                    {}
func (node) Nudge()                            {}
func (node) End(context.Context, string) error { return &hgowner.NotOwner{Shard: 3} }
func (node) Query(Query) (Answer, error)       { return Answer{}, hgcall.Invalid("program", "unknown") }
func (node) Serve(_ context.Context, c hgcall.Call, out hgowner.Sink) (hgcall.Result, error) {
	if out != nil {
		_ = out.Piece("piece")
	}
	return hgcall.Result{State: hgcall.Done, Answer: []byte(c.Request)}, nil
}

const cellKey = "key-of-the-test-cell"

func serve(t *testing.T) (address string) {
	t.Helper()
	s, err := NewServer(node{}, cellKey, hglog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	h := httptest.NewServer(s)
	t.Cleanup(func() { s.Close(); h.Close() })
	return strings.TrimPrefix(h.URL, "http://")
}

func client(t *testing.T, key string) *Client {
	t.Helper()
	timer := hgtimer.NewService()
	c := NewClient(key, timer, time.Second, nil)
	t.Cleanup(func() { c.Close(); timer.Close() })
	return c
}

type pieces struct{ text string }

func (p *pieces) Piece(text string) error { p.text += text; return nil }

func TestInnerProtocol(t *testing.T) {
	address, c := serve(t), client(t, cellKey)
	b := Beat{}
	b.ID = "a"
	reply, err := c.Beat(address, b)
	if err != nil || reply.ID != "answer to a" {
		t.Errorf("heartbeat: %q, %v", reply.ID, err)
	}
	out := &pieces{}
	r, sent, err := c.Call(t.Context(), address, hgcall.Call{Request: "r1"}, out)
	if diff := cmp.Diff([]any{"r1", true, "piece", error(nil)}, []any{string(r.Answer), sent, out.text, err}); diff != "" {
		t.Errorf("forwarded call (-want +got):\n%s", diff)
	}
	if _, ok := c.End(t.Context(), address, "p").(*hgowner.NotOwner); !ok {
		t.Error("the forwarded end of a program did not return NotOwner")
	}
	if _, err := c.Query(t.Context(), address, Query{}); hgcall.AsRefusal(err).Field != "program" {
		t.Errorf("forwarded query: got error %v, want a refusal of field program", err)
	}
}

func TestInnerPortTakesNoOneWithoutTheKey(t *testing.T) {
	address, c := serve(t), client(t, "another-key-altogether")
	if _, err := c.Beat(address, Beat{}); err == nil {
		t.Error("a heartbeat with another key was answered")
	}
	for _, path := range []string{"/inner/rpc", "/inner/call", "/inner/end", "/inner/query", "/"} {
		w, err := http.Post("http://"+address+path, "application/json", strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		w.Body.Close()
		if diff := cmp.Diff(http.StatusUnauthorized, w.StatusCode); diff != "" {
			t.Errorf("%s (-want +got):\n%s", path, diff)
		}
	}
}

// TestInnerPortSurvivesGarbage sends malformed requests with and without the key: the port must still answer heartbeats.
func TestInnerPortSurvivesGarbage(t *testing.T) {
	address := serve(t)
	for _, text := range []string{
		"\x00\x01\x02garbage\r\n\r\n",
		"CONNECT /inner/rpc HTTP/1.0\r\nAuthorization: Bearer " + cellKey + "\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff",
		"POST /inner/call HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + cellKey + "\r\nContent-Length: 3\r\n\r\n{\"a",
	} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, _ = io.ReadAll(conn)
		conn.Close()
	}
	if _, err := client(t, cellKey).Beat(address, Beat{}); err != nil {
		t.Errorf("heartbeat after garbage: %v", err)
	}
}

func FuzzReadFrames(f *testing.F) {
	f.Add(`{"piece":"a"}` + "\n" + `{"result":{"state":"done","answer":"aGk="}}`)
	f.Add(`{"piece":"a"}`)
	f.Fuzz(func(t *testing.T, text string) {
		r, _, err := readFrames(strings.NewReader(text), &pieces{})
		if err == nil && !strings.Contains(text, "result") && !strings.Contains(strings.ToLower(text), "result") {
			t.Errorf("result %+v out of %q", r, text)
		}
	})
}
