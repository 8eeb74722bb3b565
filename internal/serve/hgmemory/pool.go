package hgmemory

import (
	"errors"
	"io"
	"sync/atomic"
)

// Errors of reading.
var (
	// ErrTooLong means that there is more to read than was allowed.
	ErrTooLong = errors.New("too many bytes")
	// ErrFull means that other answers hold the memory.
	ErrFull = errors.New("no memory is left for more bytes")
)

// firstBytes is what a reader takes at first; it doubles that when it is full.
const firstBytes = 4 << 10

// Pool is the memory that answers share; it is safe for concurrent use.
type Pool struct {
	limit int64
	taken atomic.Int64
}

// NewPool returns a pool of a number of bytes.
func NewPool(limit int64) *Pool { return &Pool{limit: limit} }

// take takes bytes, if there are as many left.
func (p *Pool) take(n int64) bool {
	if p.taken.Add(n) > p.limit {
		p.taken.Add(-n)
		return false
	}
	return true
}

// Data is bytes that were read; Release gives their memory back.
type Data struct {
	Bytes []byte
	pool  *Pool
	held  int64
}

// Release gives the memory back; the bytes are not to be used any more.
func (d *Data) Release() {
	d.pool.taken.Add(-d.held)
	d.held, d.Bytes = 0, nil
}

// Read reads to the end, which must come within a number of bytes. On an error nothing is held.
func (p *Pool) Read(r io.Reader, most int) (d *Data, err error) {
	d = &Data{pool: p}
	defer func() {
		if err != nil {
			d.Release()
		}
	}()
	for {
		if len(d.Bytes) == cap(d.Bytes) {
			if err := d.grow(most); err != nil {
				return d, err
			}
		}
		n, err := r.Read(d.Bytes[len(d.Bytes):cap(d.Bytes)])
		d.Bytes = d.Bytes[:len(d.Bytes)+n]
		switch {
		case errors.Is(err, io.EOF) && len(d.Bytes) <= most:
			return d, nil
		case err != nil && !errors.Is(err, io.EOF):
			return d, err
		case len(d.Bytes) > most:
			return d, ErrTooLong
		}
	}
}

// grow doubles the memory, up to one byte more than may be read.
func (d *Data) grow(most int) error {
	size := min(max(2*cap(d.Bytes), firstBytes), most+1)
	if !d.pool.take(int64(size)) {
		return ErrFull
	}
	bytes := make([]byte, len(d.Bytes), size)
	copy(bytes, d.Bytes)
	d.Bytes = bytes
	d.pool.taken.Add(-d.held)
	d.held = int64(size)
	return nil
}
