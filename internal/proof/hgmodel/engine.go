package hgmodel

import (
	"slices"
	"time"
)

// EngineConfig describes the capacity and the speed of an engine.
type EngineConfig struct {
	// Slots is the largest batch, and Queue the largest number of requests that wait for a slot.
	Slots, Queue int
	// MemoryTokens is the size of the KV cache, which holds running requests and cached prompt segments.
	MemoryTokens int
	// A step generates one token for each running request. It takes StepBase, StepPerRequest for each running request,
	// and StepPerKiloToken for each thousand tokens of their contexts.
	StepBase, StepPerRequest, StepPerKiloToken time.Duration
	// PrefillPerToken is the time to compute one prompt token. A step computes at most ChunkTokens of them.
	PrefillPerToken time.Duration
	ChunkTokens     int
	// FetchPerToken is the time to copy one cached token from another engine, and FetchSetup the fixed time of each copy.
	FetchPerToken, FetchSetup time.Duration
}

// request is one request on an engine.
type request struct {
	prompt       []Segment
	outputTokens int
	// fetchFrom is the engine to copy cached segments from, or nil.
	fetchFrom *engine

	prefillLeft, generated int
	cancelled              bool
	// onFirstToken and onDone are called at the first and the last token, onRefused if the engine's queue is full.
	onFirstToken, onDone, onRefused func()
}

type engine struct {
	id      int
	cfg     EngineConfig
	clock   *Clock
	cache   *kvCache
	waiting []*request
	running []*request
	busy    bool
	// prefilled and fetched count prompt tokens, computed here or copied from another engine; refusals and preempted count
	// requests.
	prefilled, fetched, refusals, preempted int
}

func newEngine(id int, cfg EngineConfig, clock *Clock) *engine {
	return &engine{id: id, cfg: cfg, clock: clock, cache: newKVCache(cfg.MemoryTokens)}
}

// submit queues a request, or refuses it if the queue is full.
func (e *engine) submit(req *request) {
	if len(e.waiting) >= e.cfg.Queue {
		e.refusals++
		req.onRefused()
		return
	}
	e.waiting = append(e.waiting, req)
	e.start()
}

func (e *engine) start() {
	if !e.busy {
		e.busy = true
		e.step()
	}
}

// cancel removes a request from the queue or the batch.
func (e *engine) cancel(req *request) {
	req.cancelled = true
	if i := slices.Index(e.waiting, req); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	if i := slices.Index(e.running, req); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.cache.release(req.prompt)
	}
}

// admit moves waiting requests into the batch in order of arrival while there are slots and memory, and returns the time
// that copying their cached segments takes.
func (e *engine) admit() (fetching time.Duration) {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		req := e.waiting[0]
		cached := e.cache.cachedTokens(req.prompt)
		if !e.cache.acquire(req.prompt) {
			break
		}
		if req.fetchFrom != nil {
			if n := req.fetchFrom.cache.cachedTokens(req.prompt) - cached; n > 0 {
				e.fetched += n
				cached += n
				fetching += e.cfg.FetchSetup + time.Duration(n)*e.cfg.FetchPerToken
			}
		}
		req.prefillLeft = max(tokens(req.prompt)+req.generated-cached, 1)
		e.prefilled += req.prefillLeft
		e.waiting = e.waiting[1:]
		e.running = append(e.running, req)
	}
	return fetching
}

// step schedules the next step of the batch; the engine goes idle if it has no running request.
func (e *engine) step() {
	took := e.admit()
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	chunk, context := e.cfg.ChunkTokens, 0
	for _, req := range e.running {
		context += tokens(req.prompt) + req.generated
		n := min(req.prefillLeft, chunk)
		req.prefillLeft -= n
		chunk -= n
	}
	took += e.cfg.StepBase + time.Duration(len(e.running))*e.cfg.StepPerRequest
	took += time.Duration(e.cfg.ChunkTokens-chunk)*e.cfg.PrefillPerToken + time.Duration(context)*e.cfg.StepPerKiloToken/1000
	e.clock.At(e.clock.now+took, e.finishStep)
}

// finishStep adds one token to each request whose prompt is computed, ends those that are complete, and starts the next
// step.
func (e *engine) finishStep() {
	for _, req := range slices.Clone(e.running) {
		if req.prefillLeft > 0 || req.cancelled {
			continue
		}
		if !e.cache.grow(req.prompt[len(req.prompt)-1].ID, 1) {
			e.preempt()
			continue
		}
		req.generated++
		if req.generated == 1 {
			req.onFirstToken()
		}
		if req.generated >= req.outputTokens {
			e.running = slices.DeleteFunc(e.running, func(r *request) bool { return r == req })
			e.cache.release(req.prompt)
			req.onDone()
		}
	}
	e.step()
}

// preempt puts the most recently admitted request back to the head of the queue, to free its memory. The engine computes
// it again from the start, apart from what the cache still holds by then.
func (e *engine) preempt() {
	req := e.running[len(e.running)-1]
	e.preempted++
	e.running = e.running[:len(e.running)-1]
	e.cache.release(req.prompt)
	e.waiting = append([]*request{req}, e.waiting...)
}
