package hgsite_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
)

// callWithin sends a request to VM 0 and fails the test if the answer does not end within the limit.
func callWithin(t *testing.T, s *hgsite.Site, q hgsite.Request, limit time.Duration) hgsite.Reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	reply, err := s.Call(ctx, 0, q)
	if err != nil {
		t.Fatal(err)
	}
	if ctx.Err() != nil {
		t.Fatalf("no end of the answer within %v", limit)
	}
	return reply
}

// answerLimit is the time within which each answer must end: the timeout of the routes and a margin.
const answerLimit = 5 * time.Second

// Guards against a replica that switches protocols and then says nothing, whose connection no deadline of the request ends.
func TestSwitchedProtocolEndsInTime(t *testing.T) {
	s := newSite(t, 1)
	useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
		return rawHead("101 Switching Protocols", hgattempt.Answer{AttemptID: q.ID, Sealed: true}, "Connection: Upgrade", "Upgrade: x"), true, false
	})
	for name, path := range map[string]string{"check": hgsite.CheckPath, "charge": hgsite.ChargePath, "chat": hgsite.ChatPath, "thread": hgsite.ThreadPath} {
		t.Run(name, func(t *testing.T) {
			if reply := callWithin(t, s, hgsite.Turn(path, name, "", name), answerLimit); reply.Status != http.StatusBadGateway {
				t.Errorf("status %d, want 502", reply.Status)
			}
		})
	}
}
