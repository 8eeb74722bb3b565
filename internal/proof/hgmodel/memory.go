package hgmodel

import "container/list"

// Part is a part of a prompt with the tokens it has.
type Part struct {
	ID     int
	Tokens int
}

// tokens returns the length of a prompt.
func tokens(prompt []Part) (n int) {
	for _, p := range prompt {
		n += p.Tokens
	}
	return n
}

// memory is what an engine keeps of prompts; the least recently used parts yield.
type memory struct {
	size, used int
	parts      map[int]*list.Element
	// order holds the parts, the most recently used first.
	order *list.List
}

type keptPart struct {
	id, tokens, users int
}

func newMemory(size int) *memory {
	return &memory{size: size, parts: map[int]*list.Element{}, order: list.New()}
}

// kept returns how many tokens at the start of a prompt are kept.
func (m *memory) kept(prompt []Part) (n int) {
	for _, p := range prompt {
		e, ok := m.parts[p.ID]
		if !ok {
			return n
		}
		k := min(e.Value.(*keptPart).tokens, p.Tokens)
		n += k
		if k < p.Tokens {
			return n
		}
	}
	return n
}

// use makes room for a prompt and holds it until it is left; ok is false if what is in use leaves no room.
func (m *memory) use(prompt []Part) (ok bool) {
	need := 0
	for _, p := range prompt {
		have := 0
		if e, ok := m.parts[p.ID]; ok {
			have = e.Value.(*keptPart).tokens
			e.Value.(*keptPart).users++
		}
		need += max(p.Tokens-have, 0)
	}
	if !m.free(need) {
		for _, p := range prompt {
			if e, ok := m.parts[p.ID]; ok {
				e.Value.(*keptPart).users--
			}
		}
		return false
	}
	for _, p := range prompt {
		e, ok := m.parts[p.ID]
		if !ok {
			e = m.order.PushFront(&keptPart{id: p.ID, users: 1})
			m.parts[p.ID] = e
		}
		m.order.MoveToFront(e)
		k := e.Value.(*keptPart)
		m.used += max(p.Tokens-k.tokens, 0)
		k.tokens = max(k.tokens, p.Tokens)
	}
	return true
}

// grow lengthens a part that is in use.
func (m *memory) grow(id, n int) (ok bool) {
	e, found := m.parts[id]
	if !found || !m.free(n) {
		return false
	}
	e.Value.(*keptPart).tokens += n
	m.used += n
	return true
}

// leave ends the use of a prompt.
func (m *memory) leave(prompt []Part) {
	for _, p := range prompt {
		if e, ok := m.parts[p.ID]; ok {
			e.Value.(*keptPart).users--
			m.order.MoveToFront(e)
		}
	}
}

// free drops parts that nobody uses until there is room for n tokens.
func (m *memory) free(n int) bool {
	for e := m.order.Back(); m.used+n > m.size && e != nil; {
		k, before := e.Value.(*keptPart), e.Prev()
		if k.users == 0 {
			m.used -= k.tokens
			m.order.Remove(e)
			delete(m.parts, k.id)
		}
		e = before
	}
	return m.used+n <= m.size
}
