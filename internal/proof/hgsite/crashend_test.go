package hgsite_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

// sharedInput is the new input that the turns of several programs have in common.
const sharedInput = "is it valid?"

// beginProgram runs the first turn of a program and returns its identifier.
func beginProgram(t *testing.T, s *hgsite.Site, program string) (turn string) {
	t.Helper()
	q := hgsite.Turn(hgsite.ThreadPath, program, "", "question of "+program)
	if reply := call(t, s, 0, q); reply.Status != http.StatusOK {
		t.Fatalf("first turn of %s: status %d: %s", program, reply.Status, reply.Body)
	}
	return q.ID
}

// One end of a replica under equal requests must not make all VMs refuse their input for every program.
func TestOneEndUnderEqualRequestsBarsNoOtherProgram(t *testing.T) {
	s := newSite(t, 3)
	const others, turns = 6, 6
	var begun []string
	for i := range others {
		begun = append(begun, beginProgram(t, s, fmt.Sprintf("other-%d", i)))
	}
	first := beginProgram(t, s, "crashing")
	for _, r := range s.Replicas {
		r.SetFault(hgsite.Fault{Remaining: 1000, DropConnection: true, DropAfter: 200 * time.Millisecond})
	}
	var wg sync.WaitGroup
	for i := range turns {
		wg.Go(func() { call(t, s, i%3, hgsite.Turn(hgsite.ThreadPath, "crashing", first, sharedInput)) })
	}
	wg.Wait()
	ended := map[string]bool{}
	for _, r := range s.Runs(hgsite.Engines) {
		if r.Program == "crashing" && r.Attempt != first {
			ended[r.Replica] = true
		}
	}
	for id, r := range s.Replicas {
		r.SetFault(hgsite.Fault{})
		if !ended[id] {
			continue
		}
		if err := s.RegisterRestart(id); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(time.Second)
	for i, previous := range begun {
		reply := call(t, s, i%3, hgsite.Turn(hgsite.ThreadPath, fmt.Sprintf("other-%d", i), previous, sharedInput))
		if reply.Status != http.StatusOK {
			t.Errorf("other program %d after %d ends: status %d: %s", i, len(ended), reply.Status, reply.Body)
		}
	}
}

// A turn that crashes replicas must not make VMs refuse turns of other programs with the same new input: their prompts differ by
// the turns before it.
func TestCrashingTurnBarsNoTurnWithOtherHistory(t *testing.T) {
	s := newSite(t, 3)
	const others = 6
	var begun []string
	for i := range others {
		begun = append(begun, beginProgram(t, s, fmt.Sprintf("other-%d", i)))
	}
	first := beginProgram(t, s, "crashing")
	crashOn(s, func(r hgsite.Run) bool { return r.Program == "crashing" })
	for i := range 12 {
		call(t, s, i%3, hgsite.Turn(hgsite.ThreadPath, "crashing", first, sharedInput))
		time.Sleep(retryPause)
	}
	crashes := 0
	for _, r := range s.Runs(hgsite.Engines) {
		if r.Program == "crashing" && r.Attempt != first {
			crashes++
		}
	}
	if crashes < maxCrashes || crashes > maxCrashes+maxRetries {
		t.Errorf("the crashing turn ran %d times", crashes)
	}
	for i, previous := range begun {
		reply := call(t, s, i%3, hgsite.Turn(hgsite.ThreadPath, fmt.Sprintf("other-%d", i), previous, sharedInput))
		if reply.Status != http.StatusOK {
			t.Errorf("other program %d: status %d: %s", i, reply.Status, reply.Body)
		}
	}
}

// A request that ran on each replica that another one ended must be served once it runs without that one.
func TestBystanderOfCrashingRequestIsServed(t *testing.T) {
	s := newSite(t, 3)
	if err := s.Unregister("tool-1"); err != nil {
		t.Fatal(err)
	}
	tool := s.Replicas["tool-0"]
	bystander := crashingCharge
	bystander.Body, bystander.Program = "harmless", "harmless"
	for range maxCrashes {
		if err := s.RegisterRestart("tool-0"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		tool.SetFault(hgsite.Fault{Remaining: 1000, DropConnection: true, DropAfter: 200 * time.Millisecond})
		var wg sync.WaitGroup
		wg.Go(func() { call(t, s, 0, bystander) })
		wg.Go(func() { call(t, s, 1, crashingCharge) })
		wg.Wait()
	}
	if n := len(s.Runs(hgsite.Tools)); n != 2*maxCrashes {
		t.Fatalf("%d runs at %d ends of the replica", n, maxCrashes)
	}
	crashOn(s, func(r hgsite.Run) bool { return r.Program != bystander.Program })
	if err := s.RegisterRestart("tool-0"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	if reply := call(t, s, 2, bystander); reply.Status != http.StatusOK {
		t.Errorf("bystander: status %d: %s", reply.Status, reply.Body)
	}
	if status := sendRepeatedly(t, s, 6, crashingCharge); status != http.StatusServiceUnavailable {
		t.Errorf("crashing request, last send: status %d", status)
	}
	if n := len(s.Runs(hgsite.Tools)) - maxCrashes - 1; n > maxCrashes+maxRetries {
		t.Errorf("the crashing request ran %d times", n)
	}
}
