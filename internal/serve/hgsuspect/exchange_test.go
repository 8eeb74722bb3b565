package hgsuspect_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/serve/hgsuspect"
)

// exchange sends an offer from one list to another and the answer back; each of the two messages may be lost.
func exchange(from, to *hgsuspect.List, fromName, toName string, lostOffer, lostAnswer bool) {
	offer := from.Offer(toName)
	if lostOffer {
		return
	}
	if answer := to.HandleOffer(fromName, offer); !lostAnswer {
		from.HandleAnswer(toName, answer)
	}
}

// refusedBy returns for each list whether it refuses a request.
func refusedBy(lists []*hgsuspect.List, digest uint64) (all []bool) {
	for _, l := range lists {
		_, refused := l.Refused(request(digest))
		all = append(all, refused)
	}
	return all
}

// Lost messages or a restarted list must not leave lists with different records: after rounds of exchanges between all pairs
// without loss, all lists refuse the same requests.
func TestExchangeMakesListsAgree(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		c := &clock{now: time.Minute}
		lists := make([]*hgsuspect.List, len(names))
		for i := range lists {
			lists[i] = hgsuspect.NewList(c, hglog.Discard())
		}
		round := func(loss float64) {
			for i := range lists {
				for k := range lists {
					if i != k {
						exchange(lists[i], lists[k], names[i], names[k], r.Float64() < loss, r.Float64() < loss)
					}
				}
			}
		}
		crashes := map[uint64]int{}
		for range 40 {
			digest := uint64(r.IntN(4))
			lists[r.IntN(2)].RecordCrash(request(digest))
			crashes[digest]++
			c.now += 10 * time.Millisecond
			if r.IntN(3) == 0 {
				round(0.7)
			}
			if r.IntN(10) == 0 {
				lists[2] = hgsuspect.NewList(c, hglog.Discard())
			}
		}
		round(0)
		round(0)
		for digest, n := range crashes {
			want := n >= 3
			if diff := cmp.Diff([]bool{want, want, want, want}, refusedBy(lists, digest)); diff != "" {
				t.Fatalf("seed %d, request %d after %d crashes (-want +got):\n%s", seed, digest, n, diff)
			}
		}
		for i := range lists {
			if offer := lists[i].Offer("new"); len(offer.Records) > 0 && i > 1 {
				t.Errorf("seed %d: the offer of list %d has %d changes made at other lists", seed, i, len(offer.Records))
			}
			answer := lists[i].HandleOffer("agrees", lists[(i+1)%4].Offer("agrees"))
			if len(answer.Records) > 0 {
				t.Errorf("seed %d: the answer between equal lists has %d records", seed, len(answer.Records))
			}
		}
	}
}

// A completion at one VM must clear the request at all VMs; only crashes after it count from then on.
func TestProofClearsEverywhere(t *testing.T) {
	c := &clock{now: time.Minute}
	a, b := hgsuspect.NewList(c, hglog.Discard()), hgsuspect.NewList(c, hglog.Discard())
	a.RecordCrash(request(1))
	b.RecordCrash(request(1))
	exchange(a, b, "a", "b", false, false)
	c.now += time.Second
	a.RecordCompletion(request(1))
	exchange(b, a, "b", "a", false, false)
	c.now += 3 * time.Second
	for range 2 {
		b.RecordCrash(request(1))
	}
	if _, refused := b.Refused(request(1)); refused {
		t.Error("refused after two crashes since the proof")
	}
	b.RecordCrash(request(1))
	if _, refused := b.Refused(request(1)); !refused {
		t.Error("not refused after three crashes since the proof")
	}
}

// Changes beyond the limit of one message must follow with the next messages.
func TestExchangeInParts(t *testing.T) {
	c := &clock{now: time.Minute}
	a, b := hgsuspect.NewList(c, hglog.Discard()), hgsuspect.NewList(c, hglog.Discard())
	const requests = 900
	for digest := range uint64(requests) {
		for range 3 {
			a.RecordCrash(request(digest))
		}
	}
	for range 10 {
		exchange(b, a, "b", "a", false, false)
	}
	for digest := range uint64(requests) {
		if _, refused := b.Refused(request(digest)); !refused {
			t.Fatalf("request %d is not known", digest)
		}
	}
}

