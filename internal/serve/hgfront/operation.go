package hgfront

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgpreset"
	"hyssopgrade/internal/operate/hgkey"
	"hyssopgrade/internal/serve/hgowner"
)

// body is a huma response with the JSON body T.
type body[T any] struct{ Body T }

type programInput struct {
	Program string `query:"program" required:"true" doc:"Program identifier."`
}

type endInput struct {
	Body struct {
		Program string `json:"program" doc:"Program identifier."`
	}
}

type locateInput struct {
	Program string `query:"program" doc:"Program identifier; without it any address will do."`
}

type useInput struct {
	Body struct {
		Name string `json:"name" doc:"Preset to put in force."`
		By   string `json:"by" minLength:"1" doc:"Who chooses."`
	}
}

// Ended is the answer of /v1/programs/end.
type Ended struct {
	Program string `json:"program"`
	Ended   bool   `json:"ended"`
}

// History is the answer of /v1/programs/history: all messages of a program's conversation.
type History struct {
	Program  string           `json:"program"`
	Messages []hgcall.Message `json:"messages"`
}

// statusError is a refusal as a huma.StatusError, so that huma writes it with the same body as the routes of calls.
type statusError struct {
	ErrorBody
	status int
}

// Error returns the refusal's message.
func (e *statusError) Error() string { return e.ErrorBody.Error.Message }

// GetStatus returns the HTTP status of the response.
func (e *statusError) GetStatus() int { return e.status }

// asStatusError returns err as a *statusError, or nil if err is nil.
func asStatusError(err error) error {
	if err == nil {
		return nil
	}
	r := hgcall.AsRefusal(err)
	return &statusError{ErrorBody: errorBody(r), status: r.Status()}
}

// addProgramRoutes adds the routes by which callers end and locate programs.
func (f *Front) addProgramRoutes(api huma.API) {
	huma.Post(api, "/v1/programs/end", func(ctx context.Context, in *endInput) (*body[Ended], error) {
		if err := f.backend.End(ctx, in.Body.Program); err != nil {
			return nil, asStatusError(err)
		}
		return &body[Ended]{Body: Ended{Program: in.Body.Program, Ended: true}}, nil
	})
	huma.Get(api, "/v1/locate", func(_ context.Context, in *locateInput) (*body[Location], error) {
		if in.Program != "" {
			if err := hgcall.CheckProgram(in.Program); err != nil {
				return nil, asStatusError(err)
			}
		}
		return &body[Location]{Body: f.backend.Locate(in.Program)}, nil
	})
}

// requireKey returns a middleware that answers requests without the operators' key with 401.
func (f *Front) requireKey(key hgkey.Key) func(hctx huma.Context, next func(huma.Context)) {
	return func(hctx huma.Context, next func(huma.Context)) {
		if key.Allows(http.Header{"Authorization": {hctx.Header("Authorization")}}) {
			next(hctx)
			return
		}
		refusal := hgcall.Invalid("Authorization", "want the operators' key")
		f.backend.Refused(refusal)
		hctx.SetHeader("Content-Type", "application/json")
		hctx.SetHeader("WWW-Authenticate", "Bearer")
		hctx.SetStatus(http.StatusUnauthorized)
		_ = json.NewEncoder(hctx.BodyWriter()).Encode(errorBody(refusal))
	}
}

// addOperatorRoutes adds the routes for operators.
func (f *Front) addOperatorRoutes(api huma.API) {
	huma.Get(api, "/v1/programs/status", func(ctx context.Context, in *programInput) (*body[hgowner.ProgramStatus], error) {
		s, err := f.backend.Status(ctx, in.Program)
		return &body[hgowner.ProgramStatus]{Body: s}, asStatusError(err)
	})
	huma.Get(api, "/v1/programs/history", func(ctx context.Context, in *programInput) (*body[History], error) {
		ms, err := f.backend.History(ctx, in.Program)
		return &body[History]{Body: History{Program: in.Program, Messages: ms}}, asStatusError(err)
	})
	huma.Get(api, "/v1/status", func(context.Context, *struct{}) (*body[Overview], error) {
		return &body[Overview]{Body: f.backend.Overview()}, nil
	})
	huma.Get(api, "/v1/presets", func(ctx context.Context, _ *struct{}) (*body[PresetStatus], error) {
		return &body[PresetStatus]{Body: f.backend.Presets(ctx)}, nil
	})
	huma.Post(api, "/v1/presets", func(ctx context.Context, in *body[hgpreset.Preset]) (*body[hgpreset.Preset], error) {
		return &body[hgpreset.Preset]{Body: in.Body}, asStatusError(f.backend.CreatePreset(ctx, in.Body))
	})
	huma.Post(api, "/v1/presets/use", func(ctx context.Context, in *useInput) (*body[hgpreset.Version], error) {
		v, err := f.backend.UsePreset(ctx, in.Body.Name, in.Body.By)
		var conflict *PresetConflict
		if errors.As(err, &conflict) {
			return nil, huma.Error409Conflict(conflict.Error())
		}
		return &body[hgpreset.Version]{Body: v}, asStatusError(err)
	})
}

// addProbes adds the probes: /healthz succeeds while the process serves, /readyz while the node takes new work.
func (f *Front) addProbes() {
	f.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	f.mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := f.backend.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
}
