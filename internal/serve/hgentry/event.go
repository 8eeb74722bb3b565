package hgentry

import (
	"bytes"
	"errors"
	"strconv"
)

// errTruncatedEvent means that the stream ended without the empty line that ends an event.
var errTruncatedEvent = errors.New("stream ends within an event")

// splitEvent is a bufio.SplitFunc that returns events including the empty line that ends them. Lines end with a line feed or with a
// carriage return and a line feed. Empty lines at the end of the stream are returned, too.
func splitEvent(data []byte, atEOF bool) (advance int, token []byte, err error) {
	for end := 0; ; {
		i := bytes.IndexByte(data[end:], '\n')
		if i < 0 {
			break
		}
		end += i + 1
		if n := emptyLine(data[end:]); n > 0 {
			return end + n, data[:end+n], nil
		}
	}
	switch {
	case !atEOF || len(data) == 0:
		return 0, nil, nil
	case len(bytes.Trim(data, "\r\n")) == 0:
		return len(data), data, nil
	}
	return 0, nil, errTruncatedEvent
}

// emptyLine returns the length of the empty line at the beginning of data; 0 if there is none.
func emptyLine(data []byte) int {
	switch {
	case bytes.HasPrefix(data, []byte("\n")):
		return 1
	case bytes.HasPrefix(data, []byte("\r\n")):
		return 2
	}
	return 0
}

// event is the content of one event of a stream.
type event struct {
	id    string
	hasID bool
	// data holds the event's lines of data, each with a line feed.
	data []byte
}

// parseEvent parses an event; lines that are no fields of one are ignored.
func parseEvent(raw []byte) (e event) {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, value, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.id, e.hasID = string(value), true
		case "data":
			e.data = append(append(e.data, value...), '\n')
		}
	}
	return e
}

// isEmpty reports whether the event has neither an identifier nor data, as a comment.
func (e event) isEmpty() bool { return !e.hasID && len(e.data) == 0 }

// sequence is what the identifiers of a stream's events say of the one that comes next.
type sequence struct {
	// last is the last identifier, if hasLast is set.
	last    int64
	hasLast bool
	// steps counts the steps from one identifier to the next, and uneven says that one of them was not 1.
	steps  int
	uneven bool
	// unnumbered says that an event had no identifier to resume the stream after.
	unnumbered bool
}

// newSequence returns the sequence after the event that a caller names as its last one; empty if it has none.
func newSequence(lastEvent string) (q sequence) {
	n, err := strconv.ParseInt(lastEvent, 10, 64)
	return sequence{last: n, hasLast: err == nil}
}

// With returns the sequence after an event.
func (q sequence) With(e event) sequence {
	if e.isEmpty() {
		return q
	}
	n, err := strconv.ParseInt(e.id, 10, 64)
	if err != nil {
		q.unnumbered = true
		return q
	}
	if q.hasLast {
		q.steps++
		q.uneven = q.uneven || n != q.last+1
	}
	q.last, q.hasLast = n, true
	return q
}

// isContinuedBy reports whether an event may come next. Where all steps were 1, a larger one means that an event is missing.
func (q sequence) isContinuedBy(e event) bool {
	n, err := strconv.ParseInt(e.id, 10, 64)
	if err != nil || !q.hasLast {
		return err == nil
	}
	return n > q.last && (q.steps == 0 || q.uneven || n == q.last+1)
}

// isFollowedBy reports whether an event has a larger identifier than the last one of the sequence.
func (q sequence) isFollowedBy(e event) bool {
	n, err := strconv.ParseInt(e.id, 10, 64)
	return err == nil && q.hasLast && n > q.last
}
