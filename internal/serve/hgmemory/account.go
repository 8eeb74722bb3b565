package hgmemory

import (
	"cmp"
	"errors"
	"sync"
	"time"
)

// ErrShed means that a request gave way to others because the memory for requests is used up. Its text is sent to callers.
var ErrShed = errors.New("no memory is left for request bodies")

const (
	// RuntimeShare is the share of a machine's memory that is set as the soft memory limit of the Go runtime. The rest holds the program
	// itself and the system's buffers of connections.
	RuntimeShare = 0.6
	// RequestShare is the share of a machine's memory for the requests of callers, without the part of claims that give way.
	RequestShare = 0.16
	// firstBlockBytes is the size of the first block of a body of unknown size, so that a body of few bytes charges little.
	firstBlockBytes = 2 << 10
	// SmallBody is the largest body, in bytes, that may use the part of the memory that is reserved for small ones. A declared body up
	// to this size is read into memory of its own size, without a copy.
	SmallBody = 16 << 10
	// SmallRequest is the largest request, in bytes with its connection, head and body, that may use that part.
	SmallRequest = 80 << 10
	// smallReserve is the divisor of the limit for the part that is reserved for small requests, so that whole bodies of legal size, which
	// cannot give way, do not keep small ones out.
	smallReserve = 8
	// leavingReserve is the divisor of the limit for what is used beyond it by claims that have given way: their connections stay open
	// until the refusal is sent.
	leavingReserve = 4
	// idleGrace is how long a connection without a request is kept before unfinished requests: a new caller is about to send one.
	idleGrace = time.Second
)

// Account bounds the memory of all requests that are received or held at the same time: their connections, heads and bodies. It is safe
// for concurrent use. Bytes are charged as they arrive. It addresses clients that stop short of the end of a request, with many bytes
// each or in large numbers: before the limit is passed, the connection that is idle for longest gives way, or if all were used just now the
// unfinished request that has held the most bytes for the longest time, so that small and quick ones go on.
type Account struct {
	limit int
	clock Clock

	mu sync.Mutex
	// used is the number of charged bytes, and leaving the part of it that claims hold which have given way. free are the blocks that
	// wait for reuse, which count against the limit too.
	used, leaving int
	free          [][]byte
	// open are the claims that may have to give way.
	open map[*Claim]bool
	// short says that the process is near its memory limit: only small requests are taken.
	short bool
}

// Clock tells the time since some moment; hgtimer.Timer is one.
type Clock interface {
	Now() time.Duration
}

// NewAccount returns an account with a total of limit bytes, and a quarter more for claims that give way.
func NewAccount(limit int, clock Clock) *Account {
	return &Account{limit: limit, clock: clock, open: map[*Claim]bool{}}
}

// SetShort sets whether the process is near its memory limit. Only small requests are taken then.
func (a *Account) SetShort(short bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.short = short
}

// claimState says whether a claim can give way.
type claimState int

const (
	// stateReceiving is that of an unfinished request.
	stateReceiving claimState = iota
	// stateIdle is that of a connection without a request.
	stateIdle
	// stateWhole is that of a connection whose request cannot give way.
	stateWhole
)

// Claim is what a connection, a body or other bytes of a request hold of an account. One goroutine at a time reads or writes its bytes.
type Claim struct {
	account *Account
	// conn is the claim of the connection that a body comes on, which ends if the body gives way; nil for others.
	conn *Claim
	// interrupt ends a read that waits for bytes, or closes the connection.
	interrupt func()
	// small is the largest weight of a claim that counts as small.
	small int
	// The fields below are guarded by account.mu. began is when the present state began.
	state claimState
	began time.Duration
	// blocks hold the bytes of a body; only the last one is written to. charged is the number of bytes that the claim is charged for.
	blocks  [][]byte
	charged int
	size    int
	// shed says that the claim has given way, and leaving that its bytes count as such.
	shed, leaving bool
}

// Open returns the claim of a source of bytes, such as an unfinished body. interrupt is called, from any goroutine, when the claim gives
// way. Close it after use.
func (a *Account) Open(interrupt func()) *Claim { return a.OpenBody(nil, interrupt) }

// OpenBody is Open for a body that comes on a connection; conn is nil if that has no claim.
func (a *Account) OpenBody(conn *Claim, interrupt func()) *Claim {
	c := &Claim{account: a, interrupt: interrupt, began: a.clock.Now(), small: SmallBody}
	if conn != nil && conn.account == a {
		c.conn, c.small = conn, SmallRequest
	}
	a.add(c)
	return c
}

// OpenConn returns the claim of a new connection of n bytes. interrupt is called, from any goroutine, when it is to be closed.
func (a *Account) OpenConn(n int, interrupt func()) (c *Claim, err error) {
	c = &Claim{account: a, interrupt: interrupt, began: a.clock.Now(), small: SmallRequest, state: stateIdle}
	if err := c.Charge(n); err != nil {
		return nil, err
	}
	a.add(c)
	return c, nil
}

func (a *Account) add(c *Claim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[c] = true
}

// Charge charges n more bytes. It returns ErrShed if the claim has given way, or has to.
func (c *Claim) Charge(n int) (err error) { return c.change(func() int { return n }) }

