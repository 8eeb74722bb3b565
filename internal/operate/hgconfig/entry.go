package hgconfig

import (
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"
)

// Entry is the settings of an entry VM on the users' platform; the platform fills them in from a template.
type Entry struct {
	VM     EntryVM     `toml:"vm"`
	Listen EntryListen `toml:"listen"`
	Store  EntryStore  `toml:"store"`
	Bounds EntryBounds `toml:"bounds"`
	Log    Log         `toml:"log"`
	Keys   EntryKeys   `toml:"keys"`
}

// EntryKeys name the files in PEM with which entry VMs secure the connections between them; without a certificate these
// are plain.
type EntryKeys struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Authority holds the certificate that signed those of all VMs.
	Authority string `toml:"authority"`
}

// EntryVM names the VM and says what it has.
type EntryVM struct {
	Name string `toml:"name"`
	// Domain is the failure domain.
	Domain string `toml:"domain"`
	// Domains are all failure domains of the site.
	Domains []string `toml:"domains"`
	// MemoryMB is the memory of a process, in MB.
	MemoryMB float64 `toml:"memoryMb"`
	// CPUShare is the share of a core that the process gets, and Cores how many such cores there are.
	CPUShare float64 `toml:"cpuShare"`
	Cores    float64 `toml:"cores"`
	// FirstStart says that the whole site starts for the first time, so that nothing was served before.
	FirstStart bool `toml:"firstStart"`
}

// EntryListen are the addresses on which the VM listens, each an IP number and a port.
type EntryListen struct {
	// Public is for callers, Ready for the platform's checks, Directory for callers that ask where to connect.
	Public    string `toml:"public"`
	Ready     string `toml:"ready"`
	Directory string `toml:"directory"`
	// Peer is for the other entry VMs and for metrics.
	Peer    string `toml:"peer"`
	Metrics string `toml:"metrics"`
}

// EntryStore is the platform's store and the rates of all VMs together.
type EntryStore struct {
	Address         string  `toml:"address"`
	WritesPerSecond float64 `toml:"writesPerSecond"`
	ReadsPerSecond  float64 `toml:"readsPerSecond"`
}

// EntryBounds are promises of the platform's pages.
type EntryBounds struct {
	// GraceSeconds is the time between the signal to stop and the end of the process.
	GraceSeconds float64 `toml:"graceSeconds"`
	// AddressTTLSeconds is the longest time that callers keep an address.
	AddressTTLSeconds float64 `toml:"addressTtlSeconds"`
}

// DefaultEntry returns the settings before a file is read.
func DefaultEntry() Entry {
	return Entry{
		VM:     EntryVM{CPUShare: 1, Cores: 1},
		Store:  EntryStore{WritesPerSecond: 800, ReadsPerSecond: 2000},
		Bounds: EntryBounds{GraceSeconds: 8, AddressTTLSeconds: 5},
		Log:    Log{Format: "json", Level: "info"},
	}
}

// ReadEntry reads and checks the settings file of an entry VM.
func ReadEntry(path string) (e Entry, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return e, trace.ConvertSystemError(err)
	}
	e, err = ParseEntry(string(data))
	return e, trace.Wrap(err, "%s", path)
}

// ParseEntry reads and checks the settings of an entry VM.
func ParseEntry(data string) (e Entry, err error) {
	e = DefaultEntry()
	meta, err := toml.Decode(data, &e)
	if err != nil {
		return e, trace.BadParameter("%v", err)
	}
	if keys := meta.Undecoded(); len(keys) > 0 {
		return e, at(data, keys[0].String(), "unknown key")
	}
	return e, e.check(data)
}

func (e Entry) check(data string) (err error) {
	for key, v := range map[string]struct{ value, low, high float64 }{
		"vm.memoryMb":              {e.VM.MemoryMB, 32, 1 << 20},
		"vm.cpuShare":              {e.VM.CPUShare, 0.001, 1},
		"vm.cores":                 {e.VM.Cores, 0.001, 1024},
		"store.writesPerSecond":    {e.Store.WritesPerSecond, 1, 1e6},
		"store.readsPerSecond":     {e.Store.ReadsPerSecond, 1, 1e6},
		"bounds.graceSeconds":      {e.Bounds.GraceSeconds, 0.5, 3600},
		"bounds.addressTtlSeconds": {e.Bounds.AddressTTLSeconds, 0.001, 3600},
	} {
		if v.value < v.low || v.value > v.high {
			return at(data, key, "%g is outside %g to %g", v.value, v.low, v.high)
		}
	}
	if e.VM.Name == "" || strings.ContainsAny(e.VM.Name, "/ ") {
		return at(data, "vm.name", "%q: want a word without '/'", e.VM.Name)
	}
	if k := e.Keys; (k.Certificate == "") != (k.Key == "") || (k.Certificate == "") != (k.Authority == "") {
		return at(data, "keys.certificate", "want certificate, key and authority, or none of them")
	}
	if e.VM.Domain == "" {
		return at(data, "vm.domain", "want the failure domain")
	}
	for key, address := range map[string]string{
		"listen.public": e.Listen.Public, "listen.ready": e.Listen.Ready, "listen.directory": e.Listen.Directory,
		"listen.peer": e.Listen.Peer, "listen.metrics": e.Listen.Metrics, "store.address": e.Store.Address,
	} {
		if err := checkAddress(address); err != nil {
			return at(data, key, "%v", err)
		}
	}
	return nil
}

// Seconds returns a time in seconds as a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
