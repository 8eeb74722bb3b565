package hgmemory

import (
	"errors"
	"io"
	"sync/atomic"
)

// Errors of Read. Their texts are sent to callers.
var (
	// ErrTooLong means that the source has more bytes than allowed.
	ErrTooLong = errors.New("too many bytes")
	// ErrFull means that the pool has too little free memory, because of other responses.
	ErrFull = errors.New("no memory is left for more bytes")
)

// firstBytes is the initial size of a buffer, which doubles whenever it is full.
const firstBytes = 4 << 10

// Pool limits the total size of buffers; it is safe for concurrent use.
type Pool struct {
	// limit is the most bytes that buffers may have reserved together.
	limit    int64
	reserved atomic.Int64
}

// NewPool returns a pool that allows a total of limit bytes.
func NewPool(limit int64) *Pool { return &Pool{limit: limit} }

// reserve reserves n bytes and reports whether so many were free.
func (p *Pool) reserve(n int64) bool {
	if p.reserved.Add(n) > p.limit {
		p.reserved.Add(-n)
		return false
	}
	return true
}

// Buffer holds bytes that were read from a source; Release returns their memory to the pool.
type Buffer struct {
	Bytes []byte
	pool  *Pool
	// size is the number of bytes reserved in the pool.
	size int64
}

// Release returns the memory to the pool; Bytes must not be used afterwards.
func (b *Buffer) Release() {
	b.pool.reserved.Add(-b.size)
	b.size, b.Bytes = 0, nil
}

// Read reads r to its end into a new buffer; more than maxBytes are an error. On an error the buffer is released already.
func (p *Pool) Read(r io.Reader, maxBytes int) (b *Buffer, err error) {
	b = &Buffer{pool: p}
	defer func() {
		if err != nil {
			b.Release()
		}
	}()
	for {
		if len(b.Bytes) == cap(b.Bytes) {
			if err := b.grow(maxBytes); err != nil {
				return b, err
			}
		}
		n, err := r.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		switch {
		case errors.Is(err, io.EOF) && len(b.Bytes) <= maxBytes:
			return b, nil
		case err != nil && !errors.Is(err, io.EOF):
			return b, err
		case len(b.Bytes) > maxBytes:
			return b, ErrTooLong
		}
	}
}

// grow doubles the buffer, to at most maxBytes+1 bytes: the extra byte shows that the source is too long. Until the bytes are
// copied the old and the new memory are both reserved.
func (b *Buffer) grow(maxBytes int) error {
	size := min(max(2*cap(b.Bytes), firstBytes), maxBytes+1)
	if !b.pool.reserve(int64(size)) {
		return ErrFull
	}
	bytes := make([]byte, len(b.Bytes), size)
	copy(bytes, b.Bytes)
	b.Bytes = bytes
	b.pool.reserved.Add(-b.size)
	b.size = int64(size)
	return nil
}
