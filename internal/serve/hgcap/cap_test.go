package hgcap_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopgrade/internal/serve/hgcap"
	"hyssopgrade/internal/serve/hgteam"
)

var bounds = hgcap.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

func request(team string, begins bool) hgcap.Request {
	return hgcap.Request{Team: hgteam.Team{Name: team}, New: begins}
}

// Guards against more requests than the cap allows in any span while VMs are split, frozen, restarted and replaced as owners.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.IntRange(1, 9).Draw(t, "VMs"), rapid.Uint64().Draw(t, "seed"), bounds)
		s.late = rapid.SampledFrom([]time.Duration{0, hgcap.DispatchTime}).Draw(t, "late")
		s.lost = rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(t, "lost")
		s.drop = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "drop")
		rate := rapid.SampledFrom([]float64{1, 5, 40, 300}).Draw(t, "rate")
		c := hgteam.Cap{Rate: rate, Burst: rate * rapid.SampledFrom([]float64{0.2, 1, 3}).Draw(t, "burst")}
		s.caps["a"] = c
		events := rapid.SliceOfN(rapid.SampledFrom([]string{"split", "heal", "freeze", "restart", "all", "quiet", "none"}), 3, 12).Draw(t, "events")
		load := 7.0
		for _, event := range events {
			v := s.vms[s.random.IntN(len(s.vms))]
			switch event {
			case "split":
				for _, v := range s.vms {
					v.side = s.random.IntN(3)
				}
			case "heal":
				for _, v := range s.vms {
					v.side = 0
				}
			case "freeze":
				v.frozenUntil = s.clock.now + time.Duration(s.random.Int64N(int64(4*time.Second)))
			case "restart":
				v.downUntil = s.clock.now + time.Duration(s.random.Int64N(int64(2*time.Second)))
				s.start(v, false)
			case "all":
				for _, v := range s.vms {
					v.downUntil = s.clock.now + time.Duration(s.random.Int64N(int64(300*time.Millisecond)))
					s.start(v, false)
				}
			}
			if load = 7; event == "quiet" {
				load = 0
			}
			s.run(time.Duration(s.random.Int64N(int64(4*time.Second))), func() {
				for range s.poisson(load * rate) {
					if v := s.vms[s.random.IntN(len(s.vms))]; s.runs(v) {
						s.take(v, request("a", false))
					}
				}
			})
		}
		if got, want := s.most("a"), limit(bounds, c); float64(got) > want {
			t.Fatalf("%d requests in %v, want at most %.0f", got, bounds.Window, want)
		}
	})
}

// Guards against refusals of teams that stay below their caps while their requests shift between 36 VMs. On the first start there is a full
// burst, so that none is refused at the start either.
func TestDemandBelowTheCap(t *testing.T) {
	for name, rate := range map[string]float64{"few": 5, "some": 40, "many": 650} {
		t.Run(name, func(t *testing.T) {
			s := newSim(36, 1, bounds)
			s.caps["a"] = hgteam.Cap{Rate: rate, Burst: rate}
			sent := 0
			for range 10 {
				weights := make([]float64, len(s.vms))
				sum := 0.0
				for i := range weights {
					weights[i] = math.Pow(s.random.Float64(), 4)
					sum += weights[i]
				}
				s.run(2*time.Second, func() {
					for i, v := range s.vms {
						for range s.poisson(rate / 1.6 * weights[i] / sum) {
							sent++
							s.take(v, request("a", s.random.IntN(8) == 0))
						}
					}
				})
			}
			t.Logf("%d requests, %d asks", sent, s.asks)
			if s.refused["a"]+s.failed["a"] > 0 {
				t.Errorf("%d of %d requests refused, %d without an owner", s.refused["a"], sent, s.failed["a"])
			}
			if perSecond := float64(s.asks) / 20 / 36; perSecond > 4 {
				t.Errorf("%.1f asks a second and VM", perSecond)
			}
		})
	}
}

// Guards against programs that begin and cannot finish, as a team sends seven times its usual rate.
func TestHotTeamFinishesPrograms(t *testing.T) {
	const turns, vms = 12, 36
	s := newSim(vms, 1, bounds)
	rate := 200.0
	s.caps["hot"] = hgteam.Cap{Rate: rate, Burst: rate}
	type program struct {
		left, tries int
		next        time.Duration
	}
	var programs []*program
	begun, refused, finished, broken := 0, 0, 0, 0
	factor := 1.0
	step := func() {
		for range s.poisson(factor * rate / 1.6 / turns) {
			if r := s.take(s.vms[s.random.IntN(vms)], request("hot", true)); r.Verdict != hgcap.Granted {
				refused++
				continue
			}
			begun++
			programs = append(programs, &program{left: turns - 1, next: s.clock.now + 300*time.Millisecond})
		}
		var rest []*program
		for _, p := range programs {
			if s.clock.now < p.next {
				rest = append(rest, p)
				continue
			}
			r := s.take(s.vms[s.random.IntN(vms)], request("hot", false))
			switch {
			case r.Verdict == hgcap.Granted:
				p.left, p.tries, p.next = p.left-1, 0, s.clock.now+300*time.Millisecond
			default:
				p.tries, p.next = p.tries+1, s.clock.now+max(r.RetryAfter, 200*time.Millisecond)
			}
			switch {
			case p.left == 0:
				finished++
			case p.tries == 3:
				broken++
			default:
				rest = append(rest, p)
			}
		}
		programs = rest
	}
	s.run(20*time.Second, step)
	if refused+broken > 0 {
		t.Errorf("%d programs refused and %d broken at the usual rate", refused, broken)
	}
	factor = 7
	s.run(30*time.Second, step)
	t.Logf("%d begun, %d refused, %d finished, %d broken, %d requests", begun, refused, finished, broken, len(s.sent["hot"]))
	if broken*20 > finished {
		t.Errorf("%d programs broken, %d finished; want at most 5 %%", broken, finished)
	}
	if got, want := s.most("hot"), limit(bounds, s.caps["hot"]); float64(got) > want {
		t.Errorf("%d requests in a window, want at most %.0f", got, want)
	}
}

