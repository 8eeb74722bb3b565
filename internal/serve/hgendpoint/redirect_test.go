package hgendpoint

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against a call that runs at an address which is no endpoint of the settings, because an endpoint named it.
func TestRedirectIsNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusMovedPermanently, http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect} {
		for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) {
				var strays atomic.Int64
				other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					strays.Add(1)
					w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
				}))
				defer other.Close()
				tool := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
					http.Redirect(w, r, other.URL, status)
				}))
				defer tool.Close()
				h := NewHTTP("tool", strings.TrimPrefix(tool.URL, "http://"), NewMemory(0))
				answer, err := h.Call(t.Context(), ToolRequest{Request: "r", Operation: "o", Idempotent: idempotent, Body: []byte("{}")})
				if err != nil || answer.Status != status {
					t.Errorf("status %d, error %v, want the endpoint's answer", answer.Status, err)
				}
				if _, err := h.Status(t.Context()); err == nil {
					t.Error("the load report of another address counts as the endpoint's")
				}
				if n := strays.Load(); n > 0 {
					t.Errorf("%d requests at another address", n)
				}
			})
		}
	}
}
