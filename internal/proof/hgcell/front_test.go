package hgcell

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgshard"
	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/proof/hgstandin"
	"hyssopgrade/internal/serve/hgcaller"
	"hyssopgrade/internal/serve/hgendpoint"
)

// startCell starts a cell of two nodes with the default settings.
func startCell(t *testing.T) *Cell {
	t.Helper()
	return startCellWith(t, nil)
}

// startCellWith starts a cell of two nodes whose settings are changed by edit, unless it is nil.
func startCellWith(t *testing.T, edit func(cfg *hgconfig.Config)) *Cell {
	t.Helper()
	opts := DemoOptions(hglog.Discard())
	opts.Nodes, opts.EditConfig = 2, edit
	c, err := NewCell(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.WaitReady(); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestOfficialClient calls a node with the official OpenAI client, which knows only the base URL, without and with streaming.
func TestOfficialClient(t *testing.T) {
	c := startCell(t)
	client := openai.NewClient(option.WithBaseURL("http://"+c.Addresses()[0]+"/v1"), option.WithAPIKey("none"),
		option.WithHeader("Hg-Program", "official"))
	params := func(text string) openai.ChatCompletionNewParams {
		return openai.ChatCompletionNewParams{
			Model: "clerk-7b", MaxTokens: openai.Int(16), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		}
	}
	history := []hgcall.Message{{Role: "user", Content: "first"}}
	got, err := client.Chat.Completions.New(t.Context(), params("first"), option.WithHeader("Hg-Seq", "1"), option.WithHeader("Hg-Request", "r1"))
	if err != nil {
		t.Fatal(err)
	}
	first := hgstandin.Answer(history, 16)
	if diff := cmp.Diff(first, got.Choices[0].Message.Content); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	history = append(history, hgcall.Message{Role: "assistant", Content: first}, hgcall.Message{Role: "user", Content: "second"})
	stream := client.Chat.Completions.NewStreaming(t.Context(), params("second"), option.WithHeader("Hg-Seq", "2"), option.WithHeader("Hg-Request", "r2"))
	text := ""
	for stream.Next() {
		text += stream.Current().Choices[0].Delta.Content
	}
	if stream.Err() != nil {
		t.Fatal(stream.Err())
	}
	if diff := cmp.Diff(hgstandin.Answer(history, 16), text); diff != "" {
		t.Errorf("streamed answer (-want +got):\n%s", diff)
	}
}

// TestBadInput sends invalid requests. Each has to be refused with the right status and an error that names the field, and none may
// reach an endpoint.
func TestBadInput(t *testing.T) {
	c := startCell(t)
	good := `{"model":"clerk-7b","messages":[{"role":"user","content":"hi"}]}`
	h := func(kv ...string) http.Header {
		header := http.Header{"Hg-Program": {"bad"}, "Hg-Seq": {"1"}, "Hg-Request": {"r"}}
		for i := 0; i < len(kv); i += 2 {
			header.Set(kv[i], kv[i+1])
		}
		return header
	}
	tests := map[string]struct {
		path, body string
		header     http.Header
		status     int
		want       string
	}{
		"malformed JSON":      {"/v1/chat/completions", `{"model":`, h(), 400, "body"},
		"wrong type":          {"/v1/chat/completions", `{"model":5,"messages":[]}`, h(), 422, "body.model"},
		"no messages":         {"/v1/chat/completions", `{"model":"clerk-7b","messages":[]}`, h(), 422, "body.messages"},
		"unknown model":       {"/v1/chat/completions", strings.Replace(good, "clerk-7b", "clerk-8b", 1), h(), 422, `"param":"target"`},
		"bad program":         {"/v1/chat/completions", good, h("Hg-Program", "a b"), 422, `"param":"program"`},
		"too deep":            {"/v1/chat/completions", good, h("Hg-Program", "a/b/c/d/e/f/g/h/i"), 422, `"param":"program"`},
		"seq out of range":    {"/v1/chat/completions", good, h("Hg-Seq", "99999999999"), 422, `"param":"seq"`},
		"seq is no number":    {"/v1/chat/completions", good, h("Hg-Seq", "x"), 422, "header.Hg-Seq"},
		"no request":          {"/v1/chat/completions", good, h("Hg-Request", ""), 422, `"param":"request"`},
		"another parent":      {"/v1/chat/completions", good, h("Hg-Program", "a/b", "Hg-Parent", "c"), 422, `"param":"Hg-Parent"`},
		"deadline":            {"/v1/chat/completions", good, h("Hg-Deadline-Ms", "-1"), 422, `"param":"Hg-Deadline-Ms"`},
		"oversized":           {"/v1/chat/completions", `{"model":"` + strings.Repeat("x", 5<<20) + `"}`, h(), 413, "too large"},
		"unknown service":     {"/v1/tools/nothing/do", "{}", h(), 422, `"param":"target"`},
		"end of no program":   {"/v1/programs/end", `{"program":"never"}`, h(), 422, `"param":"program"`},
		"unknown preset":      {"/v1/presets/use", `{"name":"calm","by":"me"}`, h(), 422, `"param":"name"`},
		"preset out of range": {"/v1/presets", `{"name":"x"}`, h(), 422, "body"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+c.Addresses()[0]+tc.path, strings.NewReader(tc.body))
			if err != nil {
				t.Fatal(err)
			}
			r.Header = tc.header
			r.Header.Set("Content-Type", "application/json")
			w, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer w.Body.Close()
			data, _ := io.ReadAll(w.Body)
			if w.StatusCode != tc.status || !strings.Contains(string(data), tc.want) {
				t.Errorf("status %d, want %d; body %.300s does not contain %q", w.StatusCode, tc.status, data, tc.want)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	if n := len(c.Executions()); n != 0 {
		t.Errorf("%d invalid requests reached an endpoint", n)
	}
}

// TestAnothersIdentifiers sends other content under a request identifier that was used before, and under a sequence number that was
// used before. Both are refused, and a repeat of the same request isn't run again.
func TestAnothersIdentifiers(t *testing.T) {
	c := startCell(t)
	post := func(request, text string) (status int) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+c.Addresses()[0]+"/v1/chat/completions",
			strings.NewReader(`{"model":"clerk-7b","messages":[{"role":"user","content":"`+text+`"}]}`))
		if err != nil {
			t.Fatal(err)
		}
		r.Header = http.Header{"Hg-Program": {"own"}, "Hg-Seq": {"1"}, "Hg-Request": {request}, "Content-Type": {"application/json"}}
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer w.Body.Close()
		return w.StatusCode
	}
	got := []int{post("r", "mine"), post("r", "mine"), post("r", "not mine"), post("s", "not mine")}
	if diff := cmp.Diff([]int{200, 200, 422, 422}, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	if n := len(c.Executions()); n != 1 {
		t.Errorf("%d calls ran, want 1", n)
	}
}

// TestForgedFencingNumbers sends calls in which the caller has set the headers that nodes send to endpoints. The endpoints have to get
// the values of the shard's owner: with a forged fencing number, a caller could make endpoints refuse a whole shard, and with a forged
// identifier act for another program.
func TestForgedFencingNumbers(t *testing.T) {
	c := startCell(t)
	for i, forged := range []string{"0:999999999", "1:1", "garbage", ""} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+c.Addresses()[0]+"/v1/tools/payment/charge", strings.NewReader(`{}`))
		if err != nil {
			t.Fatal(err)
		}
		program := fmt.Sprintf("forged-%d", i)
		r.Header = http.Header{"Hg-Program": {program}, "Hg-Seq": {"1"}, "Hg-Request": {program}, "Content-Type": {"application/json"}}
		r.Header.Set(hgendpoint.HeaderFence, forged)
		r.Header.Set(hgendpoint.HeaderRequest, "another")
		r.Header.Set(hgendpoint.HeaderProgram, "another")
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		w.Body.Close()
		if diff := cmp.Diff(http.StatusOK, w.StatusCode); diff != "" {
			t.Errorf("status (-want +got):\n%s", diff)
		}
	}
	type sent struct{ Request, Program, Fence string }
	var want, got []sent
	shards := uint32(c.Configs[0].Node.Shards)
	for i := range 4 {
		program := fmt.Sprintf("forged-%d", i)
		want = append(want, sent{program, program, hgendpoint.Fence{Shard: hgshard.Of(program, shards), Epoch: 1}.String()})
	}
	for _, x := range c.Executions() {
		got = append(got, sent{x.Request, x.Program, x.Fence})
	}
	slices.SortFunc(got, func(a, b sent) int { return strings.Compare(a.Request, b.Request) })
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("headers that the endpoints got (-want +got):\n%s", diff)
	}
}

