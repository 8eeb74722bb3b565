package hgmemory

import (
	"errors"
	"io"
	"runtime"
	"sync"
	"time"
)

// ErrShed means that a body gave way to others because the memory for bodies is used up. Its text is sent to callers.
var ErrShed = errors.New("no memory is left for request bodies")

const (
	// RuntimeShare is the share of a machine's memory that is set as the soft memory limit of the Go runtime. The rest holds the program
	// itself and the system's buffers of connections.
	RuntimeShare = 0.6
	// BodyShare is the share of a machine's memory for the bodies of callers' requests.
	BodyShare = 0.15
	// firstBlockBytes is the size of the first block of a body of unknown size, so that a body of few bytes charges little.
	firstBlockBytes = 2 << 10
	// SmallBody is the largest body, in bytes, that may use the part of the memory that is reserved for small ones. A declared body up
	// to this size is read into memory of its own size, without a copy.
	SmallBody = 16 << 10
	// smallReserve is the divisor of the limit for the part that is reserved for small bodies, so that whole bodies of legal size, which
	// cannot give way, do not keep small ones out.
	smallReserve = 8
)

// Bodies bounds the memory of all bodies that are received or held at the same time; it is safe for concurrent use. Bytes are charged
// as they arrive. It addresses many large bodies that stop short of their end: before the limit is passed, the unfinished body that
// has held the most bytes for the longest time gives way, so that small and quick ones go on.
type Bodies struct {
	limit int
	clock Clock

	mu sync.Mutex
	// used is the number of charged bytes; free are the blocks that wait for reuse, which count against the limit too.
	used int
	free [][]byte
	// open are the unfinished bodies.
	open map[*Body]bool
	// short says that the process is near its memory limit: only small bodies are taken.
	short bool
}

// Clock tells the time since some moment; hgtimer.Timer is one.
type Clock interface {
	Now() time.Duration
}

// NewBodies returns the account of bodies with a total of limit bytes.
func NewBodies(limit int, clock Clock) *Bodies {
	return &Bodies{limit: limit, clock: clock, open: map[*Body]bool{}}
}

// SetShort sets whether the process is near its memory limit. Only small bodies are taken then.
func (p *Bodies) SetShort(short bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.short = short
}

// Body is a body that is received, or held once it is whole. One goroutine uses it.
type Body struct {
	pool *Bodies
	// interrupt ends a read of the body that waits for bytes.
	interrupt func()
	began     time.Duration
	// The fields below are guarded by pool.mu. blocks hold the bytes read so far; only the last one is written to. charged is the
	// number of bytes that the body is charged for.
	blocks  [][]byte
	charged int
	size    int
	shed    bool
}

