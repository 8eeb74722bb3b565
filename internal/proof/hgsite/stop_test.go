package hgsite_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

// An answer that begins after the stop must tell its caller to reconnect, also if its request came before.
func TestAnswerInProgressAnnouncesStop(t *testing.T) {
	s := newSite(t, 2)
	for _, r := range s.Replicas {
		r.SetPause(500 * time.Millisecond)
	}
	done := make(chan hgsite.Reply, 1)
	go func() {
		reply, err := s.Call(context.Background(), 0, hgsite.Request{Path: hgsite.ChargePath + "x", Body: "x"})
		if err != nil {
			t.Error(err)
		}
		done <- reply
	}()
	time.Sleep(100 * time.Millisecond)
	go s.Nodes[0].Stop()
	if reply := <-done; reply.Status != http.StatusOK || !reply.Closes {
		t.Errorf("status %d, announced: %t", reply.Status, reply.Closes)
	}
}
