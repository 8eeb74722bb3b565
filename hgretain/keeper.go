package hgretain

import (
	"time"

	"hyssopgrade/hgpreset"
)

// Action tells an endpoint what to do with a program's prefix.
type Action string

// Actions on prefixes. The values are sent to endpoints.
const (
	// Hold keeps the prefix in memory.
	Hold Action = "hold"
	// Release frees the prefix's memory.
	Release Action = "release"
)

// Order is an instruction to an endpoint about a program's prefix.
type Order struct {
	Program  string
	Endpoint string
	Action   Action
	// Reason appears in the log: moved, longPause, ended, silent or orphan.
	Reason string
}

// smoothing is the weight of a new observation in the moving average of a tool's pauses.
const smoothing = 0.2

// initialPause is the expected pause for a tool that has not been observed yet.
const initialPause = 2 * time.Second

// highPressure is the share of an engine's memory in use at or above which prefixes are released during long pauses.
const highPressure = 0.9

// prefix is the state of a program's prefix.
type prefix struct {
	// endpoint is the endpoint that last ran the program.
	endpoint string
	// tokens is the number of tokens in the endpoint's memory, context the length of the whole conversation in tokens.
	tokens  int
	context int
	// at is the time of the program's last event.
	at time.Duration
	// tool is the tool that the program waits for, or empty.
	tool string
}

// Keeper tracks which endpoint holds which program's prefix and decides when to release it. Its methods take events and
// return the orders that follow from them. It has no locks; the caller serializes access.
type Keeper struct {
	preset   hgpreset.Preset
	prefixes map[string]prefix
	// expectedPauses holds the moving average of pauses by tool.
	expectedPauses map[string]time.Duration
	// pressure holds the share of memory in use by endpoint.
	pressure map[string]float64
}

// NewKeeper returns a Keeper without prefixes.
func NewKeeper(p hgpreset.Preset) *Keeper {
	return &Keeper{preset: p, prefixes: map[string]prefix{}, expectedPauses: map[string]time.Duration{}, pressure: map[string]float64{}}
}

// SetPreset sets the limits on pauses and silence.
func (k *Keeper) SetPreset(p hgpreset.Preset) { k.preset = p }

// Home returns the endpoint that last ran a program and the number of the program's tokens that it still holds.
func (k *Keeper) Home(program string) (endpoint string, tokens int, ok bool) {
	p, ok := k.prefixes[program]
	return p.endpoint, p.tokens, ok
}

// Ran records that a model call of a program ended on an endpoint, which now holds the given number of tokens. A prefix
// on another endpoint is released.
func (k *Keeper) Ran(program, endpoint string, tokens int, now time.Duration) (orders []Order) {
	if old, ok := k.prefixes[program]; ok && old.endpoint != endpoint && old.tokens > 0 {
		orders = append(orders, Order{Program: program, Endpoint: old.endpoint, Action: Release, Reason: "moved"})
	}
	k.prefixes[program] = prefix{endpoint: endpoint, tokens: tokens, context: tokens, at: now}
	return orders
}

// Paused records that a program waits for a tool. The prefix is released if the pause is expected to be longer than the
// preset's limit and the endpoint's memory is nearly full.
func (k *Keeper) Paused(program, tool string, now time.Duration) (orders []Order) {
	p, ok := k.prefixes[program]
	if !ok {
		return nil
	}
	p.tool, p.at = tool, now
	k.prefixes[program] = p
	if k.pauseAction(p) == Hold || p.tokens == 0 {
		return nil
	}
	k.Evicted(program, p.endpoint, 0)
	return []Order{{Program: program, Endpoint: p.endpoint, Action: Release, Reason: "longPause"}}
}

