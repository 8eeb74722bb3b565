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

// Ended is the answer to the end of a program.
type Ended struct {
	Program string `json:"program"`
	Ended   bool   `json:"ended"`
}

// History is a program's conversation.
type History struct {
	Program  string           `json:"program"`
	Messages []hgcall.Message `json:"messages"`
}

// statusError is a huma error with the refusal's body.
type statusError struct {
	ErrorBody
	status int
}

// Error returns the refusal's message.
func (e *statusError) Error() string { return e.ErrorBody.Error.Message }

// GetStatus returns the HTTP status.
func (e *statusError) GetStatus() int { return e.status }

func asStatus(err error) error {
	if err == nil {
		return nil
	}
	r := hgcall.AsRefusal(err)
	return &statusError{ErrorBody: errorBody(r), status: r.Status()}
}

func (f *Front) addPrograms(api huma.API) {
	huma.Post(api, "/v1/programs/end", func(ctx context.Context, in *endInput) (*body[Ended], error) {
		if err := f.backend.End(ctx, in.Body.Program); err != nil {
			return nil, asStatus(err)
		}
		return &body[Ended]{Body: Ended{Program: in.Body.Program, Ended: true}}, nil
	})
	huma.Get(api, "/v1/locate", func(_ context.Context, in *locateInput) (*body[Location], error) {
		if in.Program != "" {
			if err := hgcall.CheckProgram(in.Program); err != nil {
				return nil, asStatus(err)
			}
		}
		return &body[Location]{Body: f.backend.Locate(in.Program)}, nil
	})
}

// askForKey refuses requests without the operators' key.
func (f *Front) askForKey(key hgkey.Key) func(hctx huma.Context, next func(huma.Context)) {
	return func(hctx huma.Context, next func(huma.Context)) {
		if key.Allows(http.Header{"Authorization": {hctx.Header("Authorization")}}) {
			next(hctx)
			return
		}
		bad := hgcall.Invalid("Authorization", "want the operators' key")
		f.backend.Refused(bad)
		hctx.SetHeader("Content-Type", "application/json")
		hctx.SetHeader("WWW-Authenticate", "Bearer")
		hctx.SetStatus(http.StatusUnauthorized)
		_ = json.NewEncoder(hctx.BodyWriter()).Encode(errorBody(bad))
	}
}

// addOperations adds the operators' routes.
func (f *Front) addOperations(api huma.API) {
	huma.Get(api, "/v1/programs/status", func(ctx context.Context, in *programInput) (*body[hgowner.ProgramStatus], error) {
		s, err := f.backend.Status(ctx, in.Program)
		return &body[hgowner.ProgramStatus]{Body: s}, asStatus(err)
	})
	huma.Get(api, "/v1/programs/history", func(ctx context.Context, in *programInput) (*body[History], error) {
		ms, err := f.backend.History(ctx, in.Program)
		return &body[History]{Body: History{Program: in.Program, Messages: ms}}, asStatus(err)
	})
	huma.Get(api, "/v1/status", func(context.Context, *struct{}) (*body[Overview], error) {
		return &body[Overview]{Body: f.backend.Overview()}, nil
	})
	huma.Get(api, "/v1/presets", func(ctx context.Context, _ *struct{}) (*body[PresetStatus], error) {
		return &body[PresetStatus]{Body: f.backend.Presets(ctx)}, nil
	})
	huma.Post(api, "/v1/presets", func(ctx context.Context, in *body[hgpreset.Preset]) (*body[hgpreset.Preset], error) {
		return &body[hgpreset.Preset]{Body: in.Body}, asStatus(f.backend.CreatePreset(ctx, in.Body))
	})
	huma.Post(api, "/v1/presets/use", func(ctx context.Context, in *useInput) (*body[hgpreset.Version], error) {
		v, err := f.backend.UsePreset(ctx, in.Body.Name, in.Body.By)
		var lost *PresetConflict
		if errors.As(err, &lost) {
			return nil, huma.Error409Conflict(lost.Error())
		}
		return &body[hgpreset.Version]{Body: v}, asStatus(err)
	})
}

// addProbes adds the routes that tell whether the node lives and takes new work.
func (f *Front) addProbes() {
	f.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	f.mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := f.backend.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
}
