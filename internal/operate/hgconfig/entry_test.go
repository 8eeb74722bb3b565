package hgconfig_test

import (
	"strings"
	"testing"

	"hyssopgrade/internal/operate/hgconfig"
)

// entrySettings is a settings file of an entry VM.
const entrySettings = `
[vm]
name = "vm-1"
domain = "north"
domains = ["north","south"]
memoryMb = 154
maxDescriptors = 8200
cpuShare = 0.4
cores = 1
firstStart = true

[listen]
public = "10.0.0.1:80"
ready = "10.0.0.1:81"
directory = "10.0.0.1:82"
peer = "10.0.0.1:7380"
metrics = "10.0.0.1:7381"

[store]
address = "10.0.0.9:90"
writesPerSecond = 800
readsPerSecond = 2000.0

[bounds]
graceSeconds = 8
addressTtlSeconds = 4.5

[teams]
revokeMs = 5000

[log]
level = "info"
`

func TestBadEntrySettings(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"unknown key":   {"[log]", "[lag]", "lag"},
		"no name":       {`"vm-1"`, `""`, "vm.name"},
		"no domain":     {`"north"`, `""`, "vm.domain"},
		"key alone":     {"[log]", "[keys]\ncertificate = \"a.pem\"\n[log]", "keys.certificate"},
		"bad address":   {`"10.0.0.1:80"`, `"here:80"`, "listen.public"},
		"little memory": {"154", "3", "vm.memoryMb"},
		"bad bound":     {"revokeMs = 5000", "revokeMs = -1", "teams.revokeMs"},
		"no grace":      {"graceSeconds = 8", "graceSeconds = 0", "bounds.graceSeconds"},
	}
	if _, err := hgconfig.ParseEntry(entrySettings); err != nil {
		t.Fatal(err)
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := hgconfig.ParseEntry(strings.Replace(entrySettings, tt.old, tt.new, 1))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one about %s", err, tt.want)
			}
		})
	}
}
