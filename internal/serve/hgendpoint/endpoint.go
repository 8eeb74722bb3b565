package hgendpoint

import (
	"context"
	"fmt"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgretain"
)

// Endpoint is one model engine or tool service.
type Endpoint interface {
	// Chat runs a model call and passes the generated text on piece by piece; the error is an *Error.
	Chat(ctx context.Context, r ChatRequest, piece func(text string)) (c ChatResult, err error)
	// Call runs a tool call; the error is an *Error.
	Call(ctx context.Context, r ToolRequest) (t ToolResult, err error)
	// Order gives an order about a program's prefix.
	Order(ctx context.Context, o Order) (err error)
	// Status returns the endpoint's load report.
	Status(ctx context.Context) (s Status, err error)
	// Outcome returns what the endpoint knows of a tool request, or a trace.NotFound error if it keeps no outcomes.
	// An endpoint that checks fencing numbers has refused older ones than f's since it was asked.
	Outcome(ctx context.Context, request string, f Fence) (o Outcome, err error)
	// Programs returns the programs that hold engine memory, with their tokens.
	Programs(ctx context.Context) (tokens map[string]int, err error)
	// String names the endpoint.
	String() string
}

// Fence is the fencing number under which a node acts for a shard.
type Fence struct {
	Shard uint32 `json:"shard"`
	Epoch uint64 `json:"epoch"`
}

// String returns the fence as the header's value.
func (f Fence) String() string { return fmt.Sprintf("%d:%d", f.Shard, f.Epoch) }

// ChatRequest is a model call with the program's whole conversation.
type ChatRequest struct {
	Program   string
	Request   string
	Model     string
	Messages  []hgcall.Message
	MaxTokens uint64
	Fence     Fence
}

// ChatResult is the end of a model call.
type ChatResult struct {
	Text         string
	PromptTokens uint64
	CachedTokens uint64
	OutputTokens uint64
	FirstToken   time.Duration
	Total        time.Duration
}

// ToolRequest is a tool call.
type ToolRequest struct {
	Program    string
	Request    string
	Operation  string
	Body       []byte
	Idempotent bool
	Fence      Fence
}

// ToolResult is a tool's answer.
type ToolResult struct {
	Status int    `json:"status"`
	Body   []byte `json:"body"`
}

// Outcome is what an endpoint knows of a tool request.
type Outcome struct {
	State OutcomeState `json:"state"`
	// Result is the answer of a request that ended.
	Result ToolResult `json:"result"`
}

// OutcomeState says how far a tool request came.
type OutcomeState string

// Outcome states.
const (
	OutcomeEnded   OutcomeState = "ended"
	OutcomeRunning OutcomeState = "running"
	OutcomeUnseen  OutcomeState = "unseen"
)

// Order tells an engine what to do with a program's prefix.
type Order struct {
	Program string          `json:"program"`
	Action  hgretain.Action `json:"action"`
	Fence   Fence           `json:"fence"`
}

// Status is a load report.
type Status struct {
	Running int `json:"running"`
	// CacheShare is the share of the memory for prefixes that is in use.
	CacheShare float64 `json:"cacheShare"`
	Draining   bool    `json:"draining"`
}

// Error is a failed dispatch.
type Error struct {
	// Sent says that the request may have reached the endpoint.
	Sent bool
	// Cut says that the connection broke, so that the endpoint may have died.
	Cut bool
	// Draining says that the endpoint refused since it is leaving.
	Draining bool
	// Fenced says that the endpoint has seen a newer fencing number.
	Fenced bool
	Err    error
}

// Error returns the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
