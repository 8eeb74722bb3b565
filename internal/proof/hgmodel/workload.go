package hgmodel

import (
	"math"
	"math/rand/v2"
	"time"
)

// Dist is a log-normal distribution with the mean Mean and the standard deviation Sigma of the logarithm, cut off at Max.
type Dist struct{ Mean, Sigma, Max float64 }

func (d Dist) draw(r *rand.Rand) float64 {
	return min(d.Mean*math.Exp(d.Sigma*r.NormFloat64()-d.Sigma*d.Sigma/2), d.Max)
}

// Kind describes a class of programs.
type Kind struct {
	Name string
	// PerSecond is the arrival rate in programs per second.
	PerSecond float64
	// Worth is what a program of mean length earns within its latency objective, and LateWorth within twice the objective.
	Worth, LateWorth float64
	// Urgent gives the kind the highest priority.
	Urgent bool
	// The latency objective of a program is its time on idle engines, with TurnOverhead for each turn, times
	// ObjectiveFactor, plus ObjectiveMargin.
	ObjectiveFactor               float64
	ObjectiveMargin, TurnOverhead time.Duration
	// Turns is the number of turns of a program; Input and Output are the new prompt tokens and the generated tokens of a
	// turn. Shared is the length in tokens of the prompt prefix that all programs of the kind share.
	Turns, Input, Output Dist
	Shared               int
	// FanOut is the probability that a turn starts sub-agents of two turns each, and SubAgents their number.
	FanOut    float64
	SubAgents Dist
	// Pause is the time between two turns in milliseconds, tool calls included.
	Pause Dist
	// Persisted marks kinds whose turns are retained, which adds the time of a write to the store to each turn.
	Persisted bool
}

// Burst multiplies the arrival rate of a kind by Factor for some time; an empty Kind means all kinds.
type Burst struct {
	Kind     string
	From, To time.Duration
	Factor   float64
}

// Workload describes the engines of a site and the programs that arrive there.
type Workload struct {
	Name string
	// Rate multiplies the arrival rates of all kinds.
	Rate   float64
	Kinds  []Kind
	Bursts []Burst
	// Length is the time in which programs arrive.
	Length time.Duration
	// Engines, Domains and Nodes are the numbers of engines, failure domains and nodes. Engine i and node i belong to the
	// failure domain i modulo Domains.
	Engines int
	Domains int
	Nodes   int
	Engine  EngineConfig
}

// rate returns the arrival rate of a kind in programs per second at a time, bursts included.
func (w Workload) rate(k Kind, at time.Duration) float64 {
	rate := k.PerSecond * w.Rate
	for _, b := range w.Bursts {
		if at >= b.From && at < b.To && (b.Kind == "" || b.Kind == k.Name) {
			rate *= b.Factor
		}
	}
	return rate
}

// subAgentTurns is the number of turns of a sub-agent.
const subAgentTurns = 2

// chain is a sequence of turns: those of a program or of one of its sub-agents.
type chain struct {
	input, output []int
	// pause is the time after each turn, and subAgents are those that run during the pause.
	pause     []time.Duration
	subAgents [][]*chain
}

// draw draws the turns of a program and of its sub-agents.
func (k Kind) draw(r *rand.Rand) *chain {
	c := k.drawChain(r, max(int(k.Turns.draw(r)+0.5), 1))
	for i := range len(c.input) - 1 {
		if r.Float64() >= k.FanOut {
			continue
		}
		for range max(int(k.SubAgents.draw(r)+0.5), 1) {
			c.subAgents[i] = append(c.subAgents[i], k.drawChain(r, subAgentTurns))
		}
	}
	return c
}

func (k Kind) drawChain(r *rand.Rand, turns int) *chain {
	c := &chain{subAgents: make([][]*chain, turns)}
	for range turns {
		c.input = append(c.input, max(int(k.Input.draw(r)), 1))
		c.output = append(c.output, max(int(k.Output.draw(r)), 1))
		c.pause = append(c.pause, time.Duration(k.Pause.draw(r)*float64(time.Millisecond)))
	}
	return c
}

// idleTime returns the time that a chain takes on idle engines on which all earlier turns are cached; the first turn also
// computes the shared tokens.
func (k Kind) idleTime(e EngineConfig, c *chain, shared int) (t time.Duration) {
	for i := range c.input {
		t += time.Duration(c.input[i]+shared)*e.PrefillPerToken + time.Duration(c.output[i])*(e.StepBase+e.StepPerRequest) + k.TurnOverhead
		shared = 0
		if i == len(c.input)-1 {
			break
		}
		longest := c.pause[i]
		for _, s := range c.subAgents[i] {
			longest = max(longest, k.idleTime(e, s, 0))
		}
		t += longest
	}
	return t
}
