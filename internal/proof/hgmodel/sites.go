package hgmodel

import "time"

// The engines of the users' sheets; slots and memory differ by site.
func sheetEngine(slots, queue, memory int) EngineConfig {
	return EngineConfig{
		Slots: slots, Queue: queue, MemoryTokens: memory,
		Step: 2550 * time.Microsecond, PerSlot: 12700 * time.Nanosecond, PerKiloToken: 8540 * time.Nanosecond,
		ReadPerToken: 17 * time.Microsecond, ChunkTokens: 2048,
		// 163,840 bytes a token at 2.9 Tbit/s.
		FetchPerToken: 452 * time.Nanosecond, FetchSetup: 620 * time.Microsecond,
	}
}

// Loads are the loads by name: like those of the users' sheets on their busiest days, with a burst, at a multiple of the rate.
var Loads = map[string]func(rate float64) Workload{"derwent": Derwent, "derwentGrown": DerwentGrown, "fjordbomGrown": FjordbomGrown}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// bursts of the users' busiest days: all kinds, and the chats besides.
var bursts = []Burst{
	{From: seconds(2), To: seconds(8), Factor: 1.5},
	{Kind: "chat", From: seconds(3.5), To: seconds(6.8), Factor: 1.9},
}

// chat and thread are the kinds of the sheets, with a number of turns, tokens made and rates.
func chat(perSecond, turns, output, aim float64) Kind {
	return Kind{
		Name: "chat", PerSecond: perSecond, Worth: 3, LateWorth: 0.9, AimFactor: aim, AimPlus: seconds(0.2), Way: seconds(0.024),
		Turns: Dist{turns, 0.4, 2 * turns}, Input: Dist{654, 0.7, 3270}, Output: Dist{output, 0.8, 4 * output}, Shared: 512,
		Fan: 0.05, Width: Dist{5, 0.3, 10}, Pause: Dist{190, 0.6, 700},
	}
}

func thread(perSecond, turns, output, aim, fan float64) Kind {
	return Kind{
		Name: "thread", PerSecond: perSecond, Worth: 10, LateWorth: 3, Urgent: true, AimFactor: aim, AimPlus: seconds(0.2), Way: seconds(0.026),
		Turns: Dist{turns, 0.4, 2 * turns}, Input: Dist{327, 0.7, 1630}, Output: Dist{output, 0.8, 4 * output}, Shared: 512,
		Fan: fan, Width: Dist{5, 0.3, 10}, Pause: Dist{60, 0.6, 200}, Kept: true,
	}
}

// Derwent is the smaller site of nine engines with sixteen slots.
func Derwent(rate float64) Workload {
	return Workload{
		Name: "derwent", Rate: rate, Length: seconds(34), Engines: 9, Domains: 3, Nodes: 9, Engine: sheetEngine(16, 48, 116159),
		Bursts: bursts, Kinds: []Kind{chat(24, 4, 72, 1.9), thread(6, 9, 72, 1.6, 0.25)},
	}
}

// DerwentGrown is the larger site of 48 engines with six slots.
func DerwentGrown(rate float64) Workload {
	return Workload{
		Name: "derwentGrown", Rate: rate, Length: seconds(34), Engines: 48, Domains: 3, Nodes: 62, Engine: sheetEngine(6, 18, 38332),
		Bursts: bursts, Kinds: []Kind{chat(79, 4, 73, 1.6), thread(19, 9, 73, 1.3, 0.25)},
	}
}

// FjordbomGrown is the larger site of 45 engines with eight slots.
func FjordbomGrown(rate float64) Workload {
	return Workload{
		Name: "fjordbomGrown", Rate: rate, Length: seconds(34), Engines: 45, Domains: 4, Nodes: 87, Engine: sheetEngine(8, 24, 68229),
		Bursts: bursts, Kinds: []Kind{chat(97.5, 3, 70, 1.6), thread(32.2, 7, 70, 1.6, 0.15)},
	}
}
