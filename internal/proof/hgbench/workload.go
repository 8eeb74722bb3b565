package hgbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Turn is one model call of a program and the tool call after it.
type Turn struct {
	// NewTokens is the length of the new message, and OutputTokens that of the answer.
	NewTokens    int
	OutputTokens int
	Tool         string
	// Pause is the time of the tool call.
	Pause time.Duration
	// SubAgents run during the pause; the next turn waits for them.
	SubAgents []Program
}

// Program is a sequence of turns; Arrive is its time of arrival after the start of the run.
type Program struct {
	ID     string
	Arrive time.Duration
	Turns  []Turn
}

// Shape describes the programs and the engines of a deployment.
type Shape struct {
	Name   string
	Engine EngineConfig
	// FirstTokens, NewTokens and OutputTokens are the minimum and maximum lengths of the first message, of later ones and
	// of answers.
	FirstTokens, NewTokens, OutputTokens [2]int
	// TurnsExponent is the exponent of the Pareto distribution of the number of turns, which is cut off at MaxTurns.
	TurnsExponent float64
	MaxTurns      int
	// MedianPause is the median time of a tool call, multiplied for each tool by its factor in toolPauseFactors.
	MedianPause time.Duration
	// SubAgentProbability is the probability that sub-agents run during a pause.
	SubAgentProbability float64
	// Replicas is the number of engines.
	Replicas int
}

// engineConfig describes the engines of both deployments.
var engineConfig = EngineConfig{
	StepBase: 8 * time.Millisecond, StepPerCall: 500 * time.Microsecond, PrefillPerToken: 60 * time.Microsecond,
	ChunkTokens: 512, MaxBatch: 64, MemoryTokens: 120_000,
}

// The two deployments: Derwent has short programs, Fjordbom long conversations.
var (
	Derwent = Shape{
		Name: "derwent", Engine: engineConfig, FirstTokens: [2]int{800, 2000}, NewTokens: [2]int{60, 400}, OutputTokens: [2]int{30, 200},
		TurnsExponent: 1.3, MaxTurns: 20, MedianPause: 700 * time.Millisecond, SubAgentProbability: 0.08, Replicas: 10,
	}
	Fjordbom = Shape{
		Name: "fjordbom", Engine: engineConfig, FirstTokens: [2]int{2000, 6000}, NewTokens: [2]int{200, 1500}, OutputTokens: [2]int{60, 300},
		TurnsExponent: 1.0, MaxTurns: 30, MedianPause: 1500 * time.Millisecond, SubAgentProbability: 0.05, Replicas: 10,
	}
)

// toolPauseFactors maps the tools to the factors of their pauses.
var toolPauseFactors = map[string]float64{"lookup": 0.5, "form": 1, "person": 4}

// Generate returns the programs that arrive within d. load is the ratio of the arrival rate to the capacity of the
// replicas with perfect caches.
func Generate(s Shape, load float64, d time.Duration, seed uint64) []Program {
	rnd := rand.New(rand.NewPCG(seed, 1))
	rate := load * s.capacity()
	var programs []Program
	for at := time.Duration(0); ; {
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= d {
			return programs
		}
		programs = append(programs, s.program(fmt.Sprintf("p%d", len(programs)), at, s.MaxTurns, rnd))
	}
}

// program draws a program; one with fewer turns than s.MaxTurns allowed is a sub-agent and has no sub-agents itself.
func (s Shape) program(id string, at time.Duration, maxTurns int, rnd *rand.Rand) Program {
	n := min(int(math.Pow(1-rnd.Float64(), -1/s.TurnsExponent)), maxTurns)
	p := Program{ID: id, Arrive: at}
	for i := range n {
		t := Turn{NewTokens: uniform(s.NewTokens, rnd), OutputTokens: uniform(s.OutputTokens, rnd)}
		if i == 0 {
			t.NewTokens = uniform(s.FirstTokens, rnd)
		}
		t.Tool = []string{"lookup", "form", "person"}[min(int(rnd.ExpFloat64()), 2)]
		t.Pause = time.Duration(toolPauseFactors[t.Tool] * float64(s.MedianPause) * math.Exp(0.5*rnd.NormFloat64()))
		if maxTurns == s.MaxTurns && i < n-1 && rnd.Float64() < s.SubAgentProbability {
			for a := range 1 + rnd.IntN(3) {
				t.SubAgents = append(t.SubAgents, s.program(fmt.Sprintf("%s/a%d-%d", id, i, a), 0, maxSubAgentTurns, rnd))
			}
		}
		p.Turns = append(p.Turns, t)
	}
	return p
}

// maxSubAgentTurns is the largest number of turns of a sub-agent.
const maxSubAgentTurns = 4

// uniform draws an integer between r[0] and r[1], both included.
func uniform(r [2]int, rnd *rand.Rand) int { return r[0] + rnd.IntN(r[1]-r[0]+1) }

// capacitySeed and capacityPrograms determine the sample of programs from which the capacity is computed.
const (
	capacitySeed     = 99
	capacityPrograms = 4000
)

// capacity returns the number of programs per second that the replicas can carry with every prefix cached. The limit is
// their time at a batch of capacityBatch calls, or their memory, which a program's conversation takes from the first call
// to the last.
func (s Shape) capacity() float64 {
	rnd := rand.New(rand.NewPCG(capacitySeed, 1))
	var sum usage
	for range capacityPrograms {
		sum = sum.plus(s.usage(s.program("", 0, s.MaxTurns, rnd)))
	}
	n := float64(s.Replicas) * capacityPrograms
	return min(n/sum.busy.Seconds(), n*float64(s.Engine.MemoryTokens)/sum.tokenSeconds)
}

// capacityBatch is the batch size at which the capacity of an engine is computed.
const capacityBatch = 24

// usage is what a program takes of an engine: its time, and its memory in tokens times seconds.
type usage struct {
	busy         time.Duration
	tokenSeconds float64
}

func (u usage) plus(o usage) usage {
	return usage{busy: u.busy + o.busy, tokenSeconds: u.tokenSeconds + o.tokenSeconds}
}

func (s Shape) usage(p Program) (u usage) {
	step := s.Engine.StepBase + capacityBatch*s.Engine.StepPerCall
	context := 0
	for i, t := range p.Turns {
		prefill := time.Duration(t.NewTokens) * s.Engine.PrefillPerToken
		u.busy += prefill + time.Duration(t.OutputTokens)*step/capacityBatch
		context += t.NewTokens + t.OutputTokens
		held := prefill + time.Duration(t.OutputTokens)*step
		if i < len(p.Turns)-1 {
			held += t.Pause
		}
		u.tokenSeconds += float64(context) * held.Seconds()
		for _, a := range t.SubAgents {
			u = u.plus(s.usage(a))
		}
	}
	return u
}
