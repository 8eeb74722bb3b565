package hgstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopgrade/hgcall"
)

// tokenBytes is the size of each token that the engine generates or counts, in bytes.
const tokenBytes = 4

// Digest returns the hash of a conversation. An engine's answer begins with it, so that a test can tell whether the engine saw
// the whole conversation.
func Digest(messages []hgcall.Message) string {
	h := xxhash.New()
	for _, m := range messages {
		fmt.Fprintf(h, "%q %q\n", m.Role, fmt.Sprint(m.Content))
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// promptTokens counts a conversation's tokens: one per started four bytes of content, and one per message.
func promptTokens(messages []hgcall.Message) int {
	n := 0
	for _, m := range messages {
		n += 1 + (len(fmt.Sprint(m.Content))+tokenBytes-1)/tokenBytes
	}
	return n
}

// Answer returns the text of maxTokens tokens that an engine generates for a conversation, for comparison with what a caller got.
func Answer(messages []hgcall.Message, maxTokens uint64) string {
	text := Digest(messages)
	if n := int(maxTokens) * tokenBytes; n > len(text) {
		return text + strings.Repeat("tok ", (n-len(text))/tokenBytes)
	}
	return text[:int(maxTokens)*tokenBytes]
}

// chat answers a chat completion: it waits for the prefill of tokens that are not cached and streams the answer.
func (e *Endpoint) chat(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Model     string           `json:"model"`
		Messages  []hgcall.Message `json:"messages"`
		MaxTokens uint64           `json:"max_tokens"`
	}
	if !readJSON(w, r, &body) {
		return
	}
	last := fmt.Sprint(body.Messages[len(body.Messages)-1].Content)
	x, ok := e.begin(w, r, body.Model, last)
	if !ok {
		return
	}
	prompt := promptTokens(body.Messages)
	e.mu.Lock()
	cached := e.cache.use(x.Program, prompt)
	e.mu.Unlock()
	time.Sleep(time.Duration(prompt-cached) * e.opts.PrefillTime)
	text := Answer(body.Messages, body.MaxTokens)
	tokens := len(text) / tokenBytes
	defer func() { e.end(x, uint64(tokens)) }()
	e.setRequestID(w, x.Request)
	if !e.stream(w, r, text) {
		return
	}
	e.mu.Lock()
	e.cache.extend(x.Program, prompt+tokens)
	e.mu.Unlock()
	e.finish(w, prompt, cached, tokens)
}

// partsPerAnswer is the number of events over which an answer's text is spread.
const partsPerAnswer = 4

// stream sends the text in parts, each after the time that its tokens take. It returns false if the client is gone.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, text string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	cut := e.consumeFault(func(f *Fault) *int { return &f.CutPieces })
	size := max((len(text)/tokenBytes+partsPerAnswer-1)/partsPerAnswer, 1) * tokenBytes
	for i := 0; i < len(text); i += size {
		if cut && i > 0 {
			panic(http.ErrAbortHandler)
		}
		part := text[i:min(i+size, len(text))]
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(time.Duration(len(part)/tokenBytes) * e.opts.TokenTime):
		}
		writeEvent(w, map[string]any{"choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": part}}}})
	}
	return true
}

// finish sends the events that end an answer: the finish reason, the usage and [DONE].
func (e *Endpoint) finish(w http.ResponseWriter, prompt, cached, tokens int) {
	writeEvent(w, map[string]any{"choices": []any{map[string]any{"index": 0, "delta": map[string]any{}, "finish_reason": "stop"}}})
	writeEvent(w, map[string]any{"choices": []any{}, "usage": map[string]any{
		"prompt_tokens": prompt, "completion_tokens": tokens, "prompt_tokens_details": map[string]any{"cached_tokens": cached},
	}})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeEvent(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}
