package hgentry

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// Guards against an event that is held back, cut or joined with the next one, however its lines end and its bytes arrive.
func TestSplitEvent(t *testing.T) {
	tests := map[string]struct {
		stream string
		want   []string
		whole  bool
	}{
		"line feeds":                   {"id: 1\n\nid: 2\n\n", []string{"id: 1\n\n", "id: 2\n\n"}, true},
		"carriage returns":             {"id: 1\r\n\r\nid: 2\r\n\r\n", []string{"id: 1\r\n\r\n", "id: 2\r\n\r\n"}, true},
		"both":                         {"id: 1\n\r\nid: 2\r\n\n", []string{"id: 1\n\r\n", "id: 2\r\n\n"}, true},
		"carriage return in a line":    {"data: a\rb\n\ndata: \r\r\n\n", []string{"data: a\rb\n\n", "data: \r\r\n\n"}, true},
		"empty lines between":          {"id: 1\n\n\n\nid: 2\n\n", []string{"id: 1\n\n", "\n\n", "id: 2\n\n"}, true},
		"empty line at the end":        {"id: 1\r\n\r\n\r\n", []string{"id: 1\r\n\r\n", "\r\n"}, true},
		"no events":                    {"", nil, true},
		"ends in a line":               {"id: 1\n\nid: 2", []string{"id: 1\n\n"}, false},
		"ends behind a line":           {"id: 1\n\nid: 2\n", []string{"id: 1\n\n"}, false},
		"ends behind carriage returns": {"id: 1\r\n\r\nid: 2\r\n\r", []string{"id: 1\r\n\r\n"}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for arrival, r := range map[string]io.Reader{"at once": strings.NewReader(tt.stream), "byte by byte": iotest.OneByteReader(strings.NewReader(tt.stream))} {
				events := bufio.NewScanner(r)
				events.Split(splitEvent)
				var got []string
				for events.Scan() {
					got = append(got, events.Text())
				}
				if err := events.Err(); (err == nil) != tt.whole || err != nil && !errors.Is(err, errTruncatedEvent) {
					t.Errorf("%s: error %v", arrival, err)
				}
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("%s: events (-want +got):\n%s", arrival, diff)
				}
			}
		})
	}
}

func TestSequence(t *testing.T) {
	tests := map[string]struct {
		// lastEvent is the caller's last event, before is the stream so far, and next the event that is to continue it.
		lastEvent string
		before    []string
		next      string
		want      bool
	}{
		"the next one":                     {"", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, "id: 3\ndata: c\n\n", true},
		"repeated":                         {"", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, "id: 2\ndata: b\n\n", false},
		"begun again":                      {"", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, "id: 1\ndata: a\n\n", false},
		"skipped":                          {"", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, "id: 4\ndata: d\n\n", false},
		"skipped after the caller's":       {"12", []string{"id: 13\ndata: a\n\n"}, "id: 15\ndata: c\n\n", false},
		"next after the caller's":          {"12", []string{"id: 13\ndata: a\n\n"}, "id: 14\ndata: b\n\n", true},
		"uneven identifiers":               {"", []string{"id: 10\ndata: a\n\n", "id: 25\ndata: b\n\n"}, "id: 31\ndata: c\n\n", true},
		"uneven identifiers, repeated":     {"", []string{"id: 10\ndata: a\n\n", "id: 25\ndata: b\n\n"}, "id: 25\ndata: b\n\n", false},
		"one event, step not known":        {"", []string{"id: 10\ndata: a\n\n"}, "id: 20\ndata: b\n\n", true},
		"comment between":                  {"", []string{"id: 1\ndata: a\n\n", ": wait\n\n", "id: 2\ndata: b\n\n"}, "id: 3\ndata: c\n\n", true},
		"no identifier":                    {"", []string{"id: 1\ndata: a\n\n"}, "data: b\n\n", false},
		"identifier that is no number":     {"", []string{"id: 1\ndata: a\n\n"}, "id: two\ndata: b\n\n", false},
		"identifier beyond all numbers":    {"", []string{"id: 1\ndata: a\n\n"}, "id: 99999999999999999999\ndata: b\n\n", false},
		"after the greatest identifier":    {"", []string{"id: 9223372036854775806\ndata: a\n\n", "id: 9223372036854775807\ndata: b\n\n"}, "id: -9223372036854775808\ndata: c\n\n", false},
		"error text":                       {"", []string{"id: 1\ndata: a\n\n"}, "error: out of memory\n\n", false},
		"head of an answer":                {"", []string{"id: 1\ndata: a\n\n"}, "HTTP/1.1 500 Internal Server Error\n\n", false},
		"nothing sent, nothing to compare": {"", nil, "id: 1\ndata: a\n\n", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := newSequence(tt.lastEvent)
			for _, raw := range tt.before {
				q = q.With(parseEvent([]byte(raw)))
			}
			if got := q.isContinuedBy(parseEvent([]byte(tt.next))); got != tt.want {
				t.Errorf("continued: %v, want %v", got, tt.want)
			}
		})
	}
}
