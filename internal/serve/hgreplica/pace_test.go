package hgreplica_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgpace"
	"hyssopgrade/internal/serve/hgreplica"
)

const (
	step   = 5 * time.Millisecond
	second = time.Second
	never  = time.Hour
	// refused is a time to an answer that says that the request was not run.
	refused = time.Millisecond
)

// load simulates entry VMs in front of the replicas of one service.
type load struct {
	t      *testing.T
	clock  *clock
	random *rand.Rand
	vms    []*hgreplica.Set
	// took returns the time to the answer of a request that a VM sends to a replica now, since the start; never if it hangs, and
	// refused if it refuses.
	took func(vm int, replica string, at time.Duration) time.Duration
	// perStep is the number of requests per step, one in four of them repeatable.
	perStep, replicas int
	start             time.Duration
	open              []sent
	// toSuspects counts the requests to replicas that the VM suspects: calls that cannot be repeated and probes.
	calls, probes int
	// sentTo counts the requests to each replica, and mostProbes the most probes that were open at once at one replica.
	sentTo     map[string]int
	mostProbes int
	// answers counts the good answers of each replica.
	answers map[string]int
	entries []hgreplica.Registration
	// each is called after each step, if it is set.
	each func()
}

type sent struct {
	lease   *hgreplica.Lease
	began   time.Duration
	ends    time.Duration
	replica string
	probe   bool
}

func newLoad(t *testing.T, vms, replicas, perStep int, slowness bool) *load {
	l := &load{t: t, clock: &clock{now: time.Minute}, start: time.Minute, random: rand.New(rand.NewPCG(1, 2)), replicas: replicas, perStep: perStep, sentTo: map[string]int{}, answers: map[string]int{}}
	var entries []hgreplica.Registration
	for i := range replicas {
		entries = append(entries, entry(fmt.Sprintf("r%02d", i), "north"))
	}
	l.entries = entries
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprintf("vm%02d", i))
	}
	for _, name := range names {
		s := hgreplica.NewSet(l.clock, "north", func(time.Duration) *http.Client { return &http.Client{} })
		s.Apply(byID(entries), 0)
		s.SetSite(name, names, names, []string{"north"}, 0)
		l.vms = append(l.vms, s)
		// A distribution of answers from 20 to 60 ms.
		for i := range 100 {
			lease, _ := s.Pick(hgreplica.Want{Service: "s"})
			a := hgattempt.Answer{HasLoad: true, Slots: 4}
			if slowness {
				a.Slowness = 100
			}
			lease.RecordAnswer(a, time.Duration(20+i%41)*time.Millisecond)
			lease.Release()
		}
	}
	l.took = func(int, string, time.Duration) time.Duration {
		return time.Duration(20+l.random.IntN(41)) * time.Millisecond
	}
	return l
}

// run simulates until the given time since the start.
func (l *load) run(until time.Duration) {
	for l.clock.now-l.start < until {
		l.clock.now += step
		l.finish()
		for range l.perStep {
			l.send(l.random.IntN(len(l.vms)), nil)
		}
		for _, s := range l.vms {
			s.Review()
		}
		if (l.clock.now-l.start)%(300*time.Millisecond) == 0 {
			l.gossip()
		}
		if l.each != nil {
			l.each()
		}
	}
}

func (l *load) gossip() {
	var all []hgpace.News
	for _, s := range l.vms {
		all = append(all, s.News())
	}
	for i, s := range l.vms {
		inFlight := map[string]int{}
		for j, other := range l.vms {
			if j == i {
				continue
			}
			for id, n := range other.InFlight() {
				inFlight[id] += n
			}
		}
		s.SetPeerInFlight(inFlight)
		merged := hgpace.Merge(all...).From(func(vm string) bool { return vm != fmt.Sprintf("vm%02d", i) })
		s.SetNews(merged.After(step))
	}
}

func (l *load) send(vm int, exclude map[string]bool) {
	lease, ok := l.vms[vm].Pick(hgreplica.Want{Service: "s", Exclude: exclude, Repeatable: l.random.IntN(4) == 0, Left: 5 * second})
	if !ok {
		l.t.Fatal("no replica for a request of a plain service")
	}
	lease.MarkSent()
	l.sentTo[lease.ID]++
	q := sent{lease: lease, began: l.clock.now, replica: lease.ID, probe: lease.Why.Probe > 0}
	q.ends = l.clock.now + l.took(vm, lease.ID, l.clock.now-l.start)
	if q.probe {
		l.probes++
		q.ends = min(q.ends, l.clock.now+lease.Why.Probe)
	} else if l.suspected(vm, lease.ID) {
		l.calls++
	}
	l.open = append(l.open, q)
	open := 0
	for _, o := range l.open {
		if o.probe && o.replica == lease.ID {
			open++
		}
	}
	l.mostProbes = max(l.mostProbes, open)
}

