package hgsuspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/serve/hgsuspect"
)

// Guards against an end of a replica that counts once for each VM, as these know of different numbers of broken connections before it.
func TestOneEndIsOneCrashForVMsThatWereApart(t *testing.T) {
	c := &clock{now: time.Hour}
	lists := []*hgsuspect.List{hgsuspect.NewList(c, hglog.Discard()), hgsuspect.NewList(c, hglog.Discard()), hgsuspect.NewList(c, hglog.Discard())}
	crash := func(i int, request hgsuspect.Request) {
		lists[i].RecordCrash(request.WithRun(hgsuspect.Run{Replica: "a", Incarnation: "1", Began: c.now - 100*time.Millisecond}))
	}
	// VM i has seen i connections break off other requests.
	for i := range lists {
		for k := range i {
			crash(i, request(uint64(10*i+k)))
			c.now += time.Second
		}
	}
	for i := range lists {
		crash(i, request(1))
	}
	for i := range lists {
		for k := range lists {
			exchange(lists[i], lists[k], fmt.Sprint(i), fmt.Sprint(k), false, false)
		}
	}
	if diff := cmp.Diff([]bool{false, false, false}, refusedBy(lists, 1)); diff != "" {
		t.Errorf("refused (-want +got):\n%s", diff)
	}
}

// Guards against a refusal that begins again with a crash that does not count, as the service was failing.
func TestExcusedCrashProlongsNoRefusal(t *testing.T) {
	c := &clock{now: time.Hour}
	l := hgsuspect.NewList(c, hglog.Discard())
	for range 3 {
		l.RecordCrash(sent(1, 1))
		c.now += time.Second
	}
	c.now += 2 * time.Minute
	for content := range uint64(4) {
		l.RecordCrash(sent(10+content, 1))
	}
	l.RecordCrash(sent(1, 1))
	c.now += 3 * time.Second
	if left, refused := l.Refused(sent(1, 1)); refused {
		t.Errorf("refused for %v", left)
	}
}
