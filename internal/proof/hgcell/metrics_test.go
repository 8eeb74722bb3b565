package hgcell

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

// TestDocumentedMetricsExist checks that the nodes serve each metric that docs/OPERATIONS.md names. hyssopgrade_retries is exempt: no
// call is retried here, so it isn't served.
func TestDocumentedMetricsExist(t *testing.T) {
	c := startCell(t)
	body := `{"model":"clerk-7b","messages":[{"role":"user","content":"hi"}],"max_tokens":8}`
	for _, model := range []string{"clerk-7b", "nothing"} {
		w, err := http.Post("http://"+c.Addresses()[0]+"/v1/chat/completions", "application/json", strings.NewReader(strings.Replace(body, "clerk-7b", model, 1)))
		if err != nil {
			t.Fatal(err)
		}
		w.Body.Close()
	}
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(1500 * time.Millisecond)
	served := ""
	for _, address := range c.Addresses() {
		w, err := http.Get("http://" + address + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		data, _ := io.ReadAll(w.Body)
		w.Body.Close()
		served += string(data)
	}
	for _, name := range regexp.MustCompile("`hyssopgrade_[a-z_]+`").FindAllString(string(page), -1) {
		name = strings.Trim(name, "`")
		if !strings.Contains(served, "\n"+name) && name != "hyssopgrade_retries" {
			t.Errorf("no node serves %s", name)
		}
	}
}
