package hgroute

import (
	"math"
	"sort"
	"time"

	"hyssopgrade/hgpreset"
)

// Parameters of the statistics, the concurrency window and the ejection of an endpoint.
const (
	// smoothing is the weight of a new observation in an exponential moving average.
	smoothing = 0.1
	// decreaseFactor multiplies the window when the time between tokens exceeds the preset's target.
	decreaseFactor = 0.9
	// peerLoadMaxAge is the age above which a peer's load report is dropped.
	peerLoadMaxAge = 3 * time.Second
	// failuresToEject is the number of consecutive failures that eject an endpoint; a refused call ejects it at once.
	failuresToEject = 3
	// minEjection and maxEjection bound the duration of an ejection, which doubles with each ejection until a call succeeds.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// reserveFor is how long an endpoint accepts no other calls so that it drains for a call that must run alone.
	reserveFor = 2 * time.Second
	// initialPrefillMs is the assumed prefill time per token, in milliseconds, until calls have been observed.
	initialPrefillMs = 0.1
	// initialServiceMs is the assumed duration of a call, in milliseconds, until calls have been observed.
	initialServiceMs = 500
	// minPrefillTokens is the least number of computed prompt tokens for a call to update the prefill time.
	minPrefillTokens = 64
)

// Timing holds the durations and token counts of one call. A zero Total means that nothing was observed.
type Timing struct {
	// FirstToken is the time from dispatch to the first output token.
	FirstToken time.Duration
	// Total is the time from dispatch to the end of the call.
	Total time.Duration
	// Computed is the number of prompt tokens that the endpoint had to compute because they were not cached.
	Computed int
	// Output is the number of generated tokens.
	Output int
}

// peerLoad is the load that a peer node reported for an endpoint at time at.
type peerLoad struct {
	calls  int
	tokens int
	at     time.Duration
}

// endpoint is the state of one endpoint.
type endpoint struct {
	Endpoint
	// remote means that the endpoint is in another failure domain than the node.
	remote bool
	// ownCalls is the number of this node's calls in flight.
	ownCalls int
	// peers holds the load reports by peer.
	peers map[string]peerLoad
	// peerCalls and peerTokens are the sums over peers, valid until sumsValidUntil.
	peerCalls      int
	peerTokens     int
	sumsValidUntil time.Duration
	// window is the number of calls in flight, of all nodes, up to which the endpoint takes calls.
	window    float64
	minWindow float64
	maxWindow float64
	// targetMs is the preset's target for the time between tokens.
	targetMs float64
	// tokenMs is the moving average of the time between tokens, minTokenMs the least value observed.
	tokenMs      float64
	minTokenMs   float64
	meanInFlight float64
	// serviceMs is the moving average of the duration of a call.
	serviceMs float64
	// lastDecrease is the time at which the window was last decreased.
	lastDecrease time.Duration
	// failures counts consecutive failures, ejections the ejections since the last success.
	failures     int
	ejections    int
	ejectedUntil time.Duration
	leaving      bool
	// exclusive means that the call in flight runs alone.
	exclusive bool
	// reservedUntil is the time until which the endpoint is kept free for a call that must run alone.
	reservedUntil time.Duration
	// heldTokens is the number of tokens that this node's live programs hold in the endpoint's memory;
	// arrivingTokens is the number of prompt tokens of calls started there without a cached prefix since heldTokens was set.
	heldTokens     int
	arrivingTokens int
	// maxFill is the share of the memory above which no new program is placed on the endpoint; 0 means no limit.
	maxFill float64
}

func newEndpoint(e Endpoint, remote bool, p hgpreset.Preset) endpoint {
	return endpoint{
		Endpoint: e, remote: remote, peers: map[string]peerLoad{}, sumsValidUntil: never, window: float64(p.Window),
		serviceMs: initialServiceMs,
	}
}

func (e *endpoint) setPreset(p hgpreset.Preset) {
	e.minWindow, e.maxWindow = float64(p.MinWindow), float64(p.MaxWindow)
	e.window = min(max(e.window, e.minWindow), e.maxWindow)
	e.targetMs = float64(p.TokenTargetMs)
	e.maxFill = float64(p.MemoryFillPercent) / 100
}

// hasRoom reports whether the endpoint's memory has room for a new program, counting the live programs of this node and
// those that peers have reported.
func (e *endpoint) hasRoom(now time.Duration) bool {
	if e.MemoryTokens == 0 || e.maxFill == 0 {
		return true
	}
	e.peerInFlight(now) // refreshes peerTokens
	tokens := e.heldTokens + e.arrivingTokens + e.peerTokens
	return float64(tokens) < e.maxFill*float64(e.MemoryTokens)
}

