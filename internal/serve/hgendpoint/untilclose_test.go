package hgendpoint

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// serveUntilClose starts an endpoint that answers every request with a body that ends with its connection.
func serveUntilClose(t *testing.T, body string) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a part of a tool's answer that is passed on as the whole answer.
func TestToolAnswerIsWhole(t *testing.T) {
	tests := map[string]struct {
		bytes int
		whole bool
	}{"empty": {0, true}, "short": {2, true}, "longest": {maxAnswerBytes, true}, "too long": {maxAnswerBytes + 1, false}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			answer, err := NewHTTP("tool", serveUntilClose(t, strings.Repeat("x", tt.bytes)), NewMemory(0)).Call(t.Context(), ToolRequest{Request: "r", Operation: "o"})
			var de *Error
			if (err == nil) != tt.whole || err == nil && len(answer.Body) != tt.bytes || err != nil && (!errors.As(err, &de) || !de.Sent) {
				t.Errorf("%d of %d bytes, error %v", len(answer.Body), tt.bytes, err)
			}
		})
	}
}

// A streamed answer that ends with its connection is whole only with its end mark, wherever it was cut.
func TestModelAnswerIsWhole(t *testing.T) {
	const stream = `data: {"choices":[{"delta":{"content":"word"}}]}` + "\n\n" + `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
	last := strings.Index(stream, "[DONE]") + len("[DONE]")
	for n := range len(stream) + 1 {
		result, err := NewHTTP("model", serveUntilClose(t, stream[:n]), NewMemory(0)).Chat(t.Context(), ChatRequest{Request: "r"}, func(string) {})
		if (err == nil) != (n >= last) || err == nil && result.Text != "word" {
			t.Errorf("stream cut to %q: %q, %v", stream[:n], result.Text, err)
		}
	}
}