// TestOperatorsKey sends a request to each route with the operators' key, with a wrong key and without a key. Only the operators'
// routes may refuse the latter two.
func TestOperatorsKey(t *testing.T) {
	const key = "key-of-the-operators"
	t.Setenv("HYSSOPGRADE_TEST_OPERATORS", key)
	c := startCellWith(t, func(cfg *hgconfig.Config) { cfg.Node.OperatorKeyEnv = "HYSSOPGRADE_TEST_OPERATORS" })
	node := c.Addresses()[0]
	if _, err := hgcaller.NewClient(node).Call(t.Context(), hgcall.Call{
		Program: "p", Seq: 1, Request: "r", Kind: hgcall.Model, Target: "clerk-7b", MaxTokens: 4, Deadline: 10 * time.Second,
		Messages: []hgcall.Message{{Role: "user", Content: "hi"}},
	}); err != nil {
		t.Fatal(err)
	}
	use := `{"name":"peak","by":"someone"}`
	tests := map[string]struct {
		method, path, body string
		operatorsOnly      bool
	}{
		"status":         {"GET", "/v1/status", "", true},
		"presets":        {"GET", "/v1/presets", "", true},
		"use preset":     {"POST", "/v1/presets/use", use, true},
		"program status": {"GET", "/v1/programs/status?program=p", "", true},
		"history":        {"GET", "/v1/programs/history?program=p", "", true},
		"locate":         {"GET", "/v1/locate", "", false},
		"end":            {"POST", "/v1/programs/end", `{"program":"p"}`, false},
		"health":         {"GET", "/healthz", "", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := map[string]int{}
			for kind, authorization := range map[string]string{"none": "", "another": "Bearer another", "key": "Bearer " + key} {
				r, err := http.NewRequestWithContext(t.Context(), tc.method, "http://"+node+tc.path, strings.NewReader(tc.body))
				if err != nil {
					t.Fatal(err)
				}
				r.Header.Set("Content-Type", "application/json")
				r.Header.Set("Authorization", authorization)
				w, err := http.DefaultClient.Do(r)
				if err != nil {
					t.Fatal(err)
				}
				w.Body.Close()
				got[kind] = w.StatusCode
			}
			without := http.StatusOK
			if tc.operatorsOnly {
				without = http.StatusUnauthorized
			}
			if diff := cmp.Diff(map[string]int{"none": without, "another": without, "key": http.StatusOK}, got); diff != "" {
				t.Errorf("statuses (-want +got):\n%s", diff)
			}
		})
	}
}
