package hgsite_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
)

// Guards against two requests for places under one identifier, which blocked the placer for good.
func TestPlacesUnderOneIdentifier(t *testing.T) {
	s := newSite(t, 2)
	client := hgpeer.NewClient(nil)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	const places = 100
	done := make(chan error, places)
	for range places {
		go func() {
			_, err := client.Place(ctx, s.Configs[0].Listen.Peer, hgplacer.PlaceRequest{ID: "one", Want: hgreplica.Want{Service: hgsite.Engines}, Wait: 200 * time.Millisecond, Left: time.Second})
			done <- err
		}()
	}
	for range places {
		if err := <-done; err != nil {
			t.Fatalf("no answer of the placer: %v", err)
		}
	}
	time.Sleep(2500 * time.Millisecond) // The places that nobody releases are overdue by then.
	for node := range s.Nodes {
		wantStream(t, call(t, s, node, hgsite.Turn(hgsite.ChatPath, fmt.Sprint("one ", node), "", "x")))
	}
}
