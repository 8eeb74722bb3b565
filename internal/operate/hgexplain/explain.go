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

// maxLineBytes is the longest log line that Read accepts.
const maxLineBytes = 1 << 20

// Line is a parsed log line.
type Line struct {
	Time time.Time
	// Source is the text in front of the JSON object, such as the name of the VM.
	Source string
	Msg    string
	// Fields holds the fields of the object, without time, level and msg.
	Fields map[string]any
}

// Read returns the lines that hold a JSON object with a message, in their order; other lines are skipped.
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

// Find returns the lines about the request attempt or the program with the given identifier, sorted by time. For an
// attempt it also returns the lines about the program to which the attempt belongs.
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
		if l.mentions(ids) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// mentions reports whether the line is about one of the attempts or programs in ids, or names one as the previous turn.
func (l Line) mentions(ids map[string]bool) bool {
	for _, name := range []string{"attempt", "program", "previous"} {
		if v, ok := l.Fields[name].(string); ok && ids[v] {
			return true
		}
	}
	return false
}

// parse parses a line that ends in a JSON object; ok is false if it has no such object or the object has no message.
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
	if text, ok := l.Fields["time"].(string); ok {
		l.Time, _ = time.Parse(time.RFC3339Nano, text)
	}
	for _, name := range []string{"time", "level", "msg"} {
		delete(l.Fields, name)
	}
	return l, l.Msg != ""
}

// String formats the line as time of day, source, message and the fields that are not empty, sorted by name.
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
