package hglog_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"hyssopgrade/internal/operate/hglog"
)

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

func TestWriterNeverBlocks(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	w := hglog.NewWriter(out, 10)
	line := []byte(strings.Repeat("x", 8<<10) + "\n")
	began := time.Now()
	for range 100 {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("writing took %v", took)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	close(out.release)
	time.Sleep(50 * time.Millisecond)
	if _, err := w.Write([]byte("last\n")); err != nil {
		t.Fatal(err)
	}
	w.Close()
	if got := out.String(); !strings.Contains(got, "log lines dropped") || !strings.HasSuffix(got, "last\n") {
		t.Errorf("output ends %q", got[max(0, len(got)-100):])
	}
}
