package hgentry

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
)

// maxTeamUses bounds the teams whose use is counted one by one, over the life of the process. Twice the teams that are expected fit.
const maxTeamUses = 1 << 15

// TeamUse is what this node has done for a team, or for several teams together.
type TeamUse struct {
	// Name is the team; empty for several.
	Name string
	// Served are the requests that a replica may have run, and RefusedByCap those refused by the usage cap, since the start.
	Served, RefusedByCap uint64
	// Waiting are the requests that wait for a replica, and Running those that were sent to one and have not ended.
	Waiting, Running int
}

// add returns the sum of two uses under the name of the first.
func (u TeamUse) add(o TeamUse) TeamUse {
	u.Served, u.RefusedByCap = u.Served+o.Served, u.RefusedByCap+o.RefusedByCap
	u.Waiting, u.Running = u.Waiting+o.Waiting, u.Running+o.Running
	return u
}

// teamUses counts the use of the teams that were seen; the zero value is ready, and safe for concurrent use.
type teamUses struct {
	mu sync.Mutex
	// byName holds the teams, and under the empty name those beyond maxTeamUses.
	byName map[string]*TeamUse
}

// update calls do with the use of a team. Requests of no team are not counted.
func (u *teamUses) update(name string, do func(t *TeamUse)) {
	if name == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	t, ok := u.byName[name]
	if !ok && len(u.byName) >= maxTeamUses {
		name = ""
		t, ok = u.byName[name]
	}
	if !ok {
		if u.byName == nil {
			u.byName = map[string]*TeamUse{}
		}
		t = &TeamUse{Name: name}
		u.byName[name] = t
	}
	do(t)
}

// wait counts a request that waits for a replica until the returned function is called.
func (u *teamUses) wait(name string) (end func()) {
	u.update(name, func(t *TeamUse) { t.Waiting++ })
	return func() { u.update(name, func(t *TeamUse) { t.Waiting-- }) }
}

// run counts a request that was sent to a replica until the returned function is called.
func (u *teamUses) run(name string) (end func()) {
	u.update(name, func(t *TeamUse) { t.Running++ })
	return func() { u.update(name, func(t *TeamUse) { t.Running-- }) }
}

// TeamUses returns the uses of the n teams with the most requests, the largest first, and the sum of all others with their number.
func (e *Entry) TeamUses(n int) (top []TeamUse, rest TeamUse, others int) {
	e.uses.mu.Lock()
	defer e.uses.mu.Unlock()
	for name, t := range e.uses.byName {
		if name == "" {
			rest, others = rest.add(*t), others+1
			continue
		}
		top = append(top, *t)
	}
	size := func(t TeamUse) uint64 { return t.Served + t.RefusedByCap }
	slices.SortFunc(top, func(a, b TeamUse) int { return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(a.Name, b.Name)) })
	for len(top) > n {
		rest, others = rest.add(top[len(top)-1]), others+1
		top = top[:len(top)-1]
	}
	return top, rest, others
}

// countTeam counts the request for its team as it ends.
func (x *exchange) countTeam(status int) {
	x.entry.uses.update(x.team.Name, func(t *TeamUse) {
		switch {
		case x.sent > 0:
			t.Served++
		case status == http.StatusTooManyRequests:
			t.RefusedByCap++
		}
	})
}
