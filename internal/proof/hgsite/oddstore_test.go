package hgsite_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

// newSiteWithEditedStore starts a site whose only VM gets each answer of the store as edit returns it.
func newSiteWithEditedStore(t *testing.T, edit func(r *http.Request, body []byte) []byte) *hgsite.Site {
	t.Helper()
	s, err := hgsite.NewSite(0, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: s.StoreAddress()})
	proxy.ModifyResponse = func(w *http.Response) error {
		body, err := io.ReadAll(w.Body)
		if err != nil {
			return err
		}
		if w.StatusCode == http.StatusOK {
			body = edit(w.Request, body)
		}
		w.Body = io.NopCloser(bytes.NewReader(body))
		w.ContentLength = int64(len(body))
		w.Header.Set("Content-Length", strconv.Itoa(len(body)))
		return nil
	}
	srv := httptest.NewServer(proxy)
	t.Cleanup(srv.Close)
	if _, err := s.AddConfig(srv.Listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	s.Nodes = append(s.Nodes, nil)
	if err := s.StartNode(0); err != nil {
		t.Fatal(err)
	}
	if err := s.WaitReady(readyLimit); err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against one odd row of another writer, in lists and feeds of the store, that ends or blinds the VM.
func TestOddRowsOfStoreAreSkipped(t *testing.T) {
	for name, row := range map[string]string{
		"value is no base64":   `{"table":"T","part":"","key":"odd","value":"***","ver":1}`,
		"version is too large": `{"table":"T","part":"","key":"odd","value":"","ver":1e400}`,
		"value is deep":        `{"table":"T","part":"","key":"odd","value":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `,"ver":1}`,
		"no object":            `[7]`,
	} {
		t.Run(name, func(t *testing.T) {
			var odd atomic.Bool
			s := newSiteWithEditedStore(t, func(r *http.Request, body []byte) []byte {
				table := r.URL.Query().Get("table")
				if !odd.Load() || table == "" {
					return body
				}
				added := `"rows":[` + strings.ReplaceAll(row, `"T"`, strconv.Quote(table))
				if !bytes.Contains(body, []byte(`"rows":[]`)) {
					added += ","
				}
				return bytes.Replace(body, []byte(`"rows":[`), []byte(added), 1)
			})
			odd.Store(true)
			for _, id := range []string{"tool-0", "tool-1"} {
				if err := s.SetRegisteredLeaving(id, true); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(applyLimit)
			if reply := callWithin(t, s, charge(0), answerLimit); reply.Status != http.StatusServiceUnavailable {
				t.Errorf("status %d after both tools registered as leaving", reply.Status)
			}
			if err := s.SetDesired(hgsite.Desired(2)); err != nil {
				t.Fatal(err)
			}
			if err := s.SetRegisteredLeaving("tool-1", false); err != nil {
				t.Fatal(err)
			}
			time.Sleep(applyLimit)
			if reply := callWithin(t, s, charge(0), answerLimit); reply.Status != http.StatusOK {
				t.Errorf("status %d after a tool registered as ready", reply.Status)
			}
			previous := ""
			for range 2 {
				q := hgsite.Turn(hgsite.ThreadPath, "odd rows", previous, "x")
				wantStream(t, callWithin(t, s, q, answerLimit))
				previous = q.ID
			}
		})
	}
}

// Guards against a 404 for an answered turn after an answer of the store without content.
func TestEmptyAnswerOfStoreDeniesNoTurn(t *testing.T) {
	var empty atomic.Bool
	s := newSiteWithEditedStore(t, func(r *http.Request, body []byte) []byte {
		if empty.Load() && strings.HasSuffix(r.URL.Path, "rows-get") && strings.HasPrefix(r.URL.Query().Get("table"), "hg") {
			return []byte(`{}`)
		}
		return body
	})
	first := hgsite.Turn(hgsite.ThreadPath, "denied", "", "x")
	wantStream(t, callWithin(t, s, first, answerLimit))
	// Another program may name the turn, whose rows this VM has to look up.
	empty.Store(true)
	reply := callWithin(t, s, hgsite.Turn(hgsite.ThreadPath, "another", first.ID, "y"), answerLimit)
	if reply.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d while the store says nothing, want 503", reply.Status)
	}
	empty.Store(false)
	reply = callWithin(t, s, hgsite.Turn(hgsite.ThreadPath, "another", first.ID, "y"), answerLimit)
	if reply.Status != http.StatusOK {
		t.Errorf("status %d when the store answers again", reply.Status)
	}
}
