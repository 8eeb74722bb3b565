package hgentry

import (
	"net/http/httptrace"
	"testing"
)

func TestFirstExchange(t *testing.T) {
	type hook func(c *httptrace.ClientTrace)
	got := func(reused bool) hook {
		return func(c *httptrace.ClientTrace) { c.GotConn(httptrace.GotConnInfo{Reused: reused}) }
	}
	headers := func(c *httptrace.ClientTrace) { c.WroteHeaders() }
	answer := func(c *httptrace.ClientTrace) { c.GotFirstResponseByte() }
	tests := map[string]struct {
		hooks []hook
		want  bool
	}{
		"new connection":                      {[]hook{got(false), headers, answer}, true},
		"kept connection":                     {[]hook{got(true), headers, answer}, false},
		"answer before the request":           {[]hook{got(false), answer, headers}, false},
		"kept connection, then a new one":     {[]hook{got(true), got(false), headers, answer}, true},
		"closed by the peer, then a kept one": {[]hook{got(false), got(true), headers, answer}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var u connUse
			for _, call := range tt.hooks {
				call(u.hooks())
			}
			if got := u.isFirstExchange(); got != tt.want {
				t.Errorf("first exchange: %v, want %v", got, tt.want)
			}
		})
	}
}
