package hgfront

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"hyssopgrade/hgcall"
)

// chatWriter writes the answer to a model call, as a stream of events or as one JSON document. It implements hgowner.Sink.
type chatWriter struct {
	hctx   huma.Context
	ctl    *http.ResponseController
	c      hgcall.Call
	stream bool
	// started reports that the status and headers of a stream were sent.
	started bool
	// created is in Unix seconds.
	created int64
}

func newChatWriter(hctx huma.Context, c hgcall.Call, stream bool) *chatWriter {
	_, w := humago.Unwrap(hctx)
	return &chatWriter{hctx: hctx, ctl: http.NewResponseController(w), c: c, stream: stream, created: time.Now().Unix()}
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatUsage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}

// AnswerSummary closes an answer that is complete and stored durably; the caller checks the text against Length and Digest.
type AnswerSummary struct {
	State   hgcall.State `json:"state"`
	Program string       `json:"program"`
	Seq     uint64       `json:"seq"`
	Length  int          `json:"length"`
	Digest  string       `json:"digest"`
}

type chatAnswer struct {
	ID          string         `json:"id"`
	Object      string         `json:"object"`
	Created     int64          `json:"created"`
	Model       string         `json:"model"`
	Choices     []chatChoice   `json:"choices"`
	Usage       *chatUsage     `json:"usage,omitempty"`
	Hyssopgrade *AnswerSummary `json:"hyssopgrade,omitempty"`
}

func (w *chatWriter) answer(object string, choice chatChoice) chatAnswer {
	return chatAnswer{ID: w.c.Request, Object: object, Created: w.created, Model: w.c.Target, Choices: []chatChoice{choice}}
}

// Piece sends generated text as one event of a streamed answer.
func (w *chatWriter) Piece(text string) (err error) {
	return w.event(w.answer("chat.completion.chunk", chatChoice{Delta: &chatMessage{Role: "assistant", Content: text}}))
}

// event writes v as one server-sent event and flushes it; the first event sends the status and headers before.
func (w *chatWriter) event(v any) (err error) {
	if !w.started {
		w.started = true
		w.hctx.SetHeader("Content-Type", "text/event-stream")
		w.hctx.SetHeader("Cache-Control", "no-store")
		w.hctx.SetStatus(http.StatusOK)
	}
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w.hctx.BodyWriter(), "data: %s\n\n", data); err != nil {
		return err
	}
	return w.ctl.Flush()
}

// fail ends a streamed answer that is incomplete with an event that holds the refusal.
func (w *chatWriter) fail(r *hgcall.Refusal) {
	_ = w.event(errorBody(r))
}

// finish writes the end of an answer that is complete and stored durably; without streaming this is the whole answer.
func (w *chatWriter) finish(r hgcall.Result) {
	stop := "stop"
	a := w.answer("chat.completion.chunk", chatChoice{Delta: &chatMessage{}, FinishReason: &stop})
	a.Usage = &chatUsage{PromptTokens: r.InputTokens, CompletionTokens: r.OutputTokens, TotalTokens: r.InputTokens + r.OutputTokens}
	a.Hyssopgrade = &AnswerSummary{State: r.State, Program: w.c.Program, Seq: w.c.Seq, Length: len(r.Answer), Digest: r.Digest()}
	if w.stream {
		w.finishStream(a, r)
		return
	}
	a.Object = "chat.completion"
	a.Choices[0] = chatChoice{Message: &chatMessage{Role: "assistant", Content: string(r.Answer)}, FinishReason: &stop}
	w.hctx.SetHeader("Content-Type", "application/json")
	w.hctx.SetHeader("Hg-State", string(r.State))
	w.hctx.SetStatus(http.StatusOK)
	_ = json.NewEncoder(w.hctx.BodyWriter()).Encode(a)
}

// finishStream writes the closing event and [DONE]. A result that was never streamed, such as one of an earlier copy of the
// request, is sent before them as one event.
func (w *chatWriter) finishStream(a chatAnswer, r hgcall.Result) {
	if !w.started {
		if w.Piece(string(r.Answer)) != nil {
			return
		}
	}
	if w.event(a) != nil {
		return
	}
	_, _ = fmt.Fprint(w.hctx.BodyWriter(), "data: [DONE]\n\n")
	_ = w.ctl.Flush()
}
