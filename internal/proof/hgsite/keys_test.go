package hgsite_test

import (
	"testing"
	"time"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/proof/hgstandin"
)

// VMs with certificates connect to each other and serve. A VM without a certificate can neither send heartbeats to them nor
// receive theirs.
func TestSecuredSite(t *testing.T) {
	s := newSite(t, 3)
	authority, err := hgstandin.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for i := range s.Nodes {
		s.Kill(i)
	}
	for i := range s.Nodes {
		cert, key, err := authority.Sign(s.Configs[i].VM.Name, time.Now().Add(time.Hour))
		if err != nil {
			t.Fatal(err)
		}
		s.Configs[i].Keys = hgconfig.EntryKeys{Certificate: cert, Key: key, Authority: authority.File}
		if err := s.RestartNode(i); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.WaitReady(readyLimit); err != nil {
		t.Fatal(err)
	}
	for i := range s.Nodes {
		wantStream(t, call(t, s, i, hgsite.Turn(hgsite.ThreadPath, "p", "", "x")))
	}
	s.Kill(2)
	s.Configs[2].Keys = hgconfig.EntryKeys{}
	if err := s.RestartNode(2); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if s.Nodes[2].Ready(1) {
			t.Fatal("a VM without keys received heartbeats from a VM with keys")
		}
	}
}
