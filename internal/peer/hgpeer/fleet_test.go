package hgpeer_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"

	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgsuspect"
)

// fleet simulates the membership of all nodes of a site in virtual time.
type fleet struct {
	clock  *clock
	random *rand.Rand
	names  []string
	nodes  map[string]*hgpeer.Members
	// suspects are the nodes' lists of requests that crash replicas.
	suspects map[string]*hgsuspect.List
	// nextBeat is when each node sends its next heartbeats.
	nextBeat map[string]time.Duration
	round    map[string]int
	// down nodes neither send nor answer; loss is the share of messages that get lost.
	down map[string]bool
	loss float64
	// timeout is the time after which heartbeats to nodes that are down fail, as if these had lost power; lateFailures are those
	// that will.
	timeout      time.Duration
	lateFailures []lateFailure
	// inFlight is the load report of every node.
	inFlight map[string]int
	// sent counts the heartbeats that each node sent, handled those that it answered, and bytes the size of both with their
	// replies.
	sent, handled, bytes map[string]int
	// sampleEvery is n if every nth node's view is checked.
	sampleEvery int
	// countBytes turns on the count of bytes.
	countBytes bool
	encoder    *gob.Encoder
	buffer     bytes.Buffer
	// remoteBeats counts the heartbeats between failure domains.
	remoteBeats int
}

// lateFailure is the failure of a heartbeat between two nodes.
type lateFailure struct {
	from, to string
	at       time.Duration
}

// newFleet returns a site whose nodes are all registered in the store; one node in six is strong.
func newFleet(size, domains int) *fleet {
	f := &fleet{
		clock: &clock{now: time.Minute}, random: rand.New(rand.NewPCG(1, 2)), nodes: map[string]*hgpeer.Members{}, suspects: map[string]*hgsuspect.List{}, nextBeat: map[string]time.Duration{},
		round: map[string]int{}, down: map[string]bool{}, sent: map[string]int{}, handled: map[string]int{}, bytes: map[string]int{},
	}
	f.sampleEvery = max(size/100, 1)
	f.encoder = gob.NewEncoder(&f.buffer)
	var infos []hgpeer.Info
	for i := range size {
		in := info(fmt.Sprintf("edge-%04d", i), fmt.Sprintf("domain-%d", i%domains))
		in.Boot, in.Peer, in.Public = in.Name+"/1", fmt.Sprintf("10.0.%d.%d:7380", i/250, i%250), fmt.Sprintf("10.0.%d.%d:8149", i/250, i%250)
		in.Power = lo.Ternary(i/domains%6 == 1, 0.8, 0.192)
		infos = append(infos, in)
	}
	all := lo.Uniq(lo.Map(infos, func(i hgpeer.Info, _ int) string { return i.Domain }))
	for _, in := range infos {
		m := hgpeer.NewMembers(f.clock, in, all...)
		m.SetRegistered(infos)
		f.names = append(f.names, in.Name)
		f.nodes[in.Name] = m
		f.suspects[in.Name] = hgsuspect.NewList(f.clock, hglog.Discard())
		f.nextBeat[in.Name] = f.clock.now + time.Duration(f.random.IntN(300))*time.Millisecond
	}
	return f
}

// run advances the virtual time by d in steps, in which nodes send the heartbeats that are due.
func (f *fleet) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := f.clock.now + d; f.clock.now < end; f.clock.now += step {
		f.failLate()
		for _, name := range f.names {
			if f.down[name] || f.clock.now < f.nextBeat[name] {
				continue
			}
			f.nextBeat[name] = f.clock.now + f.nodes[name].HeartbeatPeriod()
			f.nodes[name].SetInFlight(f.inFlight)
			local, remote := f.nodes[name].Targets(f.round[name])
			f.round[name]++
			f.remoteBeats += len(remote)
			programs := f.nodes[name].TakeUnannounced()
			for _, p := range local {
				f.beat(name, p, programs)
			}
			for _, p := range remote {
				f.beat(name, p, nil)
			}
		}
	}
}

// failLate has the heartbeats fail whose timeout has passed.
func (f *fleet) failLate() {
	due := lo.CountBy(f.lateFailures, func(l lateFailure) bool { return l.at <= f.clock.now })
	for _, l := range f.lateFailures[:due] {
		f.nodes[l.from].HeartbeatFailed(l.to)
	}
	f.lateFailures = f.lateFailures[due:]
}

// beat sends a heartbeat from a node and delivers the reply to it.
func (f *fleet) beat(name string, to hgpeer.Info, programs []uint64) {
	m := f.nodes[name]
	b := hgpeer.Beat{Info: m.Self(), InFlight: f.inFlight, Programs: programs, Ask: m.GossipQueryFor(to), Suspects: f.suspects[name].Offer(to.Name), Pace: m.PaceToSend()}
	f.sent[name]++
	if f.down[to.Name] {
		f.lateFailures = append(f.lateFailures, lateFailure{name, to.Name, f.clock.now + f.timeout})
		f.failLate()
		return
	}
	if f.random.Float64() < f.loss {
		return
	}
	peer := f.nodes[to.Name]
	reply := hgpeer.Beat{Info: peer.Self(), InFlight: f.inFlight, News: peer.HandleHeartbeat(b), Suspects: f.suspects[to.Name].HandleOffer(name, b.Suspects), Pace: peer.PaceToSend()}
	f.handled[to.Name]++
	if f.countBytes {
		size := f.size(b) + f.size(reply)
		f.bytes[name] += size
		f.bytes[to.Name] += size
	}
	if f.random.Float64() >= f.loss {
		m.HandleReply(reply)
		f.suspects[name].HandleAnswer(to.Name, reply.Suspects)
	}
}

