package hgentry

import (
	"bytes"
	"strconv"
)

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
		name, value, _ := bytes.Cut(line, []byte(":"))
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
