package hgsuspect_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/serve/hgsuspect"
)

func TestUnanswered(t *testing.T) {
	c := &clock{now: time.Minute}
	l := hgsuspect.NewList(c, hglog.Discard())
	l.RecordUnanswered(request(1), "long ago")
	c.now += 20 * time.Second
	l.RecordUnanswered(request(2), "ended")
	l.RecordUnanswered(request(3), "other")
	for n := range uint64(1000) {
		l.RecordUnanswered(request(n), "busy")
	}
	tests := map[string]struct {
		replica string
		want    []hgsuspect.Request
	}{
		"ended later":         {"ended", []hgsuspect.Request{request(2)}},
		"ended, told again":   {"ended", nil},
		"ended too late":      {"long ago", nil},
		"answered everything": {"sound", nil},
	}
	for _, name := range []string{"ended later", "ended, told again", "ended too late", "answered everything"} {
		tc := tests[name]
		if diff := cmp.Diff(tc.want, l.TakeUnanswered(tc.replica)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	if n := len(l.TakeUnanswered("busy")); n != 64 {
		t.Errorf("%d runs of one replica are kept, want 64", n)
	}
}
