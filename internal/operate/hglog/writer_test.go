package hglog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssopgrade/internal/operate/hglog"
)

// blockedOutput blocks each write until release is closed.
type blockedOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// Guards against log lines that hold up requests while the output of the process is blocked.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := hglog.NewWriter(out, 10)
	line := []byte(strings.Repeat("x", 8<<10) + "\n")
	began := time.Now()
	for range 100 {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("writing to a blocked output took %v", took)
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

// Guards against a process that ends by a panic when something is logged at the end of a stop.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	w := hglog.NewWriter(&out, 10)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 1000 {
				if _, err := w.Write([]byte("during\n")); err != nil {
					t.Error(err)
				}
			}
		})
	}
	w.Close()
	if _, err := w.Write([]byte("after\n")); err != nil {
		t.Error(err)
	}
	wg.Wait()
	if strings.Contains(out.String(), "after") {
		t.Errorf("output: %q", out.String())
	}
}
