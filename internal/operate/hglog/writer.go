package hglog

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// flushAfter is the longest time that a line waits for further ones.
	flushAfter = 200 * time.Millisecond
	// bufferBytes is the size of the writes to the output.
	bufferBytes = 32 << 10
)

// Writer passes lines on in the background and never blocks: while the output does not keep up, lines are dropped,
// counted and, once it does again, reported in a line of their own.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
}

// NewWriter returns a writer that holds up to a number of lines.
func NewWriter(w io.Writer, lines int) *Writer {
	a := &Writer{lines: make(chan []byte, lines)}
	a.done.Go(func() { a.run(bufio.NewWriterSize(w, bufferBytes)) })
	return a
}

// Write takes one line.
func (a *Writer) Write(line []byte) (n int, err error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped and not yet reported.
func (a *Writer) Dropped() int { return int(a.dropped.Load()) }

// Close writes what is held and ends the writer; nothing may be written after it.
func (a *Writer) Close() {
	close(a.lines)
	a.done.Wait()
}

func (a *Writer) run(w *bufio.Writer) {
	flush := time.NewTimer(flushAfter)
	flush.Stop()
	pending := false
	for {
		select {
		case line, ok := <-a.lines:
			if !ok {
				_ = w.Flush()
				return
			}
			a.put(w, line)
			if !pending {
				pending = true
				flush.Reset(flushAfter)
			}
		case <-flush.C:
			pending = false
			_ = w.Flush()
		}
	}
}

func (a *Writer) put(w *bufio.Writer, line []byte) {
	if n := a.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
	_, _ = w.Write(line)
}
