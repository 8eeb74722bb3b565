package hgcall

import (
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the fields that callers set.
const (
	MaxIdentifierBytes = 128
	MaxSubAgentDepth   = 8
	MaxSeq             = 1 << 20
	MaxBudgetTokens    = 1 << 40
	MaxOutputTokens    = 1 << 20
	MaxDeadline        = time.Hour
)

// Kind is what a call runs on.
type Kind string

// The kinds of calls.
const (
	Model Kind = "model"
	Tool  Kind = "tool"
)

// Message is one chat message; Content is a string or a list of parts.
type Message struct {
	Role       string `json:"role" cbor:"1,keyasint"`
	Content    any    `json:"content" cbor:"2,keyasint,omitempty"`
	Name       string `json:"name,omitempty" cbor:"3,keyasint,omitempty"`
	ToolCallID string `json:"tool_call_id,omitempty" cbor:"4,keyasint,omitempty"`
}

// Call is one request of a program.
type Call struct {
	// Program identifies the program; a sub-agent's identifier is its parent's, a slash and a name.
	Program string `json:"program"`
	// Seq is the call's place in the program, from 1.
	Seq uint64 `json:"seq"`
	// Request identifies the call; copies of one call carry the same identifier.
	Request string `json:"request"`
	// Kind says whether a model or a tool is called.
	Kind Kind `json:"kind"`
	// Target is a model's name, or a tool service and operation joined by a slash.
	Target string `json:"target"`
	// Idempotent says that the call may run more than once.
	Idempotent bool `json:"idempotent"`
	// Messages are a model call's new messages.
	Messages []Message `json:"messages,omitempty"`
	// Body is a tool call's body.
	Body []byte `json:"body,omitempty"`
	// MaxTokens bounds a model call's output; 0 means the default.
	MaxTokens uint64 `json:"maxTokens,omitempty"`
	// Budget is a root program's token budget, taken from its first call; 0 means the default.
	Budget uint64 `json:"budget,omitempty"`
	// Deadline is the time left for the call.
	Deadline time.Duration `json:"deadline"`
}

// Root returns the identifier of the root program of the call's program.
func (c Call) Root() string { return Root(c.Program) }

// Service returns what an endpoint has to serve for the call: the model, or the tool's service.
func (c Call) Service() string { return Service(c.Kind, c.Target) }

// Service returns the part of a target that endpoints serve.
func Service(k Kind, target string) string {
	if k == Model {
		return target
	}
	service, _, _ := strings.Cut(target, "/")
	return service
}

// Repeatable tells whether the call may run more than once, as each model call may.
func (c Call) Repeatable() bool { return c.Idempotent || c.Kind == Model }

// WithDeadline returns the call with another time left.
func (c Call) WithDeadline(d time.Duration) Call {
	c.Deadline = d
	return c
}

// WithMaxTokens returns the call with another bound on its output.
func (c Call) WithMaxTokens(n uint64) Call {
	c.MaxTokens = n
	return c
}

// Root returns the root program's identifier of a program.
func Root(program string) string {
	root, _, _ := strings.Cut(program, "/")
	return root
}

// Parent returns the identifier of a program's parent; ok is false for a root program.
func Parent(program string) (parent string, ok bool) {
	i := strings.LastIndexByte(program, '/')
	if i < 0 {
		return "", false
	}
	return program[:i], true
}

// Digest returns a hash of what the call does, without its identifiers.
func (c Call) Digest() string {
	h := xxhash.New()
	fmt.Fprintf(h, "%s\n%s\n%d\n", c.Kind, c.Target, len(c.Messages))
	for _, m := range c.Messages {
		m.write(h)
	}
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// ConversationDigest extends the digest of a conversation, or the empty string, by messages. It depends on the messages
// and their order, not on the calls that brought them.
func ConversationDigest(before string, messages ...Message) string {
	for _, m := range messages {
		h := xxhash.New()
		_, _ = h.WriteString(before)
		m.write(h)
		before = hex.EncodeToString(h.Sum(nil))
	}
	return before
}

func (m Message) write(w io.Writer) {
	fmt.Fprintf(w, "%q %q %q %q\n", m.Role, m.Name, m.ToolCallID, fmt.Sprint(m.Content))
}

// NewBytes returns the size of the content that the call adds, in bytes.
func (c Call) NewBytes() uint64 {
	n := len(c.Body)
	for _, m := range c.Messages {
		n += len(m.Role) + len(fmt.Sprint(m.Content))
	}
	return uint64(n)
}

// Check returns an invalid Refusal that names the first bad field, or nil.
func (c Call) Check() (err error) {
	switch {
	case !validProgram(c.Program):
		return Invalid("program", "want 1 to %d parts of letters, digits, '.', '_', '-' joined by '/', at most %d bytes", MaxSubAgentDepth, MaxIdentifierBytes)
	case c.Seq < 1 || c.Seq > MaxSeq:
		return Invalid("seq", "%d is outside 1 to %d", c.Seq, MaxSeq)
	case !validIdentifier(c.Request):
		return Invalid("request", "want 1 to %d letters, digits, '.', '_', '-'", MaxIdentifierBytes)
	case c.Kind != Model && c.Kind != Tool:
		return Invalid("kind", "%q is neither model nor tool", c.Kind)
	case c.Target == "" || len(c.Target) > MaxIdentifierBytes:
		return Invalid("target", "want 1 to %d bytes", MaxIdentifierBytes)
	case c.Kind == Model && len(c.Messages) == 0:
		return Invalid("messages", "want at least one new message")
	case c.MaxTokens > MaxOutputTokens:
		return Invalid("maxTokens", "%d is over %d", c.MaxTokens, MaxOutputTokens)
	case c.Budget > MaxBudgetTokens:
		return Invalid("budget", "%d is over %d tokens", c.Budget, uint64(MaxBudgetTokens))
	case c.Deadline <= 0 || c.Deadline > MaxDeadline:
		return Invalid("deadline", "%s is outside 1ms to %s", c.Deadline, MaxDeadline)
	}
	return nil
}

func validProgram(id string) bool {
	parts := strings.Split(id, "/")
	if len(id) > MaxIdentifierBytes || len(parts) > MaxSubAgentDepth {
		return false
	}
	for _, p := range parts {
		if !validIdentifier(p) {
			return false
		}
	}
	return true
}

func validIdentifier(id string) bool {
	if id == "" || len(id) > MaxIdentifierBytes {
		return false
	}
	for _, r := range id {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '.' || r == '_' || r == '-'
		if !ok {
			return false
		}
	}
	return true
}

// CheckProgram returns an invalid Refusal unless id is a program identifier.
func CheckProgram(id string) (err error) {
	if !validProgram(id) {
		return Invalid("program", "%q is no program identifier", id)
	}
	return nil
}

// State is how a call ended.
type State string

// The states of a call.
const (
	Open    State = "open"
	Done    State = "done"
	Failed  State = "failed"
	NotRun  State = "notRun"
	Unknown State = "unknown"
)

// Result is the answer to a call.
type Result struct {
	State State `json:"state"`
	// Status is the HTTP status of a tool's answer.
	Status int `json:"status,omitempty"`
	// Answer is the text of a model or the body of a tool's answer.
	Answer []byte `json:"answer"`
	// InputTokens and OutputTokens are what the call added to its program.
	InputTokens  uint64 `json:"inputTokens"`
	OutputTokens uint64 `json:"outputTokens"`
	// Reason says why the call failed.
	Reason Reason `json:"reason,omitempty"`
}

// Digest returns a hash of the answer, for the caller to check.
func (r Result) Digest() string {
	return fmt.Sprintf("%016x", xxhash.Sum64(r.Answer))
}
