package hgsite_test

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

// Guards against a VM that serves keys although it is cut off from the store and from its peers, and against one that refuses them
// while a peer that reaches the store vouches for it.
func TestKeysOfCutVM(t *testing.T) {
	const revoke = 2500 * time.Millisecond
	s, err := hgsite.NewSite(0, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	var cut atomic.Bool
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: s.StoreAddress()})
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut.Load() {
			panic(http.ErrAbortHandler)
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	for i, store := range []string{s.StoreAddress(), srv.Listener.Addr().String()} {
		if _, err := s.AddConfig(store); err != nil {
			t.Fatal(err)
		}
		s.Configs[i].Teams.StrictRevoke, s.Configs[i].Teams.RevokeMs = true, float64(revoke.Milliseconds())
		s.Nodes = append(s.Nodes, nil)
		if err := s.StartNode(i); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.WaitReady(readyLimit); err != nil {
		t.Fatal(err)
	}
	fresh := func() bool { return s.Nodes[1].Status().Freshness.Fresh }
	await := func(want bool) {
		t.Helper()
		for deadline := time.Now().Add(2 * revoke); fresh() != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("keys served %t, want %t: %+v", !want, want, *s.Nodes[1].Status().Freshness)
			}
		}
	}
	await(true)
	cut.Store(true)
	for end := time.Now().Add(2 * revoke); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !fresh() {
			t.Fatalf("cut off from the store only: %+v", *s.Nodes[1].Status().Freshness)
		}
	}
	s.Kill(0)
	cutOff := time.Now()
	await(false)
	if took := time.Since(cutOff); took > revoke {
		t.Errorf("keys were served for %v after the last peer was gone, want at most %v", took, revoke)
	}
	cut.Store(false)
	await(true)
}
