package hgkey

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestAllows(t *testing.T) {
	const text = "a-key-of-some-length"
	tests := map[string]struct {
		header string
		want   bool
	}{
		"the key":         {"Bearer " + text, true},
		"none":            {"", false},
		"no scheme":       {text, false},
		"another scheme":  {"Basic " + text, false},
		"another key":     {"Bearer another", false},
		"a part":          {"Bearer " + text[:5], false},
		"more":            {"Bearer " + text + "x", false},
		"scheme and none": {"Bearer ", false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := NewKey(text).Allows(http.Header{"Authorization": {tc.header}})
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("allowed (-want +got):\n%s", diff)
			}
		})
	}
}
