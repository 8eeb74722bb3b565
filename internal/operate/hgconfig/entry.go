package hgconfig

import (
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"
)

// EntryConfig is the settings file of an entry VM. The users' platform makes it from the template deploy/entry.toml.tmpl.
type EntryConfig struct {
	VM     EntryVM     `toml:"vm"`
	Listen EntryListen `toml:"listen"`
	Store  EntryStore  `toml:"store"`
	Bounds EntryBounds `toml:"bounds"`
	Log    Log         `toml:"log"`
	Keys   EntryKeys   `toml:"keys"`
	Teams  EntryTeams  `toml:"teams"`
}

// EntryTeams are the bounds on the requests of teams. They have no effect without teams in the desired state.
type EntryTeams struct {
	// StrictRevoke says that no VM may serve a key later than RevokeMs after the store acknowledged its removal.
	StrictRevoke bool    `toml:"strictRevoke"`
	RevokeMs     float64 `toml:"revokeMs"`
	// CapWindowSeconds is the span over which usage caps hold. CapOverage is the share, and CapSlack the number of requests, by which
	// a span may exceed its cap.
	CapWindowSeconds float64 `toml:"capWindowSeconds"`
	CapOverage       float64 `toml:"capOverage"`
	CapSlack         float64 `toml:"capSlack"`
}

// EntryKeys name the PEM files for TLS between entry VMs. Without them the connections are not encrypted.
type EntryKeys struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Authority is the file with the certificate of the authority that signed the certificates of all VMs.
	Authority string `toml:"authority"`
}

// EntryVM describes the VM: its name, its failure domain and its resources.
type EntryVM struct {
	Name string `toml:"name"`
	// Domain is the failure domain of the VM.
	Domain string `toml:"domain"`
	// Domains are all failure domains of the site.
	Domains []string `toml:"domains"`
	// MemoryMB is the memory that the process may use, in units of 2^20 bytes.
	MemoryMB float64 `toml:"memoryMb"`
	// MaxDescriptors is the number of file descriptors that the process may use; 0 means that the VM sets no limit.
	MaxDescriptors float64 `toml:"maxDescriptors"`
	// RequestMemoryMB is the memory for the requests of callers, with their connections, in units of 2^20 bytes; 0 means a share of
	// MemoryMB.
	RequestMemoryMB float64 `toml:"requestMemoryMb"`
	// TurnMemoryMB is the memory for the texts of stored turns, in units of 2^20 bytes; 0 means a share of MemoryMB.
	TurnMemoryMB float64 `toml:"turnMemoryMb"`
	// CPUShare is the share of each core that the process gets, and Cores the number of cores.
	CPUShare float64 `toml:"cpuShare"`
	Cores    float64 `toml:"cores"`
	// FirstStart says that the whole site starts for the first time, so that no program can have been served before.
	FirstStart bool `toml:"firstStart"`
}

// EntryListen holds the addresses on which the VM listens, each an IP number and a port.
type EntryListen struct {
	// Public serves the requests of callers.
	Public string `toml:"public"`
	// Ready serves the readiness checks of the platform.
	Ready string `toml:"ready"`
	// Directory tells callers which addresses to connect to.
	Directory string `toml:"directory"`
	// Peer serves the other entry VMs.
	Peer string `toml:"peer"`
	// Metrics serves metrics and the status of the VM.
	Metrics string `toml:"metrics"`
}

// EntryStore is the address of the platform's store and the rates of writes and reads that it grants to all VMs together. The
// rates are only validated.
type EntryStore struct {
	Address         string  `toml:"address"`
	WritesPerSecond float64 `toml:"writesPerSecond"`
	ReadsPerSecond  float64 `toml:"readsPerSecond"`
}

// EntryBounds are the limits that the platform documents for stopping a VM and for the addresses that callers hold.
type EntryBounds struct {
	// GraceSeconds is the time between the signal to stop and the kill of the process.
	GraceSeconds float64 `toml:"graceSeconds"`
	// ReplicaHeartbeatMs is the time between two writes of a replica's registration, which expires after three of them; 0 if it is not
	// known.
	ReplicaHeartbeatMs float64 `toml:"replicaHeartbeatMs"`
	// AddressTTLSeconds is the longest time that callers keep an address of the directory.
	AddressTTLSeconds float64 `toml:"addressTtlSeconds"`
}

