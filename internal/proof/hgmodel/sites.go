package hgmodel

import "time"

// siteEngine returns an engine as specified in the users' data sheets; slots, queue and memory differ by site.
func siteEngine(slots, queue, memory int) EngineConfig {
	return EngineConfig{
		Slots: slots, Queue: queue, MemoryTokens: memory,
		StepBase: 2550 * time.Microsecond, StepPerRequest: 12700 * time.Nanosecond, StepPerKiloToken: 8540 * time.Nanosecond,
		PrefillPerToken: 17 * time.Microsecond, ChunkTokens: 2048,
		// 163,840 bytes per token at 2.9 Tbit/s.
		FetchPerToken: 452 * time.Nanosecond, FetchSetup: 620 * time.Microsecond,
	}
}

// Workloads maps names to workloads like the busiest days in the users' data sheets, with bursts, at a multiple of the
// arrival rate.
var Workloads = map[string]func(rate float64) Workload{"derwent": Derwent, "derwentGrown": DerwentGrown, "fjordbomGrown": FjordbomGrown}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// bursts are those of the users' busiest days: one of all kinds, and during it one of chats.
var bursts = []Burst{
	{From: seconds(2), To: seconds(8), Factor: 1.5},
	{Kind: "chat", From: seconds(3.5), To: seconds(6.8), Factor: 1.9},
}

// chat returns the interactive kind of the data sheets: perSecond programs arrive with a mean of turns turns and of output
// generated tokens per turn.
func chat(perSecond, turns, output, objectiveFactor float64) Kind {
	return Kind{
		Name: "chat", PerSecond: perSecond, Worth: 3, LateWorth: 0.9, ObjectiveFactor: objectiveFactor, ObjectiveMargin: seconds(0.2), TurnOverhead: seconds(0.024),
		Turns: Dist{turns, 0.4, 2 * turns}, Input: Dist{654, 0.7, 3270}, Output: Dist{output, 0.8, 4 * output}, Shared: 512,
		FanOut: 0.05, SubAgents: Dist{5, 0.3, 10}, Pause: Dist{190, 0.6, 700},
	}
}

// thread returns the urgent kind of the data sheets, whose turns are retained; the arguments are those of chat, with the
// probability of sub-agents.
func thread(perSecond, turns, output, objectiveFactor, fanOut float64) Kind {
	return Kind{
		Name: "thread", PerSecond: perSecond, Worth: 10, LateWorth: 3, Urgent: true, ObjectiveFactor: objectiveFactor, ObjectiveMargin: seconds(0.2), TurnOverhead: seconds(0.026),
		Turns: Dist{turns, 0.4, 2 * turns}, Input: Dist{327, 0.7, 1630}, Output: Dist{output, 0.8, 4 * output}, Shared: 512,
		FanOut: fanOut, SubAgents: Dist{5, 0.3, 10}, Pause: Dist{60, 0.6, 200}, Persisted: true,
	}
}

// Derwent returns the workload of the small site: 9 engines with 16 slots each.
func Derwent(rate float64) Workload {
	return Workload{
		Name: "derwent", Rate: rate, Length: seconds(34), Engines: 9, Domains: 3, Nodes: 9, Engine: siteEngine(16, 48, 116159),
		Bursts: bursts, Kinds: []Kind{chat(24, 4, 72, 1.9), thread(6, 9, 72, 1.6, 0.25)},
	}
}

// DerwentGrown returns the workload of a large site: 48 engines with 6 slots each.
func DerwentGrown(rate float64) Workload {
	return Workload{
		Name: "derwentGrown", Rate: rate, Length: seconds(34), Engines: 48, Domains: 3, Nodes: 62, Engine: siteEngine(6, 18, 38332),
		Bursts: bursts, Kinds: []Kind{chat(79, 4, 73, 1.6), thread(19, 9, 73, 1.3, 0.25)},
	}
}

// FjordbomGrown returns the workload of a large site: 45 engines with 8 slots each.
func FjordbomGrown(rate float64) Workload {
	return Workload{
		Name: "fjordbomGrown", Rate: rate, Length: seconds(34), Engines: 45, Domains: 4, Nodes: 87, Engine: siteEngine(8, 24, 68229),
		Bursts: bursts, Kinds: []Kind{chat(97.5, 3, 70, 1.6), thread(32.2, 7, 70, 1.6, 0.15)},
	}
}
