package hgmodel

import (
	"math"
	"math/rand/v2"
	"time"
)

// Dist is a log-normal distribution, by its mean, the standard deviation of the logarithm, and its greatest value.
type Dist struct{ Mean, Spread, Max float64 }

func (d Dist) draw(r *rand.Rand) float64 {
	return min(d.Mean*math.Exp(d.Spread*r.NormFloat64()-d.Spread*d.Spread/2), d.Max)
}

// Kind is a kind of programs.
type Kind struct {
	Name string
	// PerSecond is the number of programs that arrive in a second.
	PerSecond float64
	// Worth is what a mean program earns in time, and LateWorth within twice that time.
	Worth, LateWorth float64
	// Urgent says that the kind goes first.
	Urgent bool
	// Aim is the program's time on idle engines times AimFactor and AimPlus, with Way a turn.
	AimFactor    float64
	AimPlus, Way time.Duration
	// Turns, Input, Output and Shared are the turns of a program and the tokens of a turn.
	Turns, Input, Output Dist
	Shared               int
	// Fan is the chance that sub-agents, Width in number, run two turns each after a turn.
	Fan   float64
	Width Dist
	// Pause is the time between a turn and the next one, in milliseconds, tools included.
	Pause Dist
	// Kept says that the way of a turn ends with a write.
	Kept bool
}

// Burst multiplies the arrivals of a kind, or of all if it names none.
type Burst struct {
	Kind     string
	From, To time.Duration
	Factor   float64
}

// Workload is the load of a site.
type Workload struct {
	Name string
	// Rate is the multiple at which the kinds arrive.
	Rate    float64
	Kinds   []Kind
	Bursts  []Burst
	Length  time.Duration
	Engines int
	Domains int
	Nodes   int
	Engine  EngineConfig
}

// rate returns the arrivals of a kind a second.
func (w Workload) rate(k Kind, at time.Duration) float64 {
	rate := k.PerSecond * w.Rate
	for _, b := range w.Bursts {
		if at >= b.From && at < b.To && (b.Kind == "" || b.Kind == k.Name) {
			rate *= b.Factor
		}
	}
	return rate
}

const subTurns = 2

// line is a line of turns: the turns of a program or of one of its sub-agents.
type line struct {
	input, output []int
	// pause is the time after each turn, and subs the sub-agents that run beside it.
	pause []time.Duration
	subs  [][]*line
}

func (k Kind) draw(r *rand.Rand) *line {
	l := k.drawLine(r, max(int(k.Turns.draw(r)+0.5), 1))
	for i := range len(l.input) - 1 {
		if r.Float64() >= k.Fan {
			continue
		}
		for range max(int(k.Width.draw(r)+0.5), 1) {
			l.subs[i] = append(l.subs[i], k.drawLine(r, subTurns))
		}
	}
	return l
}

func (k Kind) drawLine(r *rand.Rand, turns int) *line {
	l := &line{subs: make([][]*line, turns)}
	for range turns {
		l.input = append(l.input, max(int(k.Input.draw(r)), 1))
		l.output = append(l.output, max(int(k.Output.draw(r)), 1))
		l.pause = append(l.pause, time.Duration(k.Pause.draw(r)*float64(time.Millisecond)))
	}
	return l
}

// idle returns the time of a line on idle engines that keep all of its prompt.
func (k Kind) idle(e EngineConfig, l *line, shared int) (t time.Duration) {
	for i := range l.input {
		t += time.Duration(l.input[i]+shared)*e.ReadPerToken + time.Duration(l.output[i])*(e.Step+e.PerSlot) + k.Way
		shared = 0
		if i == len(l.input)-1 {
			break
		}
		longest := l.pause[i]
		for _, s := range l.subs[i] {
			longest = max(longest, k.idle(e, s, 0))
		}
		t += longest
	}
	return t
}
