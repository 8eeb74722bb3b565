package hgsite_test

import (
	"errors"
	"sync"
	"syscall"
	"testing"

	"hyssopgrade/internal/operate/hgentryvm"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/proof/hgsite"
)

// Guards against sites of one process that take each other's ports, so that a VM can't listen.
func TestSitesStartBesideEachOther(t *testing.T) {
	const (
		rounds = 20
		sites  = 16
		vms    = 6
	)
	for round := range rounds {
		var wg sync.WaitGroup
		for i := range sites {
			wg.Go(func() {
				s, err := hgsite.NewSite(vms, nil)
				if err != nil {
					t.Errorf("round %d, site %d: %v", round, i, err)
					return
				}
				s.Close()
			})
		}
		wg.Wait()
	}
}

// Guards against a VM that ends with a panic in place of its error when it can't listen.
func TestVMThatCannotListen(t *testing.T) {
	s := newSite(t, 1)
	cfg, err := s.AddConfig(s.StoreAddress())
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen.Peer = s.Configs[0].Listen.Peer
	n, err := hgentryvm.NewNode(cfg, hglog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Start(); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("start: %v, want %v", err, syscall.EADDRINUSE)
	}
	n.Close()
}