// Receive charges a connection n bytes in total, for the part of a request that has arrived.
func (c *Claim) Receive(n int) (err error) { return c.enter(stateReceiving, n) }

// Hold charges a connection n bytes in total, for a request that cannot give way. The body may, in a claim of its own.
func (c *Claim) Hold(n int) (err error) { return c.enter(stateWhole, n) }

// Release charges a connection n bytes in total, at most as many as before, until its next request.
func (c *Claim) Release(n int) {
	_ = c.enter(stateIdle, n) // a smaller charge always fits
}

// enter changes the state of a connection and its charge, to n bytes in total.
func (c *Claim) enter(s claimState, n int) (err error) {
	return c.change(func() int {
		if c.state != s {
			c.state, c.began = s, c.account.clock.Now()
		}
		return n - c.charged
	})
}

// change charges as many more bytes as by returns, which is called with account.mu held.
func (c *Claim) change(by func() int) (err error) {
	a := c.account
	for {
		a.mu.Lock()
		victim, err := c.tryCharge(by())
		a.mu.Unlock()
		if victim == nil {
			return err
		}
		victim.interrupt()
	}
}

// tryCharge charges n bytes, or returns the claim that has given way for it, after which it is to be called again; account.mu is held.
func (c *Claim) tryCharge(n int) (victim *Claim, err error) {
	a := c.account
	if n <= 0 {
		c.add(n)
		return nil, nil
	}
	limit := a.limit
	isSmall := c.weight()+n <= c.small
	if !isSmall {
		limit -= a.limit / smallReserve
	}
	if c.shed || a.short && !isSmall {
		return nil, ErrShed
	}
	if a.used-a.leaving+n > limit {
		victim = a.heaviest(isSmall)
		if victim == nil || victim == c {
			return nil, ErrShed
		}
		victim.giveWay()
		return victim, nil
	}
	total := limit + a.limit/leavingReserve
	if a.used+n > total {
		return nil, ErrShed
	}
	for len(a.free) > 0 && a.used+n+len(a.free)*blockBytes > total {
		last := len(a.free) - 1
		a.free[last], a.free = nil, a.free[:last]
	}
	c.add(n)
	return nil, nil
}

// add changes the charge by n bytes; account.mu is held.
func (c *Claim) add(n int) {
	c.charged += n
	c.account.used += n
	if c.leaving {
		c.account.leaving += n
	}
}

// weight returns the number of bytes that are free once the claim has given way; account.mu is held.
func (c *Claim) weight() int {
	if c.conn != nil {
		return c.charged + c.conn.charged
	}
	return c.charged
}

// heaviest returns the claim that has been idle for longest, beyond idleGrace, or else the unfinished one with the largest product of bytes
// held and time since it began, or else any idle one; nil if there is none. Small requests give way only to small ones. a.mu is held.
func (a *Account) heaviest(isSmall bool) (v *Claim) {
	now := a.clock.Now()
	var idle, unfinished *Claim
	var longest time.Duration
	most := 0.0
	for c := range a.open {
		held := now - c.began + time.Millisecond
		switch {
		case c.shed || c.state == stateWhole:
		case c.state == stateIdle:
			if held > longest {
				idle, longest = c, held
			}
		case c.weight() > c.small || isSmall:
			if weight := float64(c.weight()) * held.Seconds(); weight > most {
				unfinished, most = c, weight
			}
		}
	}
	if longest > idleGrace {
		return idle
	}
	return cmp.Or(unfinished, idle)
}

// giveWay releases all blocks but the last, which a read may be writing to; account.mu is held.
func (c *Claim) giveWay() {
	c.shed = true
	if last := len(c.blocks) - 1; last > 0 {
		c.releaseBlocks(c.blocks[:last])
		c.blocks = c.blocks[last:]
	}
	c.leave()
	if c.conn != nil {
		c.conn.leave()
	}
}

// leave counts the claim's bytes as those of one that has given way; account.mu is held.
func (c *Claim) leave() {
	if !c.leaving {
		c.leaving = true
		c.account.leaving += c.charged
	}
}

// Keep takes back that a connection gives way, as a request has arrived on it. It stays until its next change of state.
func (c *Claim) Keep() {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.leaving {
		c.leaving = false
		a.leaving -= c.charged
	}
	c.shed, c.state = false, stateWhole
}

// releaseBlocks returns blocks to the account; account.mu is held.
func (c *Claim) releaseBlocks(blocks [][]byte) {
	for _, block := range blocks {
		c.add(-cap(block))
		if cap(block) == blockBytes {
			c.account.free = append(c.account.free, block[:0])
		}
	}
}

// IsShed reports whether the claim has given way.
func (c *Claim) IsShed() bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.shed
}

// Reset ends the charge of a source of many messages; the next message starts at 0 bytes.
func (c *Claim) Reset() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.add(-c.charged)
	c.size, c.began = 0, c.account.clock.Now()
}

// Close ends the charge and drops its memory. Bytes that Read returned may still be in use; the caller drops them.
func (c *Claim) Close() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	delete(c.account.open, c)
	c.add(-c.charged)
	c.blocks, c.shed = nil, true
}
