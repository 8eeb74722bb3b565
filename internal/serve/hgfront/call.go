package hgfront

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/google/uuid"

	"hyssopgrade/hgcall"
)

// defaultDeadline is the deadline of a call without the header Hg-Deadline-Ms.
const defaultDeadline = 2 * time.Minute

// CallHeaders are the request headers that model calls and tool calls have in common.
type CallHeaders struct {
	Program    string `header:"Hg-Program" doc:"Program identifier; a sub-agent's is its parent's, a slash and a name. Without it the call is a program of its own."`
	Parent     string `header:"Hg-Parent" doc:"Identifier of the parent program; checked against Hg-Program."`
	Seq        uint64 `header:"Hg-Seq" doc:"Place of the call in its program, from 1."`
	Request    string `header:"Hg-Request" doc:"Identifier of the request; copies carry the same."`
	Budget     uint64 `header:"Hg-Budget" doc:"Token budget of a root program, on its first call."`
	DeadlineMs int64  `header:"Hg-Deadline-Ms" doc:"Time left for the call, in milliseconds."`
}

// call returns the call that the headers describe, or a refusal of the kind invalid. A call without a program becomes the
// only call of a new one.
func (h CallHeaders) call() (c hgcall.Call, err error) {
	c = hgcall.Call{Program: h.Program, Seq: h.Seq, Request: h.Request, Budget: h.Budget, Deadline: defaultDeadline}
	if h.DeadlineMs != 0 {
		c.Deadline = time.Duration(h.DeadlineMs) * time.Millisecond
	}
	if h.DeadlineMs < 0 || h.DeadlineMs > hgcall.MaxDeadline.Milliseconds() {
		return c, hgcall.Invalid("Hg-Deadline-Ms", "%d is outside 1 to %d", h.DeadlineMs, hgcall.MaxDeadline.Milliseconds())
	}
	if h.Program == "" {
		if h.Seq > 1 {
			return c, hgcall.Invalid("Hg-Program", "want a program for call %d", h.Seq)
		}
		c.Program, c.Seq = "single-"+uuid.NewString(), 1
	}
	if c.Request == "" && h.Program == "" {
		c.Request = uuid.NewString()
	}
	if parent, _ := hgcall.Parent(c.Program); h.Parent != "" && h.Parent != parent {
		return c, hgcall.Invalid("Hg-Parent", "%q is not the parent of program %q", h.Parent, c.Program)
	}
	return c, nil
}

type chatInput struct {
	CallHeaders
	Body struct {
		_                   struct{}         `json:"-" additionalProperties:"true"`
		Model               string           `json:"model" doc:"Model to call."`
		Messages            []hgcall.Message `json:"messages" minItems:"1" doc:"The new messages; the system keeps the ones before."`
		Stream              bool             `json:"stream,omitempty"`
		MaxTokens           uint64           `json:"max_tokens,omitempty"`
		MaxCompletionTokens uint64           `json:"max_completion_tokens,omitempty"`
	}
}

type toolInput struct {
	CallHeaders
	Service    string `path:"service" doc:"Tool service."`
	Operation  string `path:"operation" doc:"Operation of the service."`
	Idempotent bool   `header:"Hg-Idempotent" doc:"Says that the call may run more than once; without it the call runs at most once."`
	RawBody    []byte
}

func (f *Front) addCallRoutes(api huma.API) {
	huma.Register(api, huma.Operation{
		OperationID: "chat", Method: http.MethodPost, Path: "/v1/chat/completions", MaxBodyBytes: f.opts.MaxBody,
		Summary: "Call a model", Description: "Chat completions in the OpenAI form, also streamed.",
	}, f.chat)
	huma.Register(api, huma.Operation{
		OperationID: "tool", Method: http.MethodPost, Path: "/v1/tools/{service}/{operation}", MaxBodyBytes: f.opts.MaxBody,
		Summary: "Call a tool", Description: "The body goes to the tool service as it is; the answer comes back with Hg-State, Hg-Length and Hg-Digest.",
	}, f.tool)
}

func (f *Front) chat(ctx context.Context, in *chatInput) (out *huma.StreamResponse, err error) {
	c, invalid := in.call()
	c.Kind, c.Target, c.Messages = hgcall.Model, in.Body.Model, in.Body.Messages
	c.MaxTokens = max(in.Body.MaxTokens, in.Body.MaxCompletionTokens)
	return &huma.StreamResponse{Body: func(hctx huma.Context) {
		w := newChatWriter(hctx, c, in.Body.Stream)
		if invalid != nil {
			f.refuse(hctx, invalid)
			return
		}
		f.serveChat(ctx, hctx, c, w)
	}}, nil
}

