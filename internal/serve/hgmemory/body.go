package hgmemory

import (
	"errors"
	"io"
	"runtime"
)

// room returns the last block if it has room, or else a new one, of which the first has the given size.
func (c *Claim) room(first int) (block []byte, err error) {
	if last := len(c.blocks) - 1; last >= 0 && len(c.blocks[last]) < cap(c.blocks[last]) {
		return c.blocks[last], nil
	}
	n := blockBytes
	if len(c.blocks) == 0 {
		n = first
	}
	if err := c.Charge(n); err != nil {
		return nil, err
	}
	if len(c.blocks) > 0 {
		runtime.Gosched() // Chunks of a few bytes take long to decode; without it dozens of such bodies delay timers and other requests.
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if last := len(c.account.free) - 1; last >= 0 && n == blockBytes {
		block, c.account.free = c.account.free[last], c.account.free[:last]
	} else {
		block = make([]byte, 0, n)
	}
	if c.shed { // the block was charged before the body gave way, which released only what it held then
		c.add(-c.charged)
		return nil, ErrShed
	}
	c.blocks = append(c.blocks, block)
	return block, nil
}

// Read reads r to its end and returns its bytes in one piece, which stay charged until Close. declared is the number of bytes that the
// client has announced, or -1. More than maxBytes are ErrTooLong. before is called before each read, with the number of bytes so far.
func (c *Claim) Read(r io.Reader, declared, maxBytes int64, before func(size int)) (data []byte, err error) {
	first := firstBlockBytes
	if declared >= 0 && declared <= SmallBody {
		first = max(int(declared), 1)
	}
	for declared < 0 || int64(c.size) < declared {
		block, err := c.room(first)
		if err != nil {
			return nil, err
		}
		before(c.size)
		if c.IsShed() {
			return nil, ErrShed
		}
		n, readErr := r.Read(block[len(block):cap(block)])
		if err := c.record(block[:len(block)+n], n); err != nil {
			return nil, err
		}
		switch {
		case int64(c.size) > maxBytes:
			return nil, ErrTooLong
		case errors.Is(readErr, io.EOF):
			return c.whole()
		case readErr != nil:
			return nil, readErr
		}
	}
	return c.whole()
}

// record records the bytes that a read has added to the last block.
func (c *Claim) record(block []byte, n int) (err error) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.size += n
	if c.shed {
		return ErrShed
	}
	c.blocks[len(c.blocks)-1] = block
	return nil
}

// whole ends the reception: the body can no longer give way. It returns the bytes in one piece, whose size is charged from here on
// instead of the blocks.
func (c *Claim) whole() (data []byte, err error) {
	if len(c.blocks) > 1 || len(c.blocks) == 1 && len(c.blocks[0]) < cap(c.blocks[0]) {
		if err := c.Charge(c.size); err != nil {
			return nil, err
		}
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.shed {
		return nil, ErrShed
	}
	delete(a.open, c)
	switch {
	case len(c.blocks) == 0:
		return []byte{}, nil
	case len(c.blocks) == 1 && len(c.blocks[0]) == cap(c.blocks[0]):
		return c.blocks[0], nil
	}
	data = make([]byte, 0, c.size)
	for _, block := range c.blocks {
		data = append(data, block...)
	}
	c.releaseBlocks(c.blocks)
	c.blocks = nil
	return data, nil
}
