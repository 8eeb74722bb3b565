package hgcall

import (
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits on the fields that callers set.
const (
	MaxIdentifierBytes = 128
	MaxSubAgentDepth   = 8
	MaxSeq             = 1 << 20
	MaxBudgetTokens    = 1 << 40
	MaxOutputTokens    = 1 << 20
	MaxDeadline        = time.Hour
)

// Kind is the kind of a call's target.
type Kind string

// The kinds of calls.
const (
	Model Kind = "model"
	Tool  Kind = "tool"
)

// Message is one chat message. Content is a string or a list of parts.
type Message struct {
	Role       string `json:"role" cbor:"1,keyasint"`
	Content    any    `json:"content" cbor:"2,keyasint,omitempty"`
	Name       string `json:"name,omitempty" cbor:"3,keyasint,omitempty"`
	ToolCallID string `json:"tool_call_id,omitempty" cbor:"4,keyasint,omitempty"`
}

// Call is one request of a program to a model or to a tool.
type Call struct {
	// Program identifies the program. A sub-agent's identifier is that of its parent, a slash and a name.
	Program string `json:"program"`
	// Seq is the call's sequence number in the program, from 1.
	Seq uint64 `json:"seq"`
	// Request identifies the call. Duplicates of a call, such as retries, carry the same identifier and get the same answer.
	Request string `json:"request"`
	// Kind is whether a model or a tool is called.
	Kind Kind `json:"kind"`
	// Target is the name of a model, or a tool's service and operation joined by a slash.
	Target string `json:"target"`
	// Idempotent is set by the caller if the tool call may run more than once.
	Idempotent bool `json:"idempotent"`
	// Messages are the messages that a model call adds to the program's conversation.
	Messages []Message `json:"messages,omitempty"`
	// Body is the request body of a tool call.
	Body []byte `json:"body,omitempty"`
	// MaxTokens limits the output of a model call; 0 means the default of the preset in force.
	MaxTokens uint64 `json:"maxTokens,omitempty"`
	// Budget is a root program's token budget. It is read from the program's first call; 0 means the default of the preset in force.
	Budget uint64 `json:"budget,omitempty"`
	// Deadline is the time left for the call.
	Deadline time.Duration `json:"deadline"`
}

// Root returns the identifier of the root program, to which the call's budget and shard belong.
func (c Call) Root() string { return Root(c.Program) }

// Service returns the name of the service that an endpoint must provide to run the call.
func (c Call) Service() string { return Service(c.Kind, c.Target) }

// Service returns the name of the service that runs a target: the model itself, or the tool's service without the operation.
func Service(k Kind, target string) string {
	if k == Model {
		return target
	}
	service, _, _ := strings.Cut(target, "/")
	return service
}

// Repeatable reports whether the call may run more than once: an idempotent tool call or any model call.
func (c Call) Repeatable() bool { return c.Idempotent || c.Kind == Model }

// WithDeadline returns a copy of the call with the deadline d, in time left.
func (c Call) WithDeadline(d time.Duration) Call {
	c.Deadline = d
	return c
}

// WithMaxTokens returns a copy of the call with a limit of n tokens on its output.
func (c Call) WithMaxTokens(n uint64) Call {
	c.MaxTokens = n
	return c
}

// Root returns the identifier of a program's root program, which is the program's own if it has no parent.
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

// Digest returns a hash of the call's kind, target, messages and body. Duplicates of a request must have the same digest.
func (c Call) Digest() string {
	h := xxhash.New()
	fmt.Fprintf(h, "%s\n%s\n%d\n", c.Kind, c.Target, len(c.Messages))
	for _, m := range c.Messages {
		m.write(h)
	}
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// ConversationDigest returns the digest of a conversation extended by messages, where before is the digest of the conversation so
// far or the empty string. It depends on the messages and their order, not on how they were divided into calls.
func ConversationDigest(before string, messages ...Message) string {
	for _, m := range messages {
		h := xxhash.New()
		_, _ = h.WriteString(before)
		m.write(h)
		before = hex.EncodeToString(h.Sum(nil))
	}
	return before
}

// write writes the form of the message that is hashed.
func (m Message) write(w io.Writer) {
	fmt.Fprintf(w, "%q %q %q %q\n", m.Role, m.Name, m.ToolCallID, fmt.Sprint(m.Content))
}

// NewBytes returns the size of the call's body and new messages, in bytes.
func (c Call) NewBytes() uint64 {
	n := len(c.Body)
	for _, m := range c.Messages {
		n += len(m.Role) + len(fmt.Sprint(m.Content))
	}
	return uint64(n)
}

// Check returns a Refusal of the kind KindInvalid that names the first invalid field, or nil.
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

// validProgram reports whether id consists of 1 to MaxSubAgentDepth identifiers, the root program's first, joined by slashes.
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

// validIdentifier reports whether id is not empty, not too long and consists of ASCII letters, digits, '.', '_' and '-'.
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

// CheckProgram returns a Refusal of the kind KindInvalid unless id is a valid program identifier.
func CheckProgram(id string) (err error) {
	if !validProgram(id) {
		return Invalid("program", "%q is no program identifier", id)
	}
	return nil
}

// State is whether and how a call has ended.
type State string

// The states of a call.
const (
	// Open means that the call has no outcome yet.
	Open State = "open"
	// Done means that the call ran and has an answer.
	Done State = "done"
	// Failed means that the call was dispatched but failed, or had no answer by its deadline; it will not run again.
	Failed State = "failed"
	// NotRun means that the call did not run and never will.
	NotRun State = "notRun"
	// Unknown means that the call was dispatched and may have run, but its outcome was lost; it will not run again.
	Unknown State = "unknown"
)

// Result is the outcome of a call.
type Result struct {
	State State `json:"state"`
	// Status is the HTTP status of a tool's answer.
	Status int `json:"status,omitempty"`
	// Answer is the text that a model generated or the body of a tool's answer.
	Answer []byte `json:"answer"`
	// InputTokens and OutputTokens are the tokens that the call added to its program's context.
	InputTokens  uint64 `json:"inputTokens"`
	OutputTokens uint64 `json:"outputTokens"`
	// Reason is why the call is not done; it is empty for a call that is.
	Reason Reason `json:"reason,omitempty"`
}

// Digest returns a hash of the answer, by which the caller checks that it received the answer unchanged.
func (r Result) Digest() string {
	return fmt.Sprintf("%016x", xxhash.Sum64(r.Answer))
}
