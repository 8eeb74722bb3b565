package hgmodel

import (
	"slices"
	"time"
)

// EngineConfig is the size and the speed of the engines.
type EngineConfig struct {
	// Slots is the number of requests that run at once, and Queue of those that wait beyond them.
	Slots, Queue int
	// MemoryTokens is the memory for running requests and kept parts.
	MemoryTokens int
	// Step is the time of a step, in which each running request makes a token; PerSlot is added for each of them, and
	// PerKiloToken for each thousand tokens of their prompts.
	Step, PerSlot, PerKiloToken time.Duration
	// ReadPerToken is the time to read a token of a prompt, in chunks of ChunkTokens between the steps.
	ReadPerToken time.Duration
	ChunkTokens  int
	// FetchPerToken is the time to fetch a kept token from another engine, and FetchSetup what each fetch takes besides.
	FetchPerToken, FetchSetup time.Duration
}

// job is one request on an engine.
type job struct {
	prompt []Part
	// want is the number of tokens to make.
	want int
	// fetch is the engine to fetch kept parts from, or nil.
	fetch *engine

	unread, made int
	cancelled    bool
	// first and done are called at the first token and at the end; refused if the engine does not take the request.
	first, done, refused func()
}

type engine struct {
	id      int
	cfg     EngineConfig
	clock   *Clock
	memory  *memory
	waiting []*job
	running []*job
	busy    bool
	// read, moved, refusals and preempted count tokens and requests.
	read, moved, refusals, preempted int
}

func newEngine(id int, cfg EngineConfig, clock *Clock) *engine {
	return &engine{id: id, cfg: cfg, clock: clock, memory: newMemory(cfg.MemoryTokens)}
}

// submit takes a request, or refuses it.
func (e *engine) submit(j *job) {
	if len(e.waiting) >= e.cfg.Queue {
		e.refusals++
		j.refused()
		return
	}
	e.waiting = append(e.waiting, j)
	e.start()
}

func (e *engine) start() {
	if !e.busy {
		e.busy = true
		e.step()
	}
}

// cancel ends a request before its time.
func (e *engine) cancel(j *job) {
	j.cancelled = true
	if i := slices.Index(e.waiting, j); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	if i := slices.Index(e.running, j); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.memory.leave(j.prompt)
	}
}

// admit moves waiting requests into the batch, in the order of their arrival, and returns how long their fetches take.
func (e *engine) admit() (fetching time.Duration) {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		j := e.waiting[0]
		kept := e.memory.kept(j.prompt)
		if !e.memory.use(j.prompt) {
			break
		}
		if j.fetch != nil {
			if n := j.fetch.memory.kept(j.prompt) - kept; n > 0 {
				e.moved += n
				kept += n
				fetching += e.cfg.FetchSetup + time.Duration(n)*e.cfg.FetchPerToken
			}
		}
		j.unread = max(tokens(j.prompt)+j.made-kept, 1)
		e.read += j.unread
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
	}
	return fetching
}

// step plays one step of the batch and then the next one.
func (e *engine) step() {
	took := e.admit()
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	chunk, context := e.cfg.ChunkTokens, 0
	for _, j := range e.running {
		context += tokens(j.prompt) + j.made
		n := min(j.unread, chunk)
		j.unread -= n
		chunk -= n
	}
	took += e.cfg.Step + time.Duration(len(e.running))*e.cfg.PerSlot
	took += time.Duration(e.cfg.ChunkTokens-chunk)*e.cfg.ReadPerToken + time.Duration(context)*e.cfg.PerKiloToken/1000
	e.clock.At(e.clock.now+took, e.stepped)
}

// stepped hands out the tokens of a step.
func (e *engine) stepped() {
	for _, j := range slices.Clone(e.running) {
		if j.unread > 0 || j.cancelled {
			continue
		}
		if !e.memory.grow(j.prompt[len(j.prompt)-1].ID, 1) {
			e.preempt()
			continue
		}
		j.made++
		if j.made == 1 {
			j.first()
		}
		if j.made >= j.want {
			e.running = slices.DeleteFunc(e.running, func(r *job) bool { return r == j })
			e.memory.leave(j.prompt)
			j.done()
		}
	}
	e.step()
}

// preempt puts the newest request back, which is read again from its start.
func (e *engine) preempt() {
	j := e.running[len(e.running)-1]
	e.preempted++
	e.running = e.running[:len(e.running)-1]
	e.memory.leave(j.prompt)
	e.waiting = append([]*job{j}, e.waiting...)
}
