package hgcaller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"hyssopgrade/hgcall"
	"hyssopgrade/internal/serve/hgfront"
)

// maxLineBytes is the maximum size of one event of a stream.
const maxLineBytes = 16 << 20

type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Hyssopgrade *hgfront.AnswerSummary `json:"hyssopgrade"`
	Error       *hgfront.ErrorDetail   `json:"error"`
}

// readStream reads a streamed answer. It returns an error unless the stream has a closing event whose length and digest match
// the text.
func readStream(body io.Reader, call hgcall.Call) (a Answer, err error) {
	var text strings.Builder
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var ch chunk
		if err := json.Unmarshal([]byte(data), &ch); err != nil {
			return a, err
		}
		if ch.Error != nil {
			return a, refusal(*ch.Error)
		}
		if ch.ID != call.Request {
			return a, fmt.Errorf("event of request %q in the stream for request %q", ch.ID, call.Request)
		}
		for _, c := range ch.Choices {
			text.WriteString(c.Delta.Content)
		}
		if ch.Hyssopgrade != nil {
			return verify(text.String(), ch.Hyssopgrade)
		}
	}
	return a, fmt.Errorf("answer to request %q truncated after %d bytes: %v", call.Request, text.Len(), sc.Err())
}

// verify returns a streamed text as an Answer if it matches the length and digest in its closing event.
func verify(text string, e *hgfront.AnswerSummary) (a Answer, err error) {
	r := hgcall.Result{Answer: []byte(text)}
	if e.Length != len(text) || e.Digest != r.Digest() {
		return a, fmt.Errorf("answer has %d bytes and digest %s, its closing event has %d and %s", len(text), r.Digest(), e.Length, e.Digest)
	}
	return Answer{State: e.State, Body: r.Answer}, nil
}
