package hgfront

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgpreset"
	"hyssopgrade/hgprogram"
	"hyssopgrade/hgquarantine"
	"hyssopgrade/hgroute"
	"hyssopgrade/internal/operate/hgkey"
	"hyssopgrade/internal/serve/hgowner"
)

// Backend is the node behind the front.
type Backend interface {
	// Serve runs a call wherever its shard is owned; the error is a *hgcall.Refusal.
	Serve(ctx context.Context, c hgcall.Call, out hgowner.Sink) (r hgcall.Result, err error)
	// End ends a program; the error is a *hgcall.Refusal.
	End(ctx context.Context, program string) (err error)
	// Status returns a program's status; the error is a *hgcall.Refusal.
	Status(ctx context.Context, program string) (s hgowner.ProgramStatus, err error)
	// History returns a program's conversation; the error is a *hgcall.Refusal.
	History(ctx context.Context, program string) (ms []hgcall.Message, err error)
	// Locate names the addresses to use for a program, best first.
	Locate(program string) Location
	// Overview describes the node and its cell.
	Overview() Overview
	// Presets describes the presets and which is in force.
	Presets(ctx context.Context) PresetStatus
	// CreatePreset stores a preset; the error is a *hgcall.Refusal.
	CreatePreset(ctx context.Context, p hgpreset.Preset) (err error)
	// UsePreset puts a preset in force; the error is a *PresetConflict or a *hgcall.Refusal.
	UsePreset(ctx context.Context, name, by string) (v hgpreset.Version, err error)
	// Ready returns why the node takes no new work, or nil.
	Ready() (err error)
	// Refused counts a refusal.
	Refused(r *hgcall.Refusal)
}

// Location is an answer to locate.
type Location struct {
	// Addresses are public addresses, best first.
	Addresses []string `json:"addresses"`
	// TTLMs is how long the answer may be used, in milliseconds.
	TTLMs int64 `json:"ttlMs"`
}

// MemberStatus describes one node of the cell.
type MemberStatus struct {
	ID            string `json:"id"`
	Domain        string `json:"domain"`
	Public        string `json:"public"`
	Live          bool   `json:"live"`
	Draining      bool   `json:"draining"`
	PresetVersion uint64 `json:"presetVersion"`
}

// Overview describes a node and its cell.
type Overview struct {
	Node        string                 `json:"node"`
	Run         string                 `json:"run"`
	Draining    bool                   `json:"draining"`
	StoreFailed time.Duration          `json:"storeFailedFor"`
	Running     int                    `json:"running"`
	Waiting     int                    `json:"waiting"`
	Members     []MemberStatus         `json:"members"`
	Shards      map[uint32]string      `json:"shards"`
	Endpoints   []hgroute.Load         `json:"endpoints"`
	Quarantine  []hgquarantine.Suspect `json:"quarantine"`
	Programs    []hgprogram.Summary    `json:"programs"`
}

// PresetStatus describes the presets.
type PresetStatus struct {
	Names   []string         `json:"names"`
	Current hgpreset.Version `json:"current"`
	// Confirmed is the time since the current version was last known to be the newest.
	Confirmed time.Duration  `json:"confirmedAgo"`
	Members   []MemberStatus `json:"members"`
}

// PresetConflict tells who won a race.
type PresetConflict struct {
	Current hgpreset.Version `json:"current"`
}

// Error names the winner.
func (e *PresetConflict) Error() string {
	return "preset " + e.Current.Preset.Name + " was put in force by " + e.Current.By + " at the same time"
}

// Options set up a Front.
type Options struct {
	// MaxBody bounds a request's body, in bytes.
	MaxBody int64
	// Metrics serves the figures.
	Metrics http.Handler
	// Version is the program's version.
	Version string
	// OperatorKey is the key that operators' routes ask for; with an empty one they are open.
	OperatorKey string
}

// Front is the HTTP front of a node.
type Front struct {
	backend Backend
	opts    Options
	mux     *http.ServeMux
}

// NewFront returns the handler of a node's public port.
func NewFront(b Backend, opts Options) *Front {
	f := &Front{backend: b, opts: opts, mux: http.NewServeMux()}
	api := humago.New(f.mux, huma.DefaultConfig("hyssopgrade", opts.Version))
	f.addCalls(api)
	f.addPrograms(api)
	operators := huma.NewGroup(api)
	if opts.OperatorKey != "" {
		operators.UseMiddleware(f.askForKey(hgkey.NewKey(opts.OperatorKey)))
	}
	f.addOperations(operators)
	f.addProbes()
	f.mux.Handle("GET /metrics", opts.Metrics)
	return f
}

// ServeHTTP serves one request; one that is too large is refused before it is read, and its connection closed.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength > f.opts.MaxBody {
		bad := hgcall.Invalid("body", "%d bytes are too large, the limit is %d", r.ContentLength, f.opts.MaxBody)
		f.backend.Refused(bad)
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		_ = json.NewEncoder(w).Encode(errorBody(bad))
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, f.opts.MaxBody)
	f.mux.ServeHTTP(w, r)
}