// After the loss of all lists, an empty list must restore from the stored rows every record that was written to them.
func TestRowsOutliveAllLists(t *testing.T) {
	c := &clock{now: time.Minute}
	before := hgsuspect.NewList(c, hglog.Discard())
	before.RecordCrash(request(1))
	if records := before.Unsaved(false, 10); len(records) > 0 {
		t.Errorf("a single crash is to be saved: %v", records)
	}
	if records := before.Unsaved(true, 10); len(records) != 2 {
		t.Errorf("%d records of an isolated list, want those of content and caller", len(records))
	}
	before.RecordCrash(request(1))
	before.RecordCrash(request(1))
	records := before.Unsaved(false, 10)
	before.Saved(records)
	if again := before.Unsaved(false, 10); len(again) > 0 {
		t.Errorf("saved again: %v", again)
	}
	now := time.UnixMilli(1_700_000_000_000)
	after := hgsuspect.NewList(c, hglog.Discard())
	var loaded []hgsuspect.Record
	for _, r := range records {
		loaded = append(loaded, hgsuspect.NewRow(r, now).Record(now.Add(time.Second)))
	}
	if diff := cmp.Diff(records, loaded, cmpopts.IgnoreFields(hgsuspect.Crash{}, "Age"), cmpopts.IgnoreFields(hgsuspect.Proof{}, "Age")); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
	after.Load(loaded)
	if left, refused := after.Refused(request(1)); !refused || left != 59*time.Second {
		t.Errorf("refused %v for %v", refused, left)
	}
}

// Guards against suspects that are lost with all lists because only the list that recorded them would store them.
func TestSuspectIsSavedWithoutItsRecorder(t *testing.T) {
	// hearsayTime is the time after which a list that heard of a suspect stores it.
	const hearsayTime = 2 * time.Second
	c := &clock{now: time.Minute}
	recorder, hearer, other := hgsuspect.NewList(c, hglog.Discard()), hgsuspect.NewList(c, hglog.Discard()), hgsuspect.NewList(c, hglog.Discard())
	for range 3 {
		recorder.RecordCrash(request(1))
	}
	exchange(recorder, hearer, "recorder", "hearer", false, false)
	exchange(recorder, other, "recorder", "other", false, false)
	if records := hearer.Unsaved(false, 10); len(records) > 0 {
		t.Errorf("saved at once, beside the list that recorded it: %v", records)
	}
	c.now += hearsayTime
	records := hearer.Unsaved(false, 10)
	if len(records) != 2 {
		t.Fatalf("%d records to save, want those of content and caller", len(records))
	}
	hearer.Saved(records)
	other.Load(records)
	for name, l := range map[string]*hgsuspect.List{"hearer": hearer, "other": other} {
		if again := l.Unsaved(false, 10); len(again) > 0 {
			t.Errorf("%s saves again: %v", name, again)
		}
	}
}

// BenchmarkExchange measures an offer and its answer between lists of different sizes, with and without new changes.
func BenchmarkExchange(b *testing.B) {
	for name, changed := range map[string]int{"agree": 0, "10 changed": 10} {
		for _, requests := range []uint64{0, 1000, 5000} {
			b.Run(fmt.Sprintf("%s of %d", name, requests), func(b *testing.B) {
				c := &clock{now: time.Minute}
				from, to := hgsuspect.NewList(c, hglog.Discard()), hgsuspect.NewList(c, hglog.Discard())
				for n := range requests {
					from.RecordCrash(request(n))
				}
				for range 1 + 2*requests/100 {
					exchange(from, to, "from", "to", false, false)
					exchange(to, from, "to", "from", false, false)
				}
				b.ResetTimer()
				for range b.N {
					for n := range changed {
						from.RecordCrash(request(uint64(n)))
					}
					exchange(from, to, "from", "to", false, false)
				}
			})
		}
	}
}