func (l *load) finish() {
	var open []sent
	for _, q := range l.open {
		switch late := q.probe && q.ends == q.began+q.lease.Why.Probe || q.ends-q.began >= 4*second; {
		case q.ends > l.clock.now && l.clock.now-q.began < 4*second:
			open = append(open, q)
			continue
		case q.ends-q.began == refused:
			q.lease.RecordAnswer(hgattempt.Answer{NotRun: true, HasLoad: true, Slots: 4}, refused)
		case !late:
			l.answers[q.replica]++
			q.lease.RecordAnswer(hgattempt.Answer{HasLoad: true, Slots: 4}, q.ends-q.began)
		}
		q.lease.Release()
	}
	l.open = open
}

func (l *load) suspected(vm int, id string) bool {
	for _, r := range l.vms[vm].Summaries() {
		if r.ID == id {
			return r.Suspected
		}
	}
	return false
}

// suspicions counts for each replica the VMs that suspect it.
func (l *load) suspicions() map[string]int {
	n := map[string]int{}
	for vm := range l.vms {
		for _, r := range l.vms[vm].Summaries() {
			if r.Suspected {
				n[r.ID]++
			}
		}
	}
	return n
}

// mostSuspected returns the most replicas that one VM suspects.
func (l *load) mostSuspected() (most int) {
	for _, s := range l.vms {
		n := 0
		for _, r := range s.Summaries() {
			if r.Suspected {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// hang makes replicas leave requests unanswered that they get from a time to another.
func (l *load) hang(from, to time.Duration, ids ...string) {
	usual := l.took
	l.took = func(vm int, replica string, at time.Duration) time.Duration {
		for _, id := range ids {
			if replica == id && at >= from && at < to {
				return never
			}
		}
		return usual(vm, replica, at)
	}
}

// Each call that cannot be repeated and goes to a hung replica costs a program. All VMs must stop sending them soon, send no more
// than one probe at a time, and use the replicas again once they answer.
func TestHungReplicas(t *testing.T) {
	l := newLoad(t, 35, 19, 3, true)
	l.hang(1*second, 7*second, "r03", "r11")
	l.run(2 * second)
	t.Logf("%d calls and probes to suspected replicas, %d requests to hung ones until then", l.calls+l.probes, len(l.open))
	if diff := cmp.Diff(map[string]int{"r03": 35, "r11": 35}, l.suspicions()); diff != "" {
		t.Errorf("VMs that suspect each replica one second after the hang (-want +got):\n%s", diff)
	}
	before := l.sentTo["r03"] + l.sentTo["r11"]
	l.probes = 0
	l.run(7 * second)
	if got := l.sentTo["r03"] + l.sentTo["r11"] - before; got != l.probes || got == 0 || got > 12 {
		t.Errorf("%d requests to hung replicas, %d of them probes; want probes only, one to twelve in five seconds", got, l.probes)
	}
	if l.calls > 0 || l.mostProbes > 1 {
		t.Errorf("%d calls that cannot be repeated went to suspected replicas, and up to %d probes at once", l.calls, l.mostProbes)
	}
	l.run(10 * second)
	if diff := cmp.Diff(map[string]int{}, l.suspicions()); diff != "" {
		t.Errorf("after the hang (-want +got):\n%s", diff)
	}
	before = l.sentTo["r03"] + l.sentTo["r11"]
	l.run(12 * second)
	if got := l.sentTo["r03"] + l.sentTo["r11"] - before; got < 40 {
		t.Errorf("%d requests in two seconds to two replicas that answer again, want their share of about 120", got)
	}
}

// Verdicts must not take capacity from a service that works.
func TestNoVerdict(t *testing.T) {
	tests := map[string]struct {
		vms, replicas, perStep int
		slowness               bool
		change                 func(l *load)
		// most is the most replicas that a VM may suspect.
		most int
	}{
		"replicas report no slowness": {4, 9, 2, false, func(l *load) { l.hang(second, never, "r01", "r02") }, 0},
		"one VM has a bad link": {8, 9, 3, true, func(l *load) {
			usual := l.took
			l.took = func(vm int, replica string, at time.Duration) time.Duration {
				if vm == 0 && at > second {
					return never
				}
				return usual(vm, replica, at)
			}
		}, 0},
		// Nobody can tell that the replica answers unless another VM uses it.
		"one VM has a bad link to one replica": {8, 9, 6, true, func(l *load) {
			l.each = func() {
				if (l.clock.now-l.start)%(200*time.Millisecond) == 0 {
					l.send(1, map[string]bool{"r00": true, "r02": true, "r03": true, "r04": true, "r05": true, "r06": true, "r07": true, "r08": true})
				}
			}
			usual := l.took
			l.took = func(vm int, replica string, at time.Duration) time.Duration {
				if vm == 0 && replica == "r01" && at > second {
					return never
				}
				return usual(vm, replica, at)
			}
		}, 0},
		// Two such requests at two VMs look like a hang until the next answer of the replica is known.
		"some requests take two seconds": {8, 9, 3, true, func(l *load) {
			usual := l.took
			l.took = func(vm int, replica string, at time.Duration) time.Duration {
				if l.random.IntN(50) == 0 {
					return 2 * second
				}
				return usual(vm, replica, at)
			}
		}, 1},
		"a third of the replicas is slow for good, others in spells": {8, 9, 2, true, func(l *load) {
			usual := l.took
			l.took = func(vm int, replica string, at time.Duration) time.Duration {
				if int(at/(600*time.Millisecond))%9 == int(replica[2]-'0') {
					return usual(vm, replica, at) * 325 / 100
				}
				return usual(vm, replica, at) * time.Duration(10+3*(int(replica[2])%3)/2) / 10
			}
		}, 0},
		"the whole service is slow": {8, 9, 2, true, func(l *load) {
			usual := l.took
			l.took = func(vm int, replica string, at time.Duration) time.Duration {
				if at > second {
					return usual(vm, replica, at) * 20
				}
				return usual(vm, replica, at)
			}
		}, 3},
		"the whole service hangs": {8, 9, 2, true, func(l *load) {
			l.hang(second, never, "r00", "r01", "r02", "r03", "r04", "r05", "r06", "r07", "r08")
		}, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLoad(t, tt.vms, tt.replicas, tt.perStep, tt.slowness)
			tt.change(l)
			for at := second; at < 6*second; at += 100 * time.Millisecond {
				l.run(at)
				if n := l.mostSuspected(); n > tt.most {
					t.Fatalf("after %v: a VM suspects %d replicas, want %d at most; VMs for each: %v", at, n, tt.most, l.suspicions())
				}
			}
		})
	}
}

// Without a reported slowness no decision may change; with one, work goes where it is done sooner.
func TestPickBySlowness(t *testing.T) {
	tests := map[string]struct {
		slowness map[string]int
		age      time.Duration
		// least and most bound the picks of a, of 40 among two replicas, one at a time.
		least, most int
	}{
		"not reported":          {nil, 0, 5, 35},
		"a is in a spell":       {map[string]int{"a": 325, "b": 100}, 0, 0, 0},
		"a was in a spell":      {map[string]int{"a": 325, "b": 100}, 10 * second, 5, 35},
		"b is in a spell":       {map[string]int{"a": 100, "b": 250}, 0, 40, 40},
		"both are in a spell":   {map[string]int{"a": 250, "b": 250}, 0, 5, 35},
		"only b reports, usual": {map[string]int{"b": 100}, 0, 5, 35},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, c := newSet(entry("a", "north"), entry("b", "north"))
			for id, other := range map[string]string{"a": "b", "b": "a"} {
				l, _ := s.Pick(hgreplica.Want{Service: "s", Exclude: map[string]bool{other: true}})
				took := 40 * time.Millisecond
				if tt.slowness[id] > 0 {
					took = took * time.Duration(tt.slowness[id]) / 100
				}
				l.RecordAnswer(hgattempt.Answer{HasLoad: true, Slots: 4, Slowness: tt.slowness[id]}, took)
				l.Release()
			}
			c.now += tt.age
			got := 0
			for range 40 {
				got += picks(s, hgreplica.Want{}, 1)["a"]
			}
			if got < tt.least || got > tt.most {
				t.Errorf("%d of 40 picks, want %d to %d", got, tt.least, tt.most)
			}
		})
	}
}
