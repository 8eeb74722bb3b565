package hgmodel

import (
	"fmt"
	"time"
)

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

// Manifold is a load like the users' larger site of 48 engines with six slots, with a burst, at a multiple of its rate.
func Manifold(rate float64) Workload {
	second := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return Workload{
		Name: fmt.Sprintf("48 engines x%.2f", rate), Length: second(34), Engines: 48, Domains: 3, Nodes: 62, Engine: sheetEngine(6, 18, 38332),
		Bursts: []Burst{{From: second(2), To: second(8), Factor: 1.5}, {Kind: "chat", From: second(3.5), To: second(6.8), Factor: 1.9}},
		Kinds: []Kind{
			{
				Name: "chat", PerSecond: 79 * rate, Worth: 3, LateWorth: 0.9, AimFactor: 1.6, AimPlus: second(0.2), Way: second(0.024),
				Turns: Dist{4, 0.4, 8}, Input: Dist{654, 0.7, 3270}, Output: Dist{73, 0.8, 290}, Shared: 512,
				Fan: 0.05, Width: Dist{5, 0.3, 10}, Pause: Dist{190, 0.6, 700},
			},
			{
				Name: "thread", PerSecond: 19 * rate, Worth: 10, LateWorth: 3, Urgent: true, AimFactor: 1.3, AimPlus: second(0.2), Way: second(0.026),
				Turns: Dist{9, 0.4, 18}, Input: Dist{327, 0.7, 1630}, Output: Dist{73, 0.8, 290}, Shared: 512,
				Fan: 0.25, Width: Dist{5, 0.3, 10}, Pause: Dist{60, 0.6, 200}, Kept: true,
			},
		},
	}
}
