package hgmemory

// OpenOutput returns the claim of bytes that the process collects itself, with Write. It gives way only once it is larger than SmallBody.
// The collector notices that at its next Write.
func (a *Account) OpenOutput() *Claim {
	c := a.Open(func() {})
	a.mu.Lock()
	defer a.mu.Unlock()
	c.state = stateWhole
	return c
}

// Write adds bytes; an error is ErrShed. It implements io.Writer.
func (c *Claim) Write(p []byte) (n int, err error) {
	for n < len(p) {
		block, err := c.room(firstBlockBytes)
		if err != nil {
			return n, err
		}
		added := copy(block[len(block):cap(block)], p[n:])
		if err := c.record(block[:len(block)+added], added); err != nil {
			return n, err
		}
		n += added
	}
	c.exposeLarge()
	return n, nil
}

// exposeLarge lets a claim give way that is not small any more.
func (c *Claim) exposeLarge() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.size > SmallBody && c.state == stateWhole {
		c.state, c.began = stateReceiving, c.account.clock.Now()
	}
}

// Bytes returns what was written, in one piece that stays charged until Close. No further Write is allowed.
func (c *Claim) Bytes() (data []byte, err error) { return c.whole() }
