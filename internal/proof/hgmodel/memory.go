package hgmodel

import "container/list"

// Segment is a contiguous part of a prompt. Prompts with a common prefix share its segments by ID.
type Segment struct {
	ID     int
	Tokens int
}

// tokens returns the length of a prompt in tokens.
func tokens(prompt []Segment) (n int) {
	for _, p := range prompt {
		n += p.Tokens
	}
	return n
}

// kvCache is an engine's cache of prompt segments. It evicts the least recently used segments that no request uses.
type kvCache struct {
	// size and used are in tokens.
	size, used int
	segments   map[int]*list.Element
	// lru holds the segments, the most recently used first.
	lru *list.List
}

// cachedSegment is a segment in the cache; refs counts the running requests that use it.
type cachedSegment struct {
	id, tokens, refs int
}

func newKVCache(size int) *kvCache {
	return &kvCache{size: size, segments: map[int]*list.Element{}, lru: list.New()}
}

// cachedTokens returns the length of the longest cached prefix of a prompt.
func (c *kvCache) cachedTokens(prompt []Segment) (n int) {
	for _, p := range prompt {
		e, ok := c.segments[p.ID]
		if !ok {
			return n
		}
		k := min(e.Value.(*cachedSegment).tokens, p.Tokens)
		n += k
		if k < p.Tokens {
			return n
		}
	}
	return n
}

// acquire allocates memory for a prompt and protects it from eviction until release; ok is false if segments in use leave no room.
func (c *kvCache) acquire(prompt []Segment) (ok bool) {
	need := 0
	for _, p := range prompt {
		have := 0
		if e, ok := c.segments[p.ID]; ok {
			have = e.Value.(*cachedSegment).tokens
			e.Value.(*cachedSegment).refs++
		}
		need += max(p.Tokens-have, 0)
	}
	if !c.evictFor(need) {
		for _, p := range prompt {
			if e, ok := c.segments[p.ID]; ok {
				e.Value.(*cachedSegment).refs--
			}
		}
		return false
	}
	for _, p := range prompt {
		e, ok := c.segments[p.ID]
		if !ok {
			e = c.lru.PushFront(&cachedSegment{id: p.ID, refs: 1})
			c.segments[p.ID] = e
		}
		c.lru.MoveToFront(e)
		s := e.Value.(*cachedSegment)
		c.used += max(p.Tokens-s.tokens, 0)
		s.tokens = max(s.tokens, p.Tokens)
	}
	return true
}

// grow adds n tokens to a segment in use; ok is false if segments in use leave no room.
func (c *kvCache) grow(id, n int) (ok bool) {
	e, found := c.segments[id]
	if !found || !c.evictFor(n) {
		return false
	}
	e.Value.(*cachedSegment).tokens += n
	c.used += n
	return true
}

// release ends a request's use of a prompt; its segments stay cached until they are evicted.
func (c *kvCache) release(prompt []Segment) {
	for _, p := range prompt {
		if e, ok := c.segments[p.ID]; ok {
			e.Value.(*cachedSegment).refs--
			c.lru.MoveToFront(e)
		}
	}
}

// evictFor evicts unused segments until there is room for n tokens, and reports whether there is.
func (c *kvCache) evictFor(n int) bool {
	for e := c.lru.Back(); c.used+n > c.size && e != nil; {
		s, prev := e.Value.(*cachedSegment), e.Prev()
		if s.refs == 0 {
			c.used -= s.tokens
			c.lru.Remove(e)
			delete(c.segments, s.id)
		}
		e = prev
	}
	return c.used+n <= c.size
}