// setPeerLoad replaces a peer's load report and updates the sums.
func (e *endpoint) setPeerLoad(peer string, l peerLoad) {
	e.peers[peer] = l
	e.sumPeerLoads(l.at)
}

// sumPeerLoads drops outdated load reports and sums the others; the sums are valid until the oldest report is outdated.
func (e *endpoint) sumPeerLoads(now time.Duration) {
	e.peerCalls, e.peerTokens, e.sumsValidUntil = 0, 0, never
	for id, p := range e.peers {
		end := p.at + peerLoadMaxAge
		if now > end {
			delete(e.peers, id)
			continue
		}
		e.peerCalls += p.calls
		e.peerTokens += p.tokens
		e.sumsValidUntil = min(e.sumsValidUntil, end)
	}
}

// never is the greatest time, used where nothing expires.
const never = time.Duration(math.MaxInt64)

// peerInFlight returns the number of the peers' calls in flight.
func (e *endpoint) peerInFlight(now time.Duration) int {
	if now > e.sumsValidUntil {
		e.sumPeerLoads(now)
	}
	return e.peerCalls
}

func (e *endpoint) inFlight(now time.Duration) int { return e.ownCalls + e.peerInFlight(now) }

// usable reports whether calls may be placed on the endpoint: it is neither leaving nor ejected.
func (e *endpoint) usable(now time.Duration) bool {
	return !e.leaving && now >= e.ejectedUntil
}

// hasSlot reports whether a call may start now. After an ejection, one call at a time probes the endpoint until one succeeds.
func (e *endpoint) hasSlot(now time.Duration) bool { return e.hasSlotAt(e.inFlight(now), now) }

// hasSlotAt is hasSlot for a given number n of calls in flight.
func (e *endpoint) hasSlotAt(n int, now time.Duration) bool {
	if e.exclusive || now < e.reservedUntil {
		return false
	}
	if e.failures > 0 && e.ejections > 0 {
		return e.ownCalls == 0
	}
	return float64(n) < e.window
}

// observe updates the averages and the window from a finished call, and resets the failure counts.
func (e *endpoint) observe(t Timing, now time.Duration) {
	if t.Total == 0 {
		return
	}
	e.failures = 0
	e.ejections = 0
	e.serviceMs += smoothing * (ms(t.Total) - e.serviceMs)
	if t.Output < 2 {
		return
	}
	tokenMs := ms(t.Total-t.FirstToken) / float64(t.Output-1)
	if e.tokenMs == 0 {
		e.tokenMs, e.minTokenMs, e.meanInFlight = tokenMs, tokenMs, 1
	}
	e.tokenMs += smoothing * (tokenMs - e.tokenMs)
	e.minTokenMs = min(e.minTokenMs, tokenMs)
	e.meanInFlight += smoothing * (float64(e.inFlight(now)+1) - e.meanInFlight)
	e.adjustWindow(now)
}

// adjustWindow adapts the window by additive increase and multiplicative decrease. While the time between
// tokens is within the target and the window is full, the window grows by about one per window of calls. While it is above
// the target, the window shrinks, at most once per average call duration.
func (e *endpoint) adjustWindow(now time.Duration) {
	if e.tokenMs <= e.targetMs {
		if float64(e.inFlight(now))+1 >= e.window {
			e.window = min(e.window+1/e.window, e.maxWindow)
		}
		return
	}
	if now-e.lastDecrease < time.Duration(e.serviceMs)*time.Millisecond {
		return
	}
	e.lastDecrease = now
	e.window = max(e.window*decreaseFactor, e.minWindow)
}

// recordFailure counts a failed call and ejects the endpoint after a refused call or failuresToEject consecutive failures.
func (e *endpoint) recordFailure(refused bool, now time.Duration) {
	e.failures++
	if !refused && e.failures < failuresToEject {
		return
	}
	if now < e.ejectedUntil {
		return
	}
	e.ejectedUntil = now + min(minEjection<<e.ejections, maxEjection)
	e.ejections = min(e.ejections+1, 5) // five doublings exceed maxEjection
	e.window = max(e.window/2, e.minWindow)
}

// expectedWaitMs returns the expected time until a full endpoint with n calls in flight can start one more call.
func (e *endpoint) expectedWaitMs(n int) float64 {
	return max(float64(n)-e.window+1, 1) * e.serviceMs / max(e.window, 1)
}

// slowdownMs returns the increase of the time between tokens for each additional call in flight, in milliseconds.
func (e *endpoint) slowdownMs() float64 {
	return max(e.tokenMs-e.minTokenMs, 0) / max(e.meanInFlight, 1)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func sortBy(list []int, less func(a, b int) bool) {
	sort.Slice(list, func(i, j int) bool { return less(list[i], list[j]) })
}
