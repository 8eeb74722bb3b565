package hgfront

import (
	"context"
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
	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgowner"
)

// Backend is the node that a Front serves.
type Backend interface {
	// Serve runs a call on the node that owns its shard and streams generated text to out unless that is nil; the error is a
	// *hgcall.Refusal.
	Serve(ctx context.Context, c hgcall.Call, out hgowner.Sink) (r hgcall.Result, err error)
	// End ends a program; the error is a *hgcall.Refusal.
	End(ctx context.Context, program string) (err error)
	// Status returns a program's status; the error is a *hgcall.Refusal.
	Status(ctx context.Context, program string) (s hgowner.ProgramStatus, err error)
	// History returns a program's conversation; the error is a *hgcall.Refusal.
	History(ctx context.Context, program string) (ms []hgcall.Message, err error)
	// Locate returns the public addresses to use for a program, the best one first.
	Locate(program string) Location
	// Overview returns the state of the node and its view of the cell.
	Overview() Overview
	// Presets returns the names of the presets, the one in force and the version that each node applies.
	Presets(ctx context.Context) PresetStatus
	// CreatePreset stores a preset; the error is a *hgcall.Refusal.
	CreatePreset(ctx context.Context, p hgpreset.Preset) (err error)
	// UsePreset puts a preset in force; the error is a *PresetConflict or a *hgcall.Refusal.
	UsePreset(ctx context.Context, name, by string) (v hgpreset.Version, err error)
	// Ready returns the reason for which the node takes no new work, or nil.
	Ready() (err error)
	// Refused counts a refusal in the metrics.
	Refused(r *hgcall.Refusal)
}

// Location is the answer of /v1/locate.
type Location struct {
	// Addresses are public addresses of nodes, the best one first.
	Addresses []string `json:"addresses"`
	// TTLMs is the time for which the answer may be cached, in milliseconds.
	TTLMs int64 `json:"ttlMs"`
}

// MemberStatus is what a node knows of one member of its cell.
type MemberStatus struct {
	ID            string `json:"id"`
	Domain        string `json:"domain"`
	Public        string `json:"public"`
	Live          bool   `json:"live"`
	Draining      bool   `json:"draining"`
	PresetVersion uint64 `json:"presetVersion"`
}

// Overview is the answer of /v1/status: the state of a node and its view of the cell.
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

// PresetStatus is the answer of GET /v1/presets.
type PresetStatus struct {
	Names   []string         `json:"names"`
	Current hgpreset.Version `json:"current"`
	// Confirmed is the time since the node last confirmed that the current version is the newest.
	Confirmed time.Duration  `json:"confirmedAgo"`
	Members   []MemberStatus `json:"members"`
}

// PresetConflict is the error of an operator whose choice of a preset lost against a concurrent one.
type PresetConflict struct {
	Current hgpreset.Version `json:"current"`
}

// Error returns the preset that was put in force instead, and who chose it.
func (e *PresetConflict) Error() string {
	return "preset " + e.Current.Preset.Name + " was put in force by " + e.Current.By + " at the same time"
}

// Options are the options of NewFront.
type Options struct {
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int64
	// Requests is the memory that all requests share; nil sets no limit.
	Requests *hgmemory.Account
	// Metrics serves GET /metrics.
	Metrics http.Handler
	// Version is the release of hyssopgrade, shown in the OpenAPI page.
	Version string
	// OperatorKey is the bearer key that operators' routes require; if it is empty these routes are open.
	OperatorKey string
}

// Front is the handler of a node's public port.
type Front struct {
	backend Backend
	opts    Options
	mux     *http.ServeMux
}

// NewFront returns a Front with the routes of callers and operators, probes, metrics and the OpenAPI page.
func NewFront(b Backend, opts Options) *Front {
	f := &Front{backend: b, opts: opts, mux: http.NewServeMux()}
	api := humago.New(f.mux, huma.DefaultConfig("hyssopgrade", opts.Version))
	f.addCallRoutes(api)
	f.addProgramRoutes(api)
	operators := huma.NewGroup(api)
	if opts.OperatorKey != "" {
		operators.UseMiddleware(f.requireKey(hgkey.NewKey(opts.OperatorKey)))
	}
	f.addOperatorRoutes(operators)
	f.addProbes()
	f.mux.Handle("GET /metrics", opts.Metrics)
	return f
}

// ServeHTTP serves one request, once its body is whole.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.opts.Requests != nil {
		f.readBody(w, r, func() { f.mux.ServeHTTP(w, r) })
		return
	}
	if r.ContentLength > f.opts.MaxBody {
		f.refuseBody(w, r, http.StatusRequestEntityTooLarge, hgcall.Invalid("body", "%d bytes are too large, the limit is %d", r.ContentLength, f.opts.MaxBody))
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, f.opts.MaxBody)
	f.mux.ServeHTTP(w, r)
}
