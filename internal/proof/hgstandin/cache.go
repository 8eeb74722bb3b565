package hgstandin

import (
	"container/list"
	"net/http"

	"hyssopgrade/hgretain"
	"hyssopgrade/internal/serve/hgendpoint"
)

// cache is a prefix cache with least-recently-used eviction by program.
type cache struct {
	size    int
	used    int
	order   *list.List
	entries map[string]*list.Element
	written uint64
	reused  uint64
}

// held is one program's prefix; fresh are the tokens not yet reused.
type held struct {
	program string
	tokens  int
	fresh   int
}

func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), entries: map[string]*list.Element{}}
}

// use returns how many of a prompt's tokens are cached and counts them as reused.
func (c *cache) use(program string, prompt int) int {
	el := c.entries[program]
	if el == nil {
		return 0
	}
	h := el.Value.(*held)
	c.reused += uint64(h.fresh)
	h.fresh = 0
	c.order.MoveToFront(el)
	return min(h.tokens, prompt)
}

// store grows a program's prefix to tokens and evicts others.
func (c *cache) store(program string, tokens int) {
	el := c.entries[program]
	if el == nil {
		el = c.order.PushFront(&held{program: program})
		c.entries[program] = el
	}
	h := el.Value.(*held)
	grown := max(tokens-h.tokens, 0)
	h.tokens += grown
	h.fresh += grown
	c.used += grown
	c.written += uint64(grown)
	for c.used > c.size && c.order.Len() > 1 {
		c.drop(c.order.Back().Value.(*held).program)
	}
}

// drop removes a program's prefix.
func (c *cache) drop(program string) {
	el := c.entries[program]
	if el == nil {
		return
	}
	c.used -= el.Value.(*held).tokens
	c.order.Remove(el)
	delete(c.entries, program)
}

func (c *cache) share() float64 { return float64(c.used) / float64(max(c.size, 1)) }

// waste returns the tokens written and those never reused.
func (c *cache) waste() Waste { return Waste{Written: c.written, Unused: c.written - c.reused} }

func (e *Endpoint) programs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Held())
}

// Held returns the tokens in the prefix cache, by program.
func (e *Endpoint) Held() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := map[string]int{}
	for id, el := range e.cache.entries {
		tokens[id] = el.Value.(*held).tokens
	}
	return tokens
}

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
		e.cache.drop(o.Program)
	}
}