// pauseAction decides whether a prefix is held during a pause.
func (k *Keeper) pauseAction(p prefix) Action {
	expected, ok := k.expectedPauses[p.tool]
	if !ok {
		expected = initialPause
	}
	long := expected > time.Duration(k.preset.HoldMs)*time.Millisecond
	if long && k.pressure[p.endpoint] >= highPressure {
		return Release
	}
	return Hold
}

// Resumed records the end of a program's pause and updates the tool's expected pause.
func (k *Keeper) Resumed(program string, now time.Duration) {
	p, ok := k.prefixes[program]
	if !ok || p.tool == "" {
		return
	}
	pause := now - p.at
	old, seen := k.expectedPauses[p.tool]
	if !seen {
		old = pause
	}
	k.expectedPauses[p.tool] = old + time.Duration(smoothing*float64(pause-old))
	p.tool, p.at = "", now
	k.prefixes[program] = p
}

// SetMemoryUse records the share of an endpoint's memory in use, from 0 to 1.
func (k *Keeper) SetMemoryUse(endpoint string, share float64) { k.pressure[endpoint] = share }

// Evicted records that an endpoint holds at most the given number of a program's tokens.
func (k *Keeper) Evicted(program, endpoint string, tokens int) {
	p, ok := k.prefixes[program]
	if !ok || p.endpoint != endpoint {
		return
	}
	p.tokens = min(p.tokens, tokens)
	k.prefixes[program] = p
}

// EndpointLost records that an endpoint has lost the contents of its memory.
func (k *Keeper) EndpointLost(endpoint string) {
	for id := range k.prefixes {
		k.Evicted(id, endpoint, 0)
	}
}

// Ended records the end of a program and releases its prefix.
func (k *Keeper) Ended(program string) (orders []Order) {
	p, ok := k.prefixes[program]
	if !ok {
		return nil
	}
	delete(k.prefixes, program)
	if p.tokens == 0 {
		return nil
	}
	return []Order{{Program: program, Endpoint: p.endpoint, Action: Release, Reason: "ended"}}
}

// Tick releases the prefixes of programs that have had no event for longer than the preset's silence limit.
func (k *Keeper) Tick(now time.Duration) (orders []Order) {
	limit := time.Duration(k.preset.SilenceMs) * time.Millisecond
	for id, p := range k.prefixes {
		if now-p.at > limit {
			delete(k.prefixes, id)
			orders = append(orders, Order{Program: id, Endpoint: p.endpoint, Action: Release, Reason: "silent"})
		}
	}
	return orders
}

// Found records that an endpoint reports tokens of a program. live means that the program exists and has not ended,
// running that it has a call in progress. Memory that no live program will use is released.
func (k *Keeper) Found(program, endpoint string, tokens int, live, running bool, now time.Duration) (orders []Order) {
	p, known := k.prefixes[program]
	switch {
	case !live && !running:
		delete(k.prefixes, program)
		return []Order{{Program: program, Endpoint: endpoint, Action: Release, Reason: "orphan"}}
	case !known || p.tokens == 0 && !running:
		k.prefixes[program] = prefix{endpoint: endpoint, tokens: tokens, context: tokens, at: now}
	case p.endpoint == endpoint:
		k.Evicted(program, endpoint, tokens)
	case !running:
		return []Order{{Program: program, Endpoint: endpoint, Action: Release, Reason: "moved"}}
	}
	return nil
}

// SetContents records the complete contents of an endpoint's memory, in tokens by program. Prefixes missing from it count as
// evicted.
func (k *Keeper) SetContents(endpoint string, tokens map[string]int) {
	for id, p := range k.prefixes {
		if p.endpoint == endpoint {
			k.Evicted(id, endpoint, tokens[id])
		}
	}
}

// AddDemand adds the conversation lengths of the live programs, in tokens, to sum by the endpoint that last ran them.
// Evicted tokens count too, because they return to memory with the program's next call.
func (k *Keeper) AddDemand(sum map[string]int) {
	for _, p := range k.prefixes {
		sum[p.endpoint] += p.context
	}
}