// DefaultEntryConfig returns the settings of an entry VM whose file sets none.
func DefaultEntryConfig() EntryConfig {
	return EntryConfig{
		VM:     EntryVM{CPUShare: 1, Cores: 1},
		Store:  EntryStore{WritesPerSecond: 800, ReadsPerSecond: 2000},
		Bounds: EntryBounds{GraceSeconds: 8, AddressTTLSeconds: 5},
		Log:    Log{Format: "json", Level: "info"},
	}
}

// ReadEntry reads and validates the settings file of an entry VM. An error names the key, its line and the values that are allowed.
func ReadEntry(path string) (e EntryConfig, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return e, trace.ConvertSystemError(err)
	}
	e, err = ParseEntry(string(data))
	return e, trace.Wrap(err, "%s", path)
}

// ParseEntry decodes and validates the settings of an entry VM.
func ParseEntry(data string) (e EntryConfig, err error) {
	e = DefaultEntryConfig()
	meta, err := toml.Decode(data, &e)
	if err != nil {
		return e, trace.BadParameter("%v", err)
	}
	if keys := meta.Undecoded(); len(keys) > 0 {
		return e, keyError(data, keys[0].String(), "unknown key")
	}
	return e, e.check(data)
}

func (e EntryConfig) check(data string) (err error) {
	for key, v := range map[string]struct{ value, low, high float64 }{
		"vm.memoryMb":               {e.VM.MemoryMB, 32, 1 << 20},
		"vm.maxDescriptors":         {e.VM.MaxDescriptors, 0, 1 << 24},
		"vm.requestMemoryMb":        {e.VM.RequestMemoryMB, 0, e.VM.MemoryMB},
		"vm.turnMemoryMb":           {e.VM.TurnMemoryMB, 0, e.VM.MemoryMB},
		"vm.cpuShare":               {e.VM.CPUShare, 0.001, 1},
		"vm.cores":                  {e.VM.Cores, 0.001, 1024},
		"store.writesPerSecond":     {e.Store.WritesPerSecond, 1, 1e6},
		"store.readsPerSecond":      {e.Store.ReadsPerSecond, 1, 1e6},
		"bounds.graceSeconds":       {e.Bounds.GraceSeconds, 0.5, 3600},
		"bounds.replicaHeartbeatMs": {e.Bounds.ReplicaHeartbeatMs, 0, 3600_000},
		"bounds.addressTtlSeconds":  {e.Bounds.AddressTTLSeconds, 0.001, 3600},
		"teams.revokeMs":            {e.Teams.RevokeMs, 0, 3600_000},
		"teams.capWindowSeconds":    {e.Teams.CapWindowSeconds, 0, 3600},
		"teams.capOverage":          {e.Teams.CapOverage, 0, 1},
		"teams.capSlack":            {e.Teams.CapSlack, 0, 1e6},
	} {
		if v.value < v.low || v.value > v.high {
			return keyError(data, key, "%g is outside %g to %g", v.value, v.low, v.high)
		}
	}
	if e.VM.Name == "" || strings.ContainsAny(e.VM.Name, "/ ") {
		return keyError(data, "vm.name", "%q: want a word without '/'", e.VM.Name)
	}
	if k := e.Keys; (k.Certificate == "") != (k.Key == "") || (k.Certificate == "") != (k.Authority == "") {
		return keyError(data, "keys.certificate", "want certificate, key and authority, or none of them")
	}
	if e.VM.Domain == "" {
		return keyError(data, "vm.domain", "want the failure domain")
	}
	for key, address := range map[string]string{
		"listen.public": e.Listen.Public, "listen.ready": e.Listen.Ready, "listen.directory": e.Listen.Directory,
		"listen.peer": e.Listen.Peer, "listen.metrics": e.Listen.Metrics, "store.address": e.Store.Address,
	} {
		if err := checkAddress(address); err != nil {
			return keyError(data, key, "%v", err)
		}
	}
	return nil
}

// Seconds converts seconds, the unit of EntryBounds, to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