// size returns the encoded length of a heartbeat in bytes.
func (f *fleet) size(b hgpeer.Beat) int {
	f.buffer.Reset()
	if err := f.encoder.Encode(b); err != nil {
		panic(err)
	}
	return f.buffer.Len()
}

// viewErrors compares the views of a sample of the running nodes with the truth. It counts the live nodes that are missing
// in a view, and the stopped nodes that are live in one.
func (f *fleet) viewErrors() (missing, stale int) {
	up := len(f.names) - len(lo.Keys(f.down))
	for i, name := range f.names {
		if f.down[name] || i%f.sampleEvery != 0 {
			continue
		}
		live := f.nodes[name].Live()
		gone := lo.CountBy(live, func(i hgpeer.Info) bool { return f.down[i.Name] })
		stale += gone
		missing += up - 1 - (len(live) - gone)
	}
	return missing, stale
}

// checkInterval is the virtual time between two checks of all views.
const checkInterval = 500 * time.Millisecond

// converge runs until all views are right, at most for limit, and returns the virtual time that took.
func (f *fleet) converge(limit time.Duration) time.Duration {
	began := f.clock.now
	for f.clock.now-began < limit {
		if missing, stale := f.viewErrors(); missing+stale == 0 {
			break
		}
		f.run(checkInterval)
	}
	return f.clock.now - began
}

// Heartbeats between all nodes would cost each node more with every further node. At every size the nodes must find each
// other, detect a failed node as fast as a full mesh does, and stay within one limit of control traffic without changes.
func TestFleet(t *testing.T) {
	// maxBytes is the limit of the mean control traffic of a node, in bytes per second.
	const maxBytes = 13_000
	tests := map[string]struct {
		size, domains int
		// deaths says that nodes fail, which takes some seconds of simulation at large sizes.
		deaths bool
	}{
		"24":   {24, 3, true},
		"100":  {100, 4, true},
		"400":  {400, 8, true},
		"1000": {1000, 8, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(tt.size, tt.domains)
			if took := f.converge(10 * time.Second); took > 4*time.Second {
				t.Errorf("nodes knew each other after %v, want 4s at most", took)
			}
			f.run(time.Second)
			clear(f.sent)
			clear(f.handled)
			clear(f.bytes)
			f.remoteBeats = 0
			f.countBytes = true
			const quiet = 2
			f.run(quiet * time.Second)
			f.countBytes = false
			messages := lo.Map(f.names, func(n string, _ int) int { return f.sent[n] + f.handled[n] })
			bytes := lo.Map(f.names, func(n string, _ int) int { return f.bytes[n] / quiet })
			hub := lo.MaxBy(f.names, func(a, b string) bool { return f.bytes[a] > f.bytes[b] })
			t.Logf("%d nodes: %.1f messages/s a node, %.1f the most; %d bytes/s a node, %d the most; %d between domains/s",
				tt.size, float64(lo.Sum(messages))/float64(tt.size)/quiet, float64(lo.Max(messages))/quiet, lo.Sum(bytes)/tt.size, lo.Max(bytes), f.remoteBeats/quiet)
			if mean := lo.Sum(bytes) / tt.size; mean > maxBytes {
				t.Errorf("%d bytes/s a node, want %d at most", mean, maxBytes)
			}
			if !tt.deaths {
				return
			}
			for _, victims := range [][]string{{f.names[tt.size-1]}, {hub}} {
				for _, v := range victims {
					f.down[v] = true
				}
				took := f.converge(20 * time.Second)
				t.Logf("%d nodes: the failure of %v is known after %v", tt.size, victims, took)
				// With heartbeats between all nodes, at a period of 300 ms plus 4 ms for each peer beyond eight, nodes in other
				// failure domains detected a failure after nine periods.
				if limit := 9 * (300*time.Millisecond + 4*time.Millisecond*time.Duration(tt.size-9)); took > limit {
					t.Errorf("the failure of %v is known after %v, want %v at most", victims, took, limit)
				}
			}
		})
	}
}

// When half of the nodes, among them most hubs, fail at once, the others have to agree on new hubs. They must converge, and so
// must all nodes after the failed ones have returned.
func TestFleetAfterMassFailure(t *testing.T) {
	f := newFleet(100, 4)
	f.converge(10 * time.Second)
	for i, name := range f.names {
		if i/4%2 == 1 {
			f.down[name] = true
		}
	}
	if took := f.converge(20 * time.Second); took > 8*time.Second {
		t.Errorf("the survivors knew each other after %v, want 8s at most", took)
	}
	clear(f.down)
	if took := f.converge(20 * time.Second); took > 10*time.Second {
		t.Errorf("all knew each other again after %v, want 10s at most", took)
	}
}