// A lowered cap binds at once at the owner, and for leases of the old cap when these expire.
func TestCapChanges(t *testing.T) {
	s := newSim(6, 1, bounds)
	s.caps["a"] = hgteam.Cap{Rate: 100, Burst: 100}
	hot := func() {
		for range s.poisson(700) {
			s.take(s.vms[s.random.IntN(6)], request("a", false))
		}
	}
	s.run(10*time.Second, hot)
	s.caps["a"] = hgteam.Cap{Rate: 20, Burst: 20}
	s.run(hgcap.LeaseTime, hot)
	s.sent = map[string][]time.Duration{}
	s.run(10*time.Second, hot)
	if got, want := s.most("a"), limit(bounds, s.caps["a"]); float64(got) > want {
		t.Errorf("%d requests in a window after the change, want at most %.0f", got, want)
	}
	s.caps["a"] = hgteam.Cap{Rate: 100, Burst: 100}
	s.sent = map[string][]time.Duration{}
	s.run(10*time.Second, hot)
	if got := len(s.sent["a"]); got < 900 {
		t.Errorf("%d requests in 10 s under the raised cap of 100 a second", got)
	}
}

// A VM that was frozen uses no lease that has expired meanwhile, and its tokens are returned once.
func TestLeaseExpires(t *testing.T) {
	c := &clock{now: time.Second}
	l := hgcap.NewLeases(c, bounds)
	q := request("a", false)
	q.Team.Cap = hgteam.Cap{Rate: 10, Burst: 10}
	step := l.Take(q, false)
	l.Settle(*step.Ask, hgcap.Grant{Tokens: 4, Boot: "x", Granted: 7}, true)
	if r := l.Take(q, true); r.Reply.Verdict != hgcap.Granted {
		t.Fatalf("verdict %q with a lease", r.Reply.Verdict)
	}
	c.now += hgcap.LeaseTime
	step = l.Take(q, false)
	if step.Decided || step.Ask == nil {
		t.Fatalf("decided %q on an expired lease", step.Reply.Verdict)
	}
	if got, want := fmt.Sprint(step.Ask.Unused, step.Ask.Boot), "[{7ns 3 0}]x"; got != want {
		t.Errorf("unused %s, want %s", got, want)
	}
}

// Guards against a team that is stopped after its cap was lowered, although it stays below the new one: what it sent under the old cap is
// no debt.
func TestLoweredCapStopsNobody(t *testing.T) {
	s := newSim(6, 1, bounds)
	s.caps["a"] = hgteam.Cap{Rate: 650, Burst: 650}
	demand := 400.0
	send := func() {
		for range s.poisson(demand) {
			s.take(s.vms[s.random.IntN(6)], request("a", false))
		}
	}
	s.run(10*time.Second, send)
	s.caps["a"], demand = hgteam.Cap{Rate: 100, Burst: 100}, 60
	s.refused = map[string]int{}
	s.run(5*time.Second, send)
	if s.refused["a"] > 0 {
		t.Errorf("%d requests refused below the lowered cap", s.refused["a"])
	}
}

// Guards against refusals of a program whose team has a small cap: its turns and tools come at once, but few in a window.
func TestProgramOfSmallTeam(t *testing.T) {
	s := newSim(36, 1, bounds)
	s.caps["a"] = hgteam.Cap{Rate: 5, Burst: 5}
	s.run(time.Second, func() {})
	sent := 0
	s.run(time.Second, func() {
		if sent < 17 {
			sent++
			s.take(s.vms[s.random.IntN(36)], request("a", sent == 1))
		}
	})
	if s.refused["a"] > 0 {
		t.Errorf("%d of %d requests refused; the bounds allow 53 in 5 s", s.refused["a"], sent)
	}
}

// Guards against more requests than the bounds allow when the owner of a team ends while the team, idle before, sends many times its cap.
func TestOwnerEndsUnderHotTeam(t *testing.T) {
	for name, c := range map[string]hgteam.Cap{"small": {Rate: 5, Burst: 5}, "middle": {Rate: 40, Burst: 40}, "large": {Rate: 300, Burst: 300}} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := newSim(9, seed, bounds)
				s.caps["a"] = c
				s.run(7*time.Second, func() {})
				hot := func() {
					for range s.poisson(7 * c.Rate) {
						if v := s.vms[s.random.IntN(9)]; s.runs(v) {
							s.take(v, request("a", false))
						}
					}
				}
				s.run(time.Second, hot)
				owner := s.vms[highest(s.vms[0].view, "a")]
				owner.downUntil = s.clock.now + time.Second
				s.start(owner, false)
				s.run(6*time.Second, hot)
				if got, want := s.most("a"), limit(bounds, c); float64(got) > want {
					t.Errorf("seed %d: %d requests in a window, want at most %.0f", seed, got, want)
				}
			}
		})
	}
}
