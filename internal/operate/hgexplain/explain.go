package hgexplain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Line is a log line that concerns what is looked for.
type Line struct {
	Time time.Time
	// Source is what stands before the line's object, such as the name of the VM.
	Source string
	Msg    string
	Fields map[string]any
}

// Read returns the lines of logs that hold an object.
func Read(logs io.Reader) (lines []Line, err error) {
	defer func() { err = trace.Wrap(err, "logs") }()
	scan := bufio.NewScanner(logs)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		if l, ok := parse(scan.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, scan.Err()
}

// Find returns the lines of logs about an attempt or a program, and those about its program if it is an attempt, in
// the order of time.
func Find(logs io.Reader, id string) (lines []Line, err error) {
	all, err := Read(logs)
	if err != nil {
		return nil, err
	}
	ids := map[string]bool{id: true}
	for _, l := range all {
		if program, _ := l.Fields["program"].(string); l.Fields["attempt"] == id && program != "" {
			ids[program] = true
		}
	}
	for _, l := range all {
		if l.concerns(ids) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

func (l Line) concerns(ids map[string]bool) bool {
	for _, name := range []string{"attempt", "program", "previous"} {
		if v, ok := l.Fields[name].(string); ok && ids[v] {
			return true
		}
	}
	return false
}

// parse reads a line that holds a JSON object, with or without a source before it.
func parse(text string) (l Line, ok bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return l, false
	}
	if err := json.Unmarshal([]byte(text[start:]), &l.Fields); err != nil {
		return l, false
	}
	l.Source = strings.TrimSpace(text[:start])
	l.Msg, _ = l.Fields["msg"].(string)
	if at, ok := l.Fields["time"].(string); ok {
		l.Time, _ = time.Parse(time.RFC3339Nano, at)
	}
	for _, name := range []string{"time", "level", "msg"} {
		delete(l.Fields, name)
	}
	return l, l.Msg != ""
}

// String returns the line for people.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-22s %s", l.Time.Format("15:04:05.000"), l.Source, l.Msg)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if v := l.Fields[name]; v != nil && v != "" {
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	return b.String()
}
