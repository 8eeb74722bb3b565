package hgsite_test

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
)

// rawKept returns what the turn after one with the events of a stream is to receive of it.
func rawKept(first, last int) (text string) {
	for i := first; i <= last; i++ {
		text += hgsite.Event(i) + "\n"
	}
	return text
}

// eventStreams returns streams with the same events, as replicas may write them.
func eventStreams() map[string]string {
	lines := rawEvents(1, hgsite.Events)
	return map[string]string{
		"line feeds":                 lines,
		"comment before each event":  strings.ReplaceAll(lines, "id:", ": wait\n\nid:"),
		"comment in each event":      strings.ReplaceAll(lines, "data:", ": wait\ndata:"),
		"comment behind the last":    lines + ": done\n\n",
		"type of event alone":        lines + "event: end\n\n",
		"carriage returns":           strings.ReplaceAll(lines, "\n", "\r\n"),
		"some carriage returns":      strings.ReplaceAll(lines, "\n\n", "\n\r\n"),
		"other carriage returns":     strings.ReplaceAll(lines, "\n\n", "\r\n\n"),
		"empty lines between":        strings.ReplaceAll(lines, "id:", "\n\nid:"),
		"empty line behind the last": lines + "\n",
		"no space behind colons":     strings.ReplaceAll(lines, ": ", ":"),
	}
}

// Guards against streams that are cut, or kept with other text, because of how their events are written.
func TestEventsInAllNotations(t *testing.T) {
	s := newSite(t, 1)
	var mu sync.Mutex
	stream, bodies := "", map[string]string{}
	useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
		mu.Lock()
		defer mu.Unlock()
		bodies[q.ID] = q.Body
		return rawStreamHead(q.ID) + rawChunk(stream) + "0\r\n\r\n", true, false
	})
	for name, text := range eventStreams() {
		t.Run(name, func(t *testing.T) {
			mu.Lock()
			stream = text
			mu.Unlock()
			q := hgsite.Turn(hgsite.ThreadPath, name, "", "in ")
			q.MaxTokensOut = hgsite.Events * hgsite.TokensPerEvent
			reply := callWithin(t, s, q, answerLimit)
			if diff := cmp.Diff(text, reply.Body); diff != "" || reply.Status != http.StatusOK || !reply.Complete {
				t.Fatalf("status %d, complete %v, stream (-want +got):\n%s", reply.Status, reply.Complete, diff)
			}
			next := hgsite.Turn(hgsite.ThreadPath, name, q.ID, "next")
			callWithin(t, s, next, answerLimit)
			mu.Lock()
			defer mu.Unlock()
			if diff := cmp.Diff("in "+rawKept(1, hgsite.Events)+"next", bodies[next.ID]); diff != "" {
				t.Errorf("body of the next turn (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a stream that ends with its connection after a comment and before its first event, and counts as whole.
func TestCommentIsNoEvent(t *testing.T) {
	s := newSite(t, 1)
	useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
		return rawHead("200 OK", hgattempt.Answer{AttemptID: q.ID, Sealed: true}, "Content-Type: text/event-stream") + ": wait\n\n", true, true
	})
	q := hgsite.Turn(hgsite.ThreadPath, "comment", "", "x")
	if reply := callWithin(t, s, q, answerLimit); reply.Status == http.StatusOK && reply.Complete {
		t.Errorf("status %d, complete %v: %q", reply.Status, reply.Complete, reply.Body)
	}
	if next := callWithin(t, s, hgsite.Turn(hgsite.ThreadPath, "comment", q.ID, "y"), answerLimit); next.Status != http.StatusNotFound {
		t.Errorf("the next turn got status %d, want 404", next.Status)
	}
}

// Guards against a turn that was answered with success and then does not exist, since only a stream with status 200 is kept.
func TestOtherSuccessIsNoTurn(t *testing.T) {
	s := newSite(t, 1)
	var status atomic.Pointer[string]
	useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
		answer := hgattempt.Answer{AttemptID: q.ID, Sealed: true}
		return rawHead(*status.Load(), answer, "Content-Type: text/event-stream", "Content-Length: 0"), true, false
	})
	for _, text := range []string{"201 Created", "204 No Content", "205 Reset Content", "206 Partial Content"} {
		t.Run(text, func(t *testing.T) {
			status.Store(&text)
			q := hgsite.Turn(hgsite.ThreadPath, text, "", "x")
			reply := callWithin(t, s, q, answerLimit)
			next := callWithin(t, s, hgsite.Turn(hgsite.ThreadPath, text, q.ID, "y"), answerLimit)
			if reply.Status != http.StatusBadGateway || next.Status != http.StatusNotFound {
				t.Errorf("status %d, then %d of the next turn, want 502 and 404", reply.Status, next.Status)
			}
		})
	}
}
