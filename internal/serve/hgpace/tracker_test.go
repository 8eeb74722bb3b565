package hgpace_test

import (
	"testing"
	"time"

	"hyssopgrade/internal/serve/hgpace"
)

// Guards against a verdict that ends while a replica still hangs, because all its probes run out of time before the service's threshold.
func TestLateProbesKeepVerdict(t *testing.T) {
	const ms = time.Millisecond
	tr := hgpace.NewTracker()
	tr.SetSite("v", "d", []string{"v"}, []string{"v"}, []string{"d"}, 0)
	var replicas []*hgpace.Replica
	for _, id := range []string{"hung", "a", "b"} {
		r := tr.Add(id, "1", "tools")
		r.ObserveSlowness(100, 0)
		replicas = append(replicas, r)
	}
	now := time.Duration(0)
	answer := func(r *hgpace.Replica) {
		q := r.Begin(now - 300*ms)
		q.Answered(now)
		r.RecordTook(now, 300*ms)
	}
	for range 30 {
		now += 100 * ms
		for _, r := range replicas {
			answer(r)
		}
	}
	hung := replicas[0]
	var open []*hgpace.Request
	for range 3 {
		open = append(open, hung.Begin(now))
	}
	step := func(d time.Duration) {
		for end := now + d; now < end; now += 50 * ms {
			answer(replicas[1])
			answer(replicas[2])
			tr.Review(now)
		}
	}
	step(4 * time.Second)
	if !hung.IsSuspected() {
		t.Fatal("not suspected after 4 s of silence")
	}
	for _, q := range open {
		q.Ended(now)
	}
	for range 8 {
		probe := hung.Begin(now)
		step(hung.Probe(now))
		probe.Late(now)
		step(300 * ms)
		if !hung.IsSuspected() {
			t.Fatalf("no longer suspected after %v without an answer", now)
		}
	}
}
