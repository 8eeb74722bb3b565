package hgbound

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestBroken(t *testing.T) {
	low, high := NewBound("low", 1, 1, 5), NewBound("high", 5, 1, 5)
	under, over := NewBound("under", 0, 1, 5), NewBound("over", 6, 1, 5)
	tests := map[string]struct {
		bounds []Bound
		want   string
	}{
		"none":          {nil, ""},
		"both ends":     {[]Bound{low, high}, ""},
		"under":         {[]Bound{low, under, over}, "under"},
		"over":          {[]Bound{high, over, under}, "over"},
		"an empty span": {[]Bound{NewBound("empty", 3, 4, 2)}, "empty"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := FirstOutOfRange(tc.bounds)
			if diff := cmp.Diff([]any{tc.want, tc.want != ""}, []any{got.Key, ok}); diff != "" {
				t.Errorf("broken (-want +got):\n%s", diff)
			}
		})
	}
}