// Lost messages must not make live nodes look failed, and a node that paused must soon be live again for all others.
func TestFleetLoss(t *testing.T) {
	f := newFleet(100, 4)
	f.converge(10 * time.Second)
	f.loss = 0.05
	wrong, checked := 0, 0
	for range 40 {
		f.run(250 * time.Millisecond)
		missing, _ := f.viewErrors()
		wrong += missing
		checked += len(f.names) * (len(f.names) - 1)
	}
	if share := float64(wrong) / float64(checked); share > 0.001 {
		t.Errorf("a live node is missing in a share of %.4f of all checked views, want 0.001 at most", share)
	}
	f.loss = 0
	paused := f.names[7]
	f.down[paused] = true
	f.run(time.Second)
	delete(f.down, paused)
	if took := f.converge(10 * time.Second); took > 2*time.Second {
		t.Errorf("a node is live again %v after a pause, want 2s at most", took)
	}
}

// Hubs forward the sums of requests in flight. No node may count a request of another node twice, or leave one out.
func TestFleetLoads(t *testing.T) {
	f := newFleet(48, 3)
	f.inFlight = map[string]int{"replica": 1}
	f.run(6 * time.Second)
	for _, name := range f.names {
		if n := f.nodes[name].InFlight()["replica"]; n != len(f.names)-1 {
			t.Errorf("%s counts %d requests of others, want %d", name, n, len(f.names)-1)
		}
	}
}

// A node learns of a program from several hubs. Every other node of the failure domain must receive it exactly once, and
// nodes of other domains not at all.
func TestFleetPrograms(t *testing.T) {
	f := newFleet(48, 3)
	f.converge(10 * time.Second)
	announcer := f.names[40]
	f.nodes[announcer].AnnouncePrograms([]uint64{9})
	f.run(4 * time.Second)
	for _, name := range f.names {
		local := f.nodes[name].Self().Domain == f.nodes[announcer].Self().Domain
		want := lo.Ternary(name != announcer && local, []uint64{9}, nil)
		if diff := cmp.Diff(want, f.nodes[name].TakeReceived()); diff != "" {
			t.Errorf("%s received programs (-want +got):\n%s", name, diff)
		}
	}
}

func request(n uint64) hgsuspect.Request {
	return hgsuspect.Request{Content: n, Caller: 1000 + n, Service: fmt.Sprint(n)}
}

// A request that crashed replicas of three nodes must be refused by all nodes, although messages get lost, one node is down
// meanwhile and one restarts with an empty list. A request that has completed since must not be refused.
func TestFleetLearnsOfCrashingRequest(t *testing.T) {
	const crashing, harmless = 7, 8
	tests := map[string]struct{ size, domains int }{"small": {9, 3}, "large": {48, 3}, "very large": {300, 5}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(tc.size, tc.domains)
			f.converge(10 * time.Second)
			f.loss = 0.2
			absent, restarted := f.names[tc.size/2], f.names[tc.size/3]
			f.down[absent] = true
			for i := range 3 {
				observer := f.suspects[f.names[i*tc.size/4]]
				observer.RecordCrash(request(crashing))
				observer.RecordCrash(request(harmless))
			}
			f.suspects[f.names[1]].RecordCompletion(request(harmless))
			f.run(4 * time.Second)
			f.suspects[f.names[tc.size-1]].RecordCompletion(request(harmless))
			delete(f.down, absent)
			f.suspects[restarted] = hgsuspect.NewList(f.clock, hglog.Discard())
			f.run(4 * time.Second)
			for _, name := range f.names {
				if _, refused := f.suspects[name].Refused(request(crashing)); !refused {
					t.Errorf("%s does not refuse the crashing request", name)
				}
				if _, refused := f.suspects[name].Refused(request(harmless)); refused {
					t.Errorf("%s refuses a request that has run to its end", name)
				}
			}
		})
	}
}

// Nodes that have been down for long and have no row in the store must be removed, hubs too. Gossip about them that the other
// nodes repeat to each other must not keep them.
func TestFleetForgets(t *testing.T) {
	f := newFleet(40, 2)
	f.converge(10 * time.Second)
	left := f.names[:20]
	for _, name := range f.names[20:] {
		f.down[name] = true
	}
	for _, name := range left {
		f.nodes[name].SetRegistered(lo.Map(left, func(n string, _ int) hgpeer.Info { return f.nodes[n].Self() }))
	}
	f.run(70 * time.Second)
	for _, name := range left {
		if n := len(f.nodes[name].All()); n != len(left)-1 {
			t.Errorf("%s knows %d peers, want %d", name, n, len(left)-1)
		}
	}
	if missing, stale := f.viewErrors(); missing+stale > 0 {
		t.Errorf("%d live nodes missing, %d stopped nodes live", missing, stale)
	}
}
