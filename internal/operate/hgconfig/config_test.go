package hgconfig

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func example(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../../examples/node.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestExampleHoldsTheDefaults(t *testing.T) {
	c, err := Parse(example(t))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Default().Limits, c.Limits); diff != "" {
		t.Errorf("limits (-default +example):\n%s", diff)
	}
	if diff := cmp.Diff(2, len(c.Endpoint)); diff != "" {
		t.Errorf("endpoints:\n%s", diff)
	}
}

func TestBadSettingsNameKeyAndLine(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     string
	}{
		"unknown key":       {`keyEnv = `, `keyName = `, `line 8: node.keyName: unknown key`},
		"out of range":      {`silentMs = 2000 `, `silentMs = 20 `, `line 24: limits.silentMs: 20 is outside 1000 to 60000`},
		"host name":         {`public = "127.0.0.1:7400"`, `public = "localhost:7400"`, `line 6: node.public: "localhost:7400": want an IP number`},
		"unknown preset":    {`preset = "ordinary"`, `preset = "calm"`, `node.preset: "calm": want one of maintenance, ordinary, peak`},
		"unknown kind":      {`kind = "tool"`, `kind = "toll"`, `endpoint[1].kind: "toll": want "engine" or "tool"`},
		"endpoint twice":    {`id = "tool-0"`, `id = "engine-0"`, `endpoint[1].id: "engine-0": want a name that no other endpoint has`},
		"not TOML":          {`[node]`, `[node`, `toml: line 4`},
		"wrong type":        {`shards = 64`, `shards = "64"`, `line 10`},
		"two key sources":   {`keyEnv = `, "keyFile = \"k\"\nkeyEnv = ", `want either keyFile or keyEnv`},
		"no failure domain": {`domain = "hobart"              #`, `domain = "" #`, `node.domain: want the failure domain`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(strings.Replace(example(t), tc.old, tc.new, 1))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v does not contain %q", err, tc.want)
			}
		})
	}
}
