package hghostile_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

// Guards against bounds that a single request meets: the smallest VM serves a body of the largest legal size while nothing else goes on,
// declared or in chunks, several times.
func TestLargestBodyOnSmallestVM(t *testing.T) {
	const smallestMB, largest = 112, 4 << 20
	v := startVMOf(t, smallestMB)
	d := hgsite.Desired(2)
	d.Limits.MaxBodyBytes = largest
	if err := v.site.SetDesired(d); err != nil {
		t.Fatal(err)
	}
	v.checkAnswers(t)
	for i := range 8 {
		q := hgsite.Turn(hgsite.CheckPath, "large", "", "")
		q.Body = strings.Repeat("x", largest)
		q.SendOnce = i%2 == 1
		reply, err := v.site.Call(t.Context(), 0, q)
		for end := time.Now().Add(answerLimit); err == nil && reply.Status == http.StatusRequestEntityTooLarge && time.Now().Before(end); {
			reply, err = v.site.Call(t.Context(), 0, q) // the new desired state is not in force yet
		}
		if err != nil || reply.Status != http.StatusOK {
			t.Fatalf("request %d: status %d, %v: %.100s", i, reply.Status, err, reply.Body)
		}
	}
}
