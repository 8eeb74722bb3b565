package hgendpoint

import (
	"bufio"
	"errors"
	"io"
	"math"

	"golang.org/x/sync/semaphore"
)

// Errors of answers that are given up although their connections still deliver bytes.
var (
	errTooLong  = errors.New("answer is too long")
	errNoMemory = errors.New("no memory is left for the answer")
)

// memoryBlock is the number of bytes by which the charge for an answer grows.
const memoryBlock = 16 << 10

// Memory bounds the bytes of all answers of endpoints that are being read; it is safe for concurrent use.
type Memory struct{ free *semaphore.Weighted }

// NewMemory returns a Memory of a number of bytes; 0 sets no bound.
func NewMemory(limit int64) *Memory {
	if limit == 0 {
		limit = math.MaxInt64
	}
	return &Memory{free: semaphore.NewWeighted(limit)}
}

// open returns the charge for an answer, which lasts until it is closed.
func (m *Memory) open() *charge { return &charge{memory: m} }

// charge is the memory of one answer.
type charge struct {
	memory *Memory
	// size is the number of bytes kept, and charged that of the bytes charged.
	size, charged int64
}

// add charges bytes that are kept of the answer. It fails beyond maxAnswerBytes, and if no memory is left.
func (c *charge) add(n int) (err error) {
	if c.size += int64(n); c.size > maxAnswerBytes {
		return errTooLong
	}
	for c.charged < c.size {
		if !c.memory.free.TryAcquire(memoryBlock) {
			return errNoMemory
		}
		c.charged += memoryBlock
	}
	return nil
}

func (c *charge) close() { c.memory.free.Release(c.charged) }

// chargedReader charges all bytes that are read.
type chargedReader struct {
	io.Reader
	charge *charge
}

// Read implements io.Reader.
func (c chargedReader) Read(p []byte) (n int, err error) {
	n, err = c.Reader.Read(p)
	if err := c.charge.add(n); err != nil {
		return 0, err
	}
	return n, err
}

// isGivenUp reports whether an answer ended by an error of this package, so that its endpoint need not have died.
func isGivenUp(err error) bool {
	return errors.Is(err, errTooLong) || errors.Is(err, errNoMemory) || errors.Is(err, bufio.ErrTooLong)
}
