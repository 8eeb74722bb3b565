package hgstandin

import (
	"container/list"
	"net/http"

	"hyssopgrade/hgretain"
	"hyssopgrade/internal/serve/hgendpoint"
)

// cache is a prefix cache that holds one prefix per program and evicts the least recently used program. Sizes are in tokens.
type cache struct {
	capacity int
	used     int
	recent   *list.List
	entries  map[string]*list.Element
	written  uint64
	reused   uint64
}

// cachedPrefix is a program's prefix; unused counts its tokens that no prompt has reused since they were written.
type cachedPrefix struct {
	program string
	tokens  int
	unused  int
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, recent: list.New(), entries: map[string]*list.Element{}}
}

// use returns how many of a prompt's tokens are cached, and counts the program's cached tokens as reused.
func (c *cache) use(program string, prompt int) int {
	el := c.entries[program]
	if el == nil {
		return 0
	}
	prefix := el.Value.(*cachedPrefix)
	c.reused += uint64(prefix.unused)
	prefix.unused = 0
	c.recent.MoveToFront(el)
	return min(prefix.tokens, prompt)
}

// extend grows a program's prefix to the given number of tokens and evicts other programs while the cache is over its capacity.
func (c *cache) extend(program string, tokens int) {
	el := c.entries[program]
	if el == nil {
		el = c.recent.PushFront(&cachedPrefix{program: program})
		c.entries[program] = el
	}
	prefix := el.Value.(*cachedPrefix)
	grown := max(tokens-prefix.tokens, 0)
	prefix.tokens += grown
	prefix.unused += grown
	c.used += grown
	c.written += uint64(grown)
	for c.used > c.capacity && c.recent.Len() > 1 {
		c.remove(c.recent.Back().Value.(*cachedPrefix).program)
	}
}

func (c *cache) remove(program string) {
	el := c.entries[program]
	if el == nil {
		return
	}
	c.used -= el.Value.(*cachedPrefix).tokens
	c.recent.Remove(el)
	delete(c.entries, program)
}

func (c *cache) usedShare() float64 { return float64(c.used) / float64(max(c.capacity, 1)) }

func (c *cache) waste() Waste { return Waste{Written: c.written, Unused: c.written - c.reused} }

func (e *Endpoint) programs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.CachedTokens())
}

// CachedTokens returns the number of tokens in the prefix cache, by program.
func (e *Endpoint) CachedTokens() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := map[string]int{}
	for id, el := range e.cache.entries {
		tokens[id] = el.Value.(*cachedPrefix).tokens
	}
	return tokens
}

// order executes an order about a program's prefix; a release evicts it.
func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var o hgendpoint.Order
	if !readJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && !e.checkFence(o.Fence.String()) {
		http.Error(w, "old fencing number "+o.Fence.String(), http.StatusPreconditionFailed)
		return
	}
	if o.Action == hgretain.Release {
		e.cache.remove(o.Program)
	}
}
