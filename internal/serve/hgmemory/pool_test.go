package hgmemory_test

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/serve/hgmemory"
)

func TestRead(t *testing.T) {
	broken := errors.New("broken")
	tests := map[string]struct {
		r    io.Reader
		most int
		want error
	}{
		"nothing":             {strings.NewReader(""), 10, nil},
		"as much as allowed":  {strings.NewReader("0123456789"), 10, nil},
		"more than allowed":   {strings.NewReader("0123456789x"), 10, hgmemory.ErrTooLong},
		"byte by byte":        {iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 20_000))), 20_000, nil},
		"end with the data":   {iotest.DataErrReader(strings.NewReader("0123456789")), 10, nil},
		"more than there is":  {strings.NewReader(strings.Repeat("x", 70_000)), 100_000, hgmemory.ErrFull},
		"reader fails midway": {io.MultiReader(strings.NewReader("01"), iotest.ErrReader(broken)), 10, broken},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := hgmemory.NewPool(64 << 10)
			d, err := p.Read(tt.r, tt.most)
			if !errors.Is(err, tt.want) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
			d.Release()
			// The pool's memory must be free again, after an error too.
			if _, err := p.Read(strings.NewReader(strings.Repeat("y", 30_000)), 32_000); err != nil {
				t.Errorf("memory is held: %v", err)
			}
		})
	}
}

func TestBuffersHoldWhatWasRead(t *testing.T) {
	p := hgmemory.NewPool(1 << 20)
	sizes := map[string]int{"nothing": 0, "one byte": 1, "16 KB": 16 << 10, "more than 16 KB": 16<<10 + 1, "100,000 bytes": 100_000}
	var held []*hgmemory.Buffer
	var want, got []string
	for name, size := range sizes {
		text := strings.Repeat(name+".", size/(len(name)+1)+1)[:size]
		// The second of three buffers is released, so that the third one takes its memory.
		for i := range 3 {
			b, err := p.Read(strings.NewReader(text), size)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if b.Len() != size {
				t.Errorf("%s: %d bytes, want %d", name, b.Len(), size)
			}
			if i == 1 {
				b.Release()
				continue
			}
			held, want = append(held, b), append(want, text)
		}
	}
	for _, b := range held {
		var out bytes.Buffer
		if n, err := b.WriteTo(&out); err != nil || n != int64(out.Len()) {
			t.Errorf("%d bytes written of %d: %v", n, out.Len(), err)
		}
		got = append(got, out.String())
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// Guards against buffers that become garbage, which adds up to more than the limit before it is collected.
func TestReleasedMemoryIsNotAllocatedAgain(t *testing.T) {
	const limit, size = 16 << 20, 4 << 20
	source := bytes.Repeat([]byte("x"), size)
	p := hgmemory.NewPool(limit)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 20 {
		b, err := p.Read(bytes.NewReader(source), size)
		if err != nil {
			t.Fatal(err)
		}
		b.Release()
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > limit {
		t.Errorf("%d MB allocated, want %d at most", n>>20, limit>>20)
	}
}
