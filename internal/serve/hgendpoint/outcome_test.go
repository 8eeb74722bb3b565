package hgendpoint

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
)

// serveOutcomes starts an endpoint that knows the outcome of request "ran" only, and repeats the answer before on a kept connection.
func serveOutcomes(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for before := ""; ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					state := OutcomeUnseen
					if r.URL.Query().Get("request") == "ran" {
						state = OutcomeEnded
					}
					body := fmt.Sprintf(`{"state":%q}`, state)
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					if _, err := fmt.Fprint(conn, before+answer); err != nil {
						return
					}
					before = answer
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a call that runs twice, or gets another call's outcome, as the answer to an earlier question comes once more.
func TestOutcomeIsOfTheRequest(t *testing.T) {
	h := NewHTTP("tool", serveOutcomes(t), NewMemory(0))
	for _, request := range []string{"other", "ran", "other", "ran"} {
		want := OutcomeUnseen
		if request == "ran" {
			want = OutcomeEnded
		}
		if o, err := h.Outcome(t.Context(), request, Fence{}); err != nil || o.State != want {
			t.Errorf("request %q: state %q, error %v, want %q", request, o.State, err, want)
		}
	}
}
