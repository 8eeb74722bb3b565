package hgpeer_test

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/state/hgledger"
)

func TestEndedOpeners(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.Close()
	asker := info("a", "north")
	asker.Boot = "a/1"
	m := hgpeer.NewMembers(&clock{now: time.Minute}, asker)
	// The handler answers with the Info of the asker.
	answering := serve(t, nil)
	openers := map[string]struct {
		opener hgledger.Opener
		ended  bool
	}{
		"runs":                        {hgledger.Opener{Boot: asker.Boot, Address: answering}, false},
		"another process has address": {hgledger.Opener{Boot: "a/0", Address: answering}, true},
		"nobody listens":              {hgledger.Opener{Boot: "b/1", Address: refusing.Addr().String()}, true},
		"does not answer":             {hgledger.Opener{Boot: "c/1", Address: silent.Addr().String()}, false},
	}
	var asked []hgledger.Opener
	for _, o := range openers {
		asked = append(asked, o.opener)
	}
	ended := hgpeer.EndedOpeners(t.Context(), m, hgpeer.NewClient(nil), asked)
	for name, o := range openers {
		if d := cmp.Diff(o.ended, slices.Contains(ended, o.opener)); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}
