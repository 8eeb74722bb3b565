package hgmemory

import (
	"errors"
	"io"
	"sync"
)

// Errors of Read. Their texts are sent to callers.
var (
	// ErrTooLong means that the source has more bytes than allowed.
	ErrTooLong = errors.New("too many bytes")
	// ErrFull means that the pool has too little free memory, because of other responses.
	ErrFull = errors.New("no memory is left for more bytes")
)

// blockBytes is the size of the blocks that buffers consist of: the least that a response reserves, and the most that one call
// reads or writes.
const blockBytes = 16 << 10

// Pool limits the total size of buffers; it is safe for concurrent use. It keeps the blocks of released buffers for later ones:
// blocks that are left to the garbage collector can add up to several times the limit before it frees them.
type Pool struct {
	mu   sync.Mutex
	free [][]byte
	// unused is the number of blocks that may still be allocated.
	unused int
}

// NewPool returns a pool that allows a total of limit bytes.
func NewPool(limit int64) *Pool { return &Pool{unused: int(limit / blockBytes)} }

// take returns an empty block, or nil if the pool has none left.
func (p *Pool) take() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.free) - 1; last >= 0 {
		block := p.free[last]
		p.free = p.free[:last]
		return block
	}
	if p.unused == 0 {
		return nil
	}
	p.unused--
	return make([]byte, 0, blockBytes)
}

// Buffer holds bytes that were read from a source; Release returns their memory to the pool.
type Buffer struct {
	pool   *Pool
	blocks [][]byte
	size   int
}

// Len returns the number of bytes.
func (b *Buffer) Len() int { return b.size }

// WriteTo writes the bytes to w; it implements io.WriterTo.
func (b *Buffer) WriteTo(w io.Writer) (written int64, err error) {
	for _, block := range b.blocks {
		n, err := w.Write(block)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Release returns the memory to the pool; the buffer is empty afterwards.
func (b *Buffer) Release() {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	for _, block := range b.blocks {
		b.pool.free = append(b.pool.free, block[:0])
	}
	b.blocks, b.size = nil, 0
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
		block, err := b.last()
		if err != nil {
			return b, err
		}
		n, err := r.Read((*block)[len(*block):cap(*block)])
		*block = (*block)[:len(*block)+n]
		b.size += n
		switch {
		case errors.Is(err, io.EOF) && b.size <= maxBytes:
			return b, nil
		case err != nil && !errors.Is(err, io.EOF):
			return b, err
		case b.size > maxBytes:
			return b, ErrTooLong
		}
	}
}

// last returns the last block, a new one if that is full.
func (b *Buffer) last() (block *[]byte, err error) {
	if last := len(b.blocks) - 1; last >= 0 && len(b.blocks[last]) < blockBytes {
		return &b.blocks[last], nil
	}
	next := b.pool.take()
	if next == nil {
		return nil, ErrFull
	}
	b.blocks = append(b.blocks, next)
	return &b.blocks[len(b.blocks)-1], nil
}
