package hgbench

import (
	"container/list"
	"errors"
	"sync"
	"time"
)

// EngineConfig describes the speed and the capacity of an engine.
type EngineConfig struct {
	// StepBase and StepPerCall are the fixed time of a step and the time per call for which it generates a token.
	StepBase    time.Duration
	StepPerCall time.Duration
	// PrefillPerToken is the time to compute one prompt token.
	PrefillPerToken time.Duration
	// ChunkTokens is the largest number of prompt tokens computed in one step.
	ChunkTokens int
	// MaxBatch is the largest number of calls in the batch.
	MaxBatch int
	// MemoryTokens is the size of the memory for running calls and idle prefixes.
	MemoryTokens int
}

// errEngineDown is the outcome of calls on an engine that is down.
var errEngineDown = errors.New("engine is down")

// outcome is the result of a call on an engine. prefilled is the number of prompt tokens that were not in the cache.
type outcome struct {
	prefilled  int
	firstToken time.Duration
	total      time.Duration
	err        error
}

// sequence is one call on an engine. prompt, output, prefilled, prefillLeft and generated are in tokens.
type sequence struct {
	program     string
	prompt      int
	output      int
	prefilled   int
	prefillLeft int
	generated   int
	start       time.Time
	firstToken  time.Duration
	done        chan outcome
}

// prefix is the cached conversation of a program without a running call; unused is the number of its tokens that no call
// has reused yet.
type prefix struct {
	program string
	tokens  int
	unused  int
}

// Engine simulates a model engine with continuous batching, chunked prefill and a prefix cache with LRU eviction.
type Engine struct {
	cfg EngineConfig

	mu      sync.Mutex
	down    bool
	waiting []*sequence
	running []*sequence
	// inUse and idle are the memory of running calls and of idle prefixes, in tokens.
	inUse int
	idle  int
	// lru holds the idle prefixes, the most recently used first, and prefixes the same by program.
	lru      *list.List
	prefixes map[string]*list.Element
	// written and reused count the tokens written to the cache and those of them that were reused.
	written int
	reused  int
	// evictions counts the idle prefixes evicted for lack of memory.
	evictions int
	wake      chan struct{}
	closed    bool
}

// NewEngine starts an engine; Close stops it.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{cfg: cfg, lru: list.New(), prefixes: map[string]*list.Element{}, wake: make(chan struct{}, 1)}
	go e.run()
	return e
}

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// submit queues a call and waits for its outcome.
func (e *Engine) submit(program string, prompt, output int) outcome {
	s := &sequence{program: program, prompt: prompt, output: output, start: time.Now(), done: make(chan outcome, 1)}
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return outcome{err: errEngineDown}
	}
	e.waiting = append(e.waiting, s)
	e.wakeLoop()
	e.mu.Unlock()
	return <-s.done
}

// Release drops a program's idle prefix without counting it as an eviction.
func (e *Engine) Release(program string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropPrefix(program)
}

// SetDown takes the engine down, which fails all its calls and empties its cache, or brings it back up.
func (e *Engine) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
	if !down {
		return
	}
	for _, s := range append(e.running, e.waiting...) {
		s.done <- outcome{err: errEngineDown}
	}
	e.running, e.waiting, e.inUse = nil, nil, 0
	for e.lru.Len() > 0 {
		e.dropPrefix(e.lru.Back().Value.(*prefix).program)
	}
}

// Close stops the engine once it has no running call.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.wakeLoop()
}

// IdlePrefixes returns the lengths of the idle prefixes in tokens, by program.
func (e *Engine) IdlePrefixes() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := map[string]int{}
	for id, el := range e.prefixes {
		held[id] = el.Value.(*prefix).tokens
	}
	return held
}

// MemoryUse returns the share of the memory that running calls and idle prefixes take; calls larger than the memory give
// values above 1.
func (e *Engine) MemoryUse() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return float64(e.inUse+e.idle) / float64(e.cfg.MemoryTokens)
}

// run executes steps while there are calls, and waits for calls otherwise.
func (e *Engine) run() {
	for {
		d, closed := e.step()
		switch {
		case closed:
			return
		case d == 0:
			<-e.wake
		default:
			time.Sleep(d)
			e.finishStep()
		}
	}
}

// step admits waiting calls in order of arrival and returns the duration of the next step, or 0 if there is no call.
// closed is true if there is none and the engine was closed.
func (e *Engine) step() (duration time.Duration, closed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	if len(e.running) == 0 {
		return 0, e.closed
	}
	duration = e.cfg.StepBase
	chunk := e.cfg.ChunkTokens
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			duration += e.cfg.StepPerCall
			continue
		}
		n := min(s.prefillLeft, chunk)
		chunk -= n
		s.prefillLeft -= n
		duration += time.Duration(n) * e.cfg.PrefillPerToken
	}
	return duration, false
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxBatch {
		s := e.waiting[0]
		need := s.prompt + s.output
		if len(e.running) > 0 && e.inUse+need > e.cfg.MemoryTokens {
			return
		}
		e.waiting = e.waiting[1:]
		cached := e.reuse(s.program, s.prompt)
		s.prefillLeft = s.prompt - cached
		s.prefilled = s.prefillLeft
		e.inUse += need
		e.evict()
		e.running = append(e.running, s)
	}
}

// reuse removes a program's idle prefix and returns the number of prompt tokens that it covers.
func (e *Engine) reuse(program string, prompt int) int {
	el := e.prefixes[program]
	if el == nil {
		return 0
	}
	p := el.Value.(*prefix)
	e.reused += p.unused
	e.dropPrefix(program)
	return min(p.tokens, prompt)
}

// evict drops the least recently used idle prefixes until the memory suffices.
func (e *Engine) evict() {
	for e.inUse+e.idle > e.cfg.MemoryTokens && e.lru.Len() > 0 {
		e.evictions++
		e.dropPrefix(e.lru.Back().Value.(*prefix).program)
	}
}

func (e *Engine) dropPrefix(program string) {
	el := e.prefixes[program]
	if el == nil {
		return
	}
	e.idle -= el.Value.(*prefix).tokens
	e.lru.Remove(el)
	delete(e.prefixes, program)
}

// finishStep adds one token to each call whose prompt is computed, and ends the calls that are complete.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	rest := e.running[:0]
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			s.generated++
			if s.generated == 1 {
				s.firstToken = time.Since(s.start)
			}
		}
		if s.generated < s.output {
			rest = append(rest, s)
			continue
		}
		e.finish(s)
	}
	e.running = rest
}

// finish ends a call and caches its prompt and output as an idle prefix.
func (e *Engine) finish(s *sequence) {
	tokens := s.prompt + s.output
	e.inUse -= tokens
	e.written += s.prefilled + s.output
	e.dropPrefix(s.program)
	e.prefixes[s.program] = e.lru.PushFront(&prefix{program: s.program, tokens: tokens, unused: s.prefilled + s.output})
	e.idle += tokens
	e.evict()
	s.done <- outcome{prefilled: s.prefilled, firstToken: s.firstToken, total: time.Since(s.start)}
}
