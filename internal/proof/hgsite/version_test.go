package hgsite_test

import (
	"net/http"
	"testing"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
)

// Guards against a caller that takes all replicas out of use by asking for weights that none of them has.
func TestRefusedVersionTakesNoReplicaOut(t *testing.T) {
	s := newSite(t, 1)
	r := useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
		if q.Version != "" {
			return rawHead("421 Misdirected Request", hgattempt.Answer{AttemptID: q.ID, NotRun: true}, "Content-Length: 0"), false, false
		}
		return rawStream(q.ID, 1, hgsite.Events), true, false
	})
	statuses := map[string]int{}
	for range 4 {
		q := hgsite.Turn(hgsite.ChatPath, "versioned", "", "x")
		q.Version = "7"
		if statuses[q.ID] = callWithin(t, s, q, answerLimit).Status; statuses[q.ID] != http.StatusServiceUnavailable {
			t.Errorf("status %d for other weights, want 503", statuses[q.ID])
		}
	}
	wantPromisesKept(t, r.Runs(), statuses)
	wantStream(t, callWithin(t, s, hgsite.Turn(hgsite.ChatPath, "any version", "", "x"), answerLimit))
}
