package hgproof

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgpreset"
	"hyssopgrade/internal/proof/hgstandin"
)

// usePreset creates a preset from "ordinary" with some values changed, selects it, and waits until all nodes apply it.
func (b *testBench) usePreset(name string, change func(p *hgpreset.Preset)) {
	b.t.Helper()
	p := hgpreset.Shipped()["ordinary"]
	p.Name = name
	change(&p)
	if err := b.client.Post(b.t.Context(), b.nodes[0].public, "/v1/presets", p, &p); err != nil {
		b.t.Fatal(err)
	}
	var v hgpreset.Version
	if err := b.client.Post(b.t.Context(), b.nodes[0].public, "/v1/presets/use", map[string]string{"name": name, "by": "test"}, &v); err != nil {
		b.t.Fatal(err)
	}
	b.eventually("preset is in force", 10*time.Second, func() bool { return b.appliedBy(v.Number) == len(b.nodes) })
}

// cachedPrograms returns the number of cached prefixes of programs, summed over the engines.
func (b *testBench) cachedPrograms() int {
	return lo.SumBy(lo.Values(b.endpoints), func(e *hgstandin.Endpoint) int { return len(e.CachedTokens()) })
}

// TestEngineMemoryIsReleased ends one program and leaves five without an end, and kills the owner of one of these. The engine has to
// release the ended program's memory within 2 s, and that of the others at most 6 s after the preset's silence time of 2 s.
func TestEngineMemoryIsReleased(t *testing.T) {
	b := newTestBench(t, testBenchOptions{nodes: 4, engines: 2, tools: 1, engine: quickEngine})
	b.usePreset("quick", func(p *hgpreset.Preset) { p.SilenceMs = 2000 })
	for i := range 6 {
		b.converse(t.Context(), fmt.Sprintf("gone-%d", i), 1, 1, nil)
	}
	if n := b.cachedPrograms(); n != 6 {
		t.Fatalf("%d programs hold memory instead of 6", n)
	}
	if err := b.client.End(t.Context(), "gone-0"); err != nil {
		t.Fatal(err)
	}
	b.eventually("memory of the ended program is released", 2*time.Second, func() bool { return b.cachedPrograms() < 6 })
	b.kill(b.owner("gone-1"))
	b.eventually("all memory is released", 8*time.Second, func() bool { return b.cachedPrograms() == 0 })
}
