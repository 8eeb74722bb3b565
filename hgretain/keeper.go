package hgretain

import (
	"time"

	"hyssopgrade/hgpreset"
)

// Action is what to do with a prefix.
type Action string

// The actions.
const (
	// Hold leaves the prefix where it is.
	Hold Action = "hold"
	// Release gives its memory back.
	Release Action = "release"
)

// Order tells to act on a program's prefix on an endpoint.
type Order struct {
	Program  string
	Endpoint string
	Action   Action
	Reason   string
}

// smoothing is the weight of a new pause in a tool's expected pause.
const smoothing = 0.2

// firstPause is the expected pause of a tool that was not seen before.
const firstPause = 2 * time.Second

// pressureHigh is the share of an engine's memory in use from which long pauses lose their prefix.
const pressureHigh = 0.9

// prefix is what is known of a live program's memory: tokens are in the engine's memory, context is the whole conversation.
type prefix struct {
	endpoint string
	tokens   int
	context  int
	at       time.Duration
	tool     string
}

// Keeper knows which endpoint holds which program's prefix; it is a state machine without locks.
type Keeper struct {
	preset   hgpreset.Preset
	prefixes map[string]prefix
	pauses   map[string]time.Duration
	pressure map[string]float64
}

// NewKeeper returns a keeper that knows no prefix.
func NewKeeper(p hgpreset.Preset) *Keeper {
	return &Keeper{preset: p, prefixes: map[string]prefix{}, pauses: map[string]time.Duration{}, pressure: map[string]float64{}}
}

// SetPreset changes the limits.
func (k *Keeper) SetPreset(p hgpreset.Preset) { k.preset = p }

// Home returns the endpoint that holds a program's prefix and its length in tokens.
func (k *Keeper) Home(program string) (endpoint string, tokens int, ok bool) {
	p, ok := k.prefixes[program]
	return p.endpoint, p.tokens, ok
}

// Ran tells that a model call of a program ended on an endpoint, which now holds so many tokens.
// A prefix left on another endpoint is released.
func (k *Keeper) Ran(program, endpoint string, tokens int, now time.Duration) (orders []Order) {
	if old, ok := k.prefixes[program]; ok && old.endpoint != endpoint && old.tokens > 0 {
		orders = append(orders, Order{Program: program, Endpoint: old.endpoint, Action: Release, Reason: "moved"})
	}
	k.prefixes[program] = prefix{endpoint: endpoint, tokens: tokens, context: tokens, at: now}
	return orders
}

// Paused tells that a program waits for a tool and returns what becomes of its prefix.
func (k *Keeper) Paused(program, tool string, now time.Duration) (orders []Order) {
	p, ok := k.prefixes[program]
	if !ok {
		return nil
	}
	p.tool, p.at = tool, now
	k.prefixes[program] = p
	if k.decide(p) == Hold || p.tokens == 0 {
		return nil
	}
	k.Evicted(program, p.endpoint, 0)
	return []Order{{Program: program, Endpoint: p.endpoint, Action: Release, Reason: "longPause"}}
}

func (k *Keeper) decide(p prefix) Action {
	expected, ok := k.pauses[p.tool]
	if !ok {
		expected = firstPause
	}
	long := expected > time.Duration(k.preset.HoldMs)*time.Millisecond
	if long && k.pressure[p.endpoint] >= pressureHigh {
		return Release
	}
	return Hold
}

// Resumed tells that a program goes on after a pause, from which the tool's expected pause is learned.
func (k *Keeper) Resumed(program string, now time.Duration) {
	p, ok := k.prefixes[program]
	if !ok || p.tool == "" {
		return
	}
	pause := now - p.at
	old, seen := k.pauses[p.tool]
	if !seen {
		old = pause
	}
	k.pauses[p.tool] = old + time.Duration(smoothing*float64(pause-old))
	p.tool, p.at = "", now
	k.prefixes[program] = p
}

// Pressure tells the share of an endpoint's memory in use.
func (k *Keeper) Pressure(endpoint string, share float64) { k.pressure[endpoint] = share }

// Evicted tells that an endpoint holds less of a program's prefix.
func (k *Keeper) Evicted(program, endpoint string, tokens int) {
	p, ok := k.prefixes[program]
	if !ok || p.endpoint != endpoint {
		return
	}
	p.tokens = min(p.tokens, tokens)
	k.prefixes[program] = p
}

// EndpointLost tells that an endpoint's memory is gone.
func (k *Keeper) EndpointLost(endpoint string) {
	for id := range k.prefixes {
		k.Evicted(id, endpoint, 0)
	}
}

// Ended tells that a program has ended.
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

// Tick releases the prefixes of programs that have been silent for too long.
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

// Found tells that an endpoint holds tokens of a program; live says that the program exists and has not ended,
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

// Holds tells all that an endpoint holds: prefixes that it was thought to hold and does not are forgotten.
func (k *Keeper) Holds(endpoint string, tokens map[string]int) {
	for id, p := range k.prefixes {
		if p.endpoint == endpoint {
			k.Evicted(id, endpoint, tokens[id])
		}
	}
}

// Demand adds the conversations of the live programs to sum, by the endpoint that last ran them, in tokens.
// What was evicted counts too, as it comes back with the program's next call.
func (k *Keeper) Demand(sum map[string]int) {
	for _, p := range k.prefixes {
		sum[p.endpoint] += p.context
	}
}