// Open returns a new unfinished body. interrupt is called, from any goroutine, when the body gives way. Close it after use.
func (p *Bodies) Open(interrupt func()) *Body {
	b := &Body{pool: p, interrupt: interrupt, began: p.clock.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[b] = true
	return b
}

// Charge charges the body for n more bytes. It returns ErrShed if the body has given way, or has to.
func (b *Body) Charge(n int) (err error) {
	b.pool.mu.Lock()
	victims, err := b.charge(n)
	b.pool.mu.Unlock()
	for _, v := range victims {
		v.interrupt()
	}
	return err
}

// charge charges n bytes and returns the bodies that gave way for it; pool.mu is held.
func (b *Body) charge(n int) (victims []*Body, err error) {
	p := b.pool
	limit := p.limit
	isSmall := b.charged+n <= SmallBody
	if !isSmall {
		limit -= p.limit / smallReserve
	}
	if b.shed || p.short && !isSmall {
		return nil, ErrShed
	}
	for p.used+n > limit {
		v := p.heaviest(isSmall)
		if v == nil || v == b {
			return victims, ErrShed
		}
		v.giveWay()
		victims = append(victims, v)
	}
	for len(p.free) > 0 && p.used+n+len(p.free)*blockBytes > p.limit {
		last := len(p.free) - 1
		p.free[last], p.free = nil, p.free[:last]
	}
	p.used += n
	b.charged += n
	return victims, nil
}

// heaviest returns the unfinished body with the largest product of bytes held and time since it began; nil if there is none. Small
// bodies give way only to small ones. pool.mu is held.
func (p *Bodies) heaviest(isSmall bool) (v *Body) {
	now := p.clock.Now()
	most := -1.0
	for b := range p.open {
		if b.shed || b.charged <= SmallBody && !isSmall {
			continue
		}
		if weight := float64(b.charged) * (now - b.began + time.Millisecond).Seconds(); weight > most {
			v, most = b, weight
		}
	}
	return v
}

// giveWay releases all blocks but the last, which a read may be writing to; pool.mu is held.
func (b *Body) giveWay() {
	b.shed = true
	if len(b.blocks) == 0 {
		b.pool.used -= b.charged
		b.charged = 0
		return
	}
	last := len(b.blocks) - 1
	b.release(b.blocks[:last])
	b.blocks = b.blocks[last:]
}

// release returns blocks to the pool; pool.mu is held.
func (b *Body) release(blocks [][]byte) {
	for _, block := range blocks {
		b.charged -= cap(block)
		b.pool.used -= cap(block)
		if cap(block) == blockBytes {
			b.pool.free = append(b.pool.free, block[:0])
		}
	}
}

// IsShed reports whether the body has given way.
func (b *Body) IsShed() bool {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	return b.shed
}

// room returns the last block if it has room, or else a new one, of which the first has the given size.
func (b *Body) room(first int) (block []byte, err error) {
	if last := len(b.blocks) - 1; last >= 0 && len(b.blocks[last]) < cap(b.blocks[last]) {
		return b.blocks[last], nil
	}
	n := blockBytes
	if len(b.blocks) == 0 {
		n = first
	}
	if err := b.Charge(n); err != nil {
		return nil, err
	}
	if len(b.blocks) > 0 {
		runtime.Gosched() // Chunks of a few bytes take long to decode; without it dozens of such bodies delay timers and other requests.
	}
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	if last := len(b.pool.free) - 1; last >= 0 && n == blockBytes {
		block, b.pool.free = b.pool.free[last], b.pool.free[:last]
	} else {
		block = make([]byte, 0, n)
	}
	if b.shed { // the block was charged before the body gave way, which released only what it held then
		b.pool.used -= b.charged
		b.charged = 0
		return nil, ErrShed
	}
	b.blocks = append(b.blocks, block)
	return block, nil
}

// Read reads r to its end and returns its bytes in one piece, which stay charged until Close. declared is the number of bytes that the
// client has announced, or -1. More than maxBytes are ErrTooLong. before is called before each read, with the number of bytes so far.
func (b *Body) Read(r io.Reader, declared, maxBytes int64, before func(size int)) (data []byte, err error) {
	first := firstBlockBytes
	if declared >= 0 && declared <= SmallBody {
		first = max(int(declared), 1)
	}
	for declared < 0 || int64(b.size) < declared {
		block, err := b.room(first)
		if err != nil {
			return nil, err
		}
		before(b.size)
		if b.IsShed() {
			return nil, ErrShed
		}
		n, readErr := r.Read(block[len(block):cap(block)])
		if err := b.add(block[:len(block)+n], n); err != nil {
			return nil, err
		}
		switch {
		case int64(b.size) > maxBytes:
			return nil, ErrTooLong
		case errors.Is(readErr, io.EOF):
			return b.whole()
		case readErr != nil:
			return nil, readErr
		}
	}
	return b.whole()
}

// add records the bytes that a read has added to the last block.
func (b *Body) add(block []byte, n int) (err error) {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	b.size += n
	if b.shed {
		return ErrShed
	}
	b.blocks[len(b.blocks)-1] = block
	return nil
}

// whole ends the reception: the body can no longer give way. It returns the bytes in one piece, whose size is charged from here on
// instead of the blocks.
func (b *Body) whole() (data []byte, err error) {
	if len(b.blocks) > 1 || len(b.blocks) == 1 && len(b.blocks[0]) < cap(b.blocks[0]) {
		if err := b.Charge(b.size); err != nil {
			return nil, err
		}
	}
	p := b.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.shed {
		return nil, ErrShed
	}
	delete(p.open, b)
	switch {
	case len(b.blocks) == 0:
		return []byte{}, nil
	case len(b.blocks) == 1 && len(b.blocks[0]) == cap(b.blocks[0]):
		return b.blocks[0], nil
	}
	data = make([]byte, 0, b.size)
	for _, block := range b.blocks {
		data = append(data, block...)
	}
	b.release(b.blocks)
	b.blocks = nil
	return data, nil
}

// Reset ends the charge of a source of many messages; the next message starts at 0 bytes.
func (b *Body) Reset() {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	b.pool.used -= b.charged
	b.charged, b.size, b.began = 0, 0, b.pool.clock.Now()
}

// Close ends the charge of the body and drops its memory. Bytes that Read returned may still be in use; the caller drops them.
func (b *Body) Close() {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	delete(b.pool.open, b)
	b.pool.used -= b.charged
	b.charged, b.blocks, b.shed = 0, nil, true
}
