package hgfresh_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopgrade/internal/state/hgfresh"
)

// vm is an entry VM of a random history. Its clock runs at its own rate from its own start, and goes on while the VM is frozen.
type vm struct {
	evidence *hgfresh.Evidence
	rate     float64
	start    time.Duration
	frozen   bool
	applied  uint64
	polls    []poll
	beats    []beat
}

// poll is a call to the store: its answer is fixed once the store has made it, and arrives later.
type poll struct {
	sent    time.Duration
	version uint64
}

// beat is a heartbeat, with the claim of the reply once the peer has made it.
type beat struct {
	sent  time.Duration
	to    *vm
	claim *hgfresh.Claim
}

// Guards against a key that is served later than the bound after the store acknowledged its removal, by any VM, over random
// histories of cuts, delays, freezes, restarts, copies of peers, rows that cannot be decoded and clocks at different rates.
func TestNoPermissionBeyondBound(t *testing.T) {
	served, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var now time.Duration
		// acknowledged holds when the store acknowledged each version, from 1 on.
		acknowledged := []time.Duration{0, 0}
		newest := func() uint64 { return uint64(len(acknowledged) - 1) }
		vms := make([]*vm, rapid.IntRange(1, 4).Draw(t, "vms"))
		restart := func(v *vm) {
			*v = vm{rate: v.rate, start: v.start}
			v.evidence = hgfresh.NewEvidence(func() time.Duration { return time.Duration(float64(now-v.start) * v.rate) }, revoke)
		}
		apply := func(v *vm, version uint64) {
			v.applied = max(v.applied, version)
			v.evidence.Applied(version)
		}
		for i := range vms {
			vms[i] = &vm{rate: 1 + float64(rapid.IntRange(-3, 3).Draw(t, "drift"))/1000, start: -time.Duration(rapid.IntRange(1, 1000).Draw(t, "start")) * second}
			restart(vms[i])
		}
		for range rapid.IntRange(100, 600).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			v, peer := rapid.SampledFrom(vms).Draw(t, "vm"), rapid.SampledFrom(vms).Draw(t, "peer")
			action := rapid.SampledFrom([]string{"write", "poll", "poll", "made", "made", "answer", "answer", "undecodable", "beat", "beat", "reply", "reply", "arrive", "arrive", "copy", "freeze", "restart"}).Draw(t, "action")
			if v.frozen {
				v.frozen = action != "freeze"
				continue
			}
			switch action {
			case "write":
				if newest() < 40 {
					acknowledged = append(acknowledged, now)
				}
			case "poll":
				v.polls = append(v.polls, poll{sent: v.evidence.Now()})
			case "made":
				for i, p := range v.polls {
					if p.version == 0 {
						v.polls[i].version = newest()
					}
				}
			case "answer", "undecodable":
				if n := len(v.polls); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "poll")
					p := v.polls[i]
					v.polls = append(v.polls[:i], v.polls[i+1:]...)
					if p.version == 0 {
						p.version = newest()
					}
					if action == "answer" {
						apply(v, p.version)
					}
					v.evidence.HandleAnswer(p.version, p.sent)
				}
			case "beat":
				if peer != v {
					v.beats = append(v.beats, beat{sent: v.evidence.Now(), to: peer})
				}
			case "reply":
				for i, b := range v.beats {
					if b.claim == nil && !b.to.frozen {
						c := b.to.evidence.Claim()
						v.beats[i].claim = &c
					}
				}
			case "arrive":
				if n := len(v.beats); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "beat")
					if b := v.beats[i]; b.claim != nil {
						v.beats = append(v.beats[:i], v.beats[i+1:]...)
						v.evidence.HandleReply(*b.claim, b.sent)
					}
				}
			case "copy":
				apply(v, peer.applied)
			case "freeze":
				v.frozen = true
			case "restart":
				restart(v)
			}
			for i, v := range vms {
				switch {
				case v.frozen:
				case !v.evidence.Fresh():
					refused++
				case v.applied < newest() && now-acknowledged[v.applied+1] > revoke:
					t.Fatalf("VM %d serves version %d, %v after version %d", i, v.applied, now-acknowledged[v.applied+1], v.applied+1)
				default:
					served++
				}
			}
		}
	})
	t.Logf("%d looks found a VM that may serve, %d one that may not", served, refused)
	if served == 0 || refused == 0 {
		t.Errorf("the histories do not cover both: %d looks found a VM that may serve, %d one that may not", served, refused)
	}
}
