package hgquarantine

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestTurns(t *testing.T) {
	const a, b = Holder(1), Holder(2)
	digest, another := KeyOf("digest"), KeyOf("other")
	enter := func(h Holder, at time.Duration) func(*Serializer) bool {
		return func(t *Serializer) bool { return t.Enter(digest, h, at) }
	}
	leave := func(h Holder, proven bool) func(*Serializer) bool {
		return func(t *Serializer) bool { t.Leave(digest, h, proven); return true }
	}
	other := func(t *Serializer) bool { return t.Enter(another, b, 0) }
	refute := func(t *Serializer) bool { t.Refute(digest); return true }
	tick := func(at time.Duration) func(*Serializer) bool {
		return func(t *Serializer) bool { t.Tick(at); return len(t.running) > 0 }
	}
	tests := map[string]struct {
		steps []func(*Serializer) bool
		want  []bool
	}{
		"a copy waits":                     {[]func(*Serializer) bool{enter(a, 0), enter(b, time.Second), other}, []bool{true, false, true}},
		"the holder enters again":          {[]func(*Serializer) bool{enter(a, 0), enter(a, time.Second), enter(b, 2500*time.Millisecond)}, []bool{true, true, false}},
		"after the end":                    {[]func(*Serializer) bool{enter(a, 0), leave(a, false), enter(b, 0), enter(a, 0)}, []bool{true, true, true, false}},
		"another's end":                    {[]func(*Serializer) bool{enter(a, 0), leave(b, false), enter(b, 0)}, []bool{true, true, false}},
		"proven":                           {[]func(*Serializer) bool{enter(a, 0), leave(a, true), enter(a, 0), enter(b, 0)}, []bool{true, true, true, true}},
		"proven while others wait":         {[]func(*Serializer) bool{enter(a, 0), leave(b, true), enter(b, 0)}, []bool{true, true, true}},
		"refuted":                          {[]func(*Serializer) bool{leave(a, true), refute, enter(a, 0), enter(b, 0)}, []bool{true, true, true, false}},
		"too long":                         {[]func(*Serializer) bool{enter(a, 0), enter(b, exclusiveFor)}, []bool{true, true}},
		"forgotten when it keeps none out": {[]func(*Serializer) bool{enter(a, 0), tick(exclusiveFor - 1), tick(exclusiveFor)}, []bool{true, true, false}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			turns := NewSerializer()
			var got []bool
			for _, step := range tc.steps {
				got = append(got, step(turns))
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("steps (-want +got):\n%s", diff)
			}
		})
	}
}

// TestProvenIsBounded guards against unbounded memory for proven requests: with more of them than two generations hold,
// only the latest stay.
func TestProvenIsBounded(t *testing.T) {
	turns := NewSerializer()
	for i := range 5 * maxProven {
		turns.Leave(Key(i), Holder(0), true)
	}
	if n := len(turns.proven) + len(turns.older); n > 2*maxProven {
		t.Errorf("%d requests are remembered", n)
	}
	if !turns.Proven(Key(4*maxProven+1)) || turns.Proven(Key(0)) {
		t.Error("the last requests are not remembered, or the first still is")
	}
}
