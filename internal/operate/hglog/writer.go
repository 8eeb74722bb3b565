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
	// flushDelay is the longest time for which a line is buffered to be written together with later ones.
	flushDelay = 200 * time.Millisecond
	// bufferBytes is the size of the buffer in front of the output; a full buffer is written at once.
	bufferBytes = 32 << 10
)

// Writer queues lines and writes them to its output in the background, so that logging never blocks. While the queue is
// full, lines are dropped and counted; the count is logged in a line of its own before the next line written.
type Writer struct {
	queue   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
	// closing is closed by Close; queue never is, since goroutines may log until the process ends.
	closing chan struct{}
}

// NewWriter returns a writer to w with a queue of the given number of lines.
func NewWriter(w io.Writer, lines int) *Writer {
	a := &Writer{queue: make(chan []byte, lines), closing: make(chan struct{})}
	a.done.Go(func() { a.run(bufio.NewWriterSize(w, bufferBytes)) })
	return a
}

// Write queues a copy of one line, or drops it if the queue is full; it never returns an error.
func (a *Writer) Write(line []byte) (n int, err error) {
	select {
	case a.queue <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that are not yet reported in the output.
func (a *Writer) Dropped() int { return int(a.dropped.Load()) }

// Close writes the queued lines and stops the writer. Lines that are written afterwards are dropped.
func (a *Writer) Close() {
	close(a.closing)
	a.done.Wait()
}

func (a *Writer) run(w *bufio.Writer) {
	flush := time.NewTimer(flushDelay)
	flush.Stop()
	pending := false
	for {
		select {
		case line := <-a.queue:
			a.writeLine(w, line)
			if !pending {
				pending = true
				flush.Reset(flushDelay)
			}
		case <-flush.C:
			pending = false
			_ = w.Flush()
		case <-a.closing:
			for range len(a.queue) {
				a.writeLine(w, <-a.queue)
			}
			_ = w.Flush()
			return
		}
	}
}

// writeLine writes a line, preceded by a report of the lines dropped since the last one.
func (a *Writer) writeLine(w *bufio.Writer, line []byte) {
	if n := a.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
	_, _ = w.Write(line)
}
