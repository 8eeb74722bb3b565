package hgmemory_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

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
