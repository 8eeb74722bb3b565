package hgtimes_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/operate/hgtimes"
)

const source = `package p

import "time"

// alone is a constant of its own.
const alone = 3 * time.Second

const (
	// first and second are
	// two.
	first  = time.Millisecond
	second = 2 * first
	third  = 5 * time.Hour
	count  = 7
)
`

func TestFind(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"a/b/p.go", "a/b/p_test.go", "internal/proof/p.go"} {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(source), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := hgtimes.Find(dir)
	if err != nil {
		t.Fatal(err)
	}
	want := []hgtimes.Constant{
		{Package: "a/b", Name: "alone", Value: "3 * time.Second", Comment: "alone is a constant of its own."},
		{Package: "a/b", Name: "first", Value: "time.Millisecond", Comment: "first and second are two."},
		{Package: "a/b", Name: "third", Value: "5 * time.Hour", Comment: "first and second are two."},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// Guards against a docs/TIMES.md that no longer matches the source, and against time constants without a comment.
func TestPage(t *testing.T) {
	constants, err := hgtimes.Find(filepath.Join("..", "..", ".."))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range constants {
		if c.Comment == "" {
			t.Errorf("%s %s has no comment", c.Package, c.Name)
		}
	}
	var want strings.Builder
	if err := hgtimes.Write(&want, constants); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../../docs/TIMES.md")
	if diff := cmp.Diff(want.String(), string(page)); diff != "" || err != nil {
		t.Errorf("docs/TIMES.md is not up to date, its first lines say how to regenerate it: %v\n%s", err, diff)
	}
}
