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
	// Chat runs a model call and passes each piece of generated text to onText as it arrives; the error is an *Error.
	Chat(ctx context.Context, r ChatRequest, onText func(text string)) (c ChatResult, err error)
	// Call runs a tool call; the error is an *Error.
	Call(ctx context.Context, r ToolRequest) (t ToolResult, err error)
	// Order tells an engine to hold or to release the cached prefix of a program.
	Order(ctx context.Context, o Order) (err error)
	// Status returns the endpoint's current load report.
	Status(ctx context.Context) (s Status, err error)
	// Outcome returns what the endpoint knows of a tool request, or a trace.NotFound error if it keeps no outcomes.
	// From this query on, an endpoint that checks fencing numbers refuses requests with an older number than f.
	Outcome(ctx context.Context, request string, f Fence) (o Outcome, err error)
	// Programs returns the number of cached tokens of each program that holds engine memory.
	Programs(ctx context.Context) (tokens map[string]int, err error)
	// String returns the endpoint's name, for log lines.
	String() string
}

// Fence is the fencing number that a node sends as the owner of a shard; each new owner has a higher epoch, so that an
// endpoint can refuse requests of a previous owner.
type Fence struct {
	Shard uint32 `json:"shard"`
	Epoch uint64 `json:"epoch"`
}

// String returns the value of the header HeaderFence, "shard:epoch".
func (f Fence) String() string { return fmt.Sprintf("%d:%d", f.Shard, f.Epoch) }

// ChatRequest is a model call; its messages are the whole conversation of the program, not only the new ones.
type ChatRequest struct {
	Program   string
	Request   string
	Model     string
	Messages  []hgcall.Message
	MaxTokens uint64
	Fence     Fence
}

// ChatResult is the complete answer to a model call, with its token counts and times since the request was sent.
type ChatResult struct {
	Text         string
	PromptTokens uint64
	CachedTokens uint64
	OutputTokens uint64
	FirstToken   time.Duration
	Total        time.Duration
}

// ToolRequest is a tool call; Idempotent allows the endpoint to run it more than once.
type ToolRequest struct {
	Program    string
	Request    string
	Operation  string
	Body       []byte
	Idempotent bool
	Fence      Fence
}

// ToolResult is the HTTP status and the body of a tool's answer.
type ToolResult struct {
	Status int    `json:"status"`
	Body   []byte `json:"body"`
}

// Outcome is what an endpoint knows of a tool request.
type Outcome struct {
	State OutcomeState `json:"state"`
	// Result is the tool's answer; it is set in the state OutcomeEnded only.
	Result ToolResult `json:"result"`
}

// OutcomeState is the progress of a tool request at its endpoint.
type OutcomeState string

// States of a tool request; the endpoint has no record of an unseen one.
const (
	OutcomeEnded   OutcomeState = "ended"
	OutcomeRunning OutcomeState = "running"
	OutcomeUnseen  OutcomeState = "unseen"
)

// Order is a command to an engine about the cached prefix of a program.
type Order struct {
	Program string          `json:"program"`
	Action  hgretain.Action `json:"action"`
	Fence   Fence           `json:"fence"`
}

// Status is the load report of an endpoint.
type Status struct {
	Running int `json:"running"`
	// CacheShare is the used share of the memory for prefixes, from 0 to 1.
	CacheShare float64 `json:"cacheShare"`
	Draining   bool    `json:"draining"`
}

// Error describes a failed dispatch; its flags decide whether the request may be sent again.
type Error struct {
	// Sent reports that the request may have reached the endpoint, which may have run it.
	Sent bool
	// Cut reports that the connection broke or could not be made, so that the endpoint may have died. It is not set if the
	// request's own context ended before the endpoint answered.
	Cut bool
	// Draining reports that the endpoint refused the request because it is leaving.
	Draining bool
	// Fenced reports that the endpoint refused the request because it has seen a newer fencing number.
	Fenced bool
	Err    error
}

// Error returns the message of the underlying error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
