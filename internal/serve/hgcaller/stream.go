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

// maxLineBytes bounds one event of a stream.
const maxLineBytes = 16 << 20

type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Hyssopgrade *hgfront.Ending      `json:"hyssopgrade"`
	Error       *hgfront.ErrorDetail `json:"error"`
}

// readStream reads a streamed answer; only one whose closing event fits its text is returned.
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
			return a, fmt.Errorf("event of request %q in the answer to %q", ch.ID, call.Request)
		}
		for _, c := range ch.Choices {
			text.WriteString(c.Delta.Content)
		}
		if ch.Hyssopgrade != nil {
			return whole(text.String(), ch.Hyssopgrade)
		}
	}
	return a, fmt.Errorf("answer to request %q was cut after %d bytes: %v", call.Request, text.Len(), sc.Err())
}

// whole checks a text against its closing event.
func whole(text string, e *hgfront.Ending) (a Answer, err error) {
	r := hgcall.Result{Answer: []byte(text)}
	if e.Length != len(text) || e.Digest != r.Digest() {
		return a, fmt.Errorf("answer has %d bytes and digest %s, its end says %d and %s", len(text), r.Digest(), e.Length, e.Digest)
	}
	return Answer{State: e.State, Body: r.Answer}, nil
}