// serveChat runs a model call and writes its answer. Once a stream has started the status line is sent, so that a later
// failure is reported as an event of the stream.
func (f *Front) serveChat(ctx context.Context, hctx huma.Context, c hgcall.Call, w *chatWriter) {
	var r hgcall.Result
	var err error
	if w.stream {
		r, err = f.backend.Serve(ctx, c, w)
	} else {
		r, err = f.backend.Serve(ctx, c, nil)
	}
	if err == nil && r.State != hgcall.Done {
		err = failedWithoutAnswer(r)
	}
	switch {
	case err != nil && !w.started:
		f.refuse(hctx, err)
	case err != nil:
		f.backend.Refused(hgcall.AsRefusal(err))
		w.fail(hgcall.AsRefusal(err))
	default:
		w.finish(r)
	}
}

// failedWithoutAnswer returns the refusal for a call that was run and failed without an answer for its caller.
func failedWithoutAnswer(r hgcall.Result) *hgcall.Refusal {
	return hgcall.NewRefusal(hgcall.KindUnknown, r.Reason, 0, "the call was run and failed; it will not run again under this identifier")
}

func (f *Front) tool(ctx context.Context, in *toolInput) (out *huma.StreamResponse, err error) {
	c, invalid := in.call()
	c.Kind, c.Target, c.Body, c.Idempotent = hgcall.Tool, in.Service+"/"+in.Operation, in.RawBody, in.Idempotent
	return &huma.StreamResponse{Body: func(hctx huma.Context) {
		if invalid != nil {
			f.refuse(hctx, invalid)
			return
		}
		r, err := f.backend.Serve(ctx, c, nil)
		if err == nil && r.Status == 0 {
			err = failedWithoutAnswer(r)
		}
		if err != nil {
			f.refuse(hctx, err)
			return
		}
		hctx.SetHeader("Content-Type", "application/json")
		setResultHeaders(hctx, r)
		hctx.SetStatus(r.Status)
		_, _ = hctx.BodyWriter().Write(r.Answer)
	}}, nil
}

// setResultHeaders sets the state, the length and the digest by which the caller can check that the answer is complete.
func setResultHeaders(hctx huma.Context, r hgcall.Result) {
	hctx.SetHeader("Hg-State", string(r.State))
	hctx.SetHeader("Hg-Length", strconv.Itoa(len(r.Answer)))
	hctx.SetHeader("Hg-Digest", r.Digest())
	hctx.SetHeader("Content-Length", strconv.Itoa(len(r.Answer)))
}

// ErrorBody is the JSON body of a refusal, in the OpenAI form.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of an ErrorBody; hgcaller turns it back into a *hgcall.Refusal.
type ErrorDetail struct {
	// Type is the refusal's kind, Code its reason, Param the invalid field.
	Type    hgcall.RefusalKind `json:"type"`
	Code    hgcall.Reason      `json:"code"`
	Param   string             `json:"param,omitempty"`
	Message string             `json:"message"`
	// RetryAfterMs is the time before a retry, in milliseconds; 0 means that this request must not be retried.
	RetryAfterMs int64 `json:"retryAfterMs"`
}

func errorBody(r *hgcall.Refusal) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Type: r.Kind, Code: r.Reason, Param: r.Field, Message: r.Error(), RetryAfterMs: r.RetryAfter.Milliseconds(),
	}}
}

// refuse counts a refusal and writes it as the response. Retry-After is in whole seconds, rounded up.
func (f *Front) refuse(hctx huma.Context, err error) {
	r := hgcall.AsRefusal(err)
	f.backend.Refused(r)
	hctx.SetHeader("Content-Type", "application/json")
	hctx.SetHeader("Hg-State", string(r.Kind))
	if r.RetryAfter > 0 {
		hctx.SetHeader("Retry-After", strconv.FormatInt(int64((r.RetryAfter+time.Second-1)/time.Second), 10))
	}
	hctx.SetStatus(r.Status())
	_ = json.NewEncoder(hctx.BodyWriter()).Encode(errorBody(r))
}
