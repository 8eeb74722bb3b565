package hgteam

import (
	"crypto/sha256"
	"crypto/subtle"
	"maps"
	"slices"

	"github.com/samber/lo"
)

// KeyDigest is the SHA-256 digest of an API key. Keys are kept only in this form.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Team is a customer whose requests carry one of its keys. It is immutable.
type Team struct {
	Name string
	Keys []KeyDigest
	// Priority replaces the priority of the route if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// Cap bounds the requests of the team over all nodes.
	Cap Cap
}

// Cap is a usage cap: a rate in requests per second and a burst in requests. The zero value is no limit.
type Cap struct{ Rate, Burst float64 }

// IsUnlimited reports whether the cap is no limit.
func (c Cap) IsUnlimited() bool { return c.Rate <= 0 }

// Teams is an immutable set of teams.
type Teams struct {
	byName map[string]Team
	byKey  map[KeyDigest]string
	// shared are the keys that several teams hold, which are valid for none of them, and holders the names of these teams.
	shared  []KeyDigest
	holders []string
}

// NewTeams returns a set of teams. A later team of the same name replaces the earlier one.
func NewTeams(teams ...Team) *Teams {
	t := &Teams{byName: lo.KeyBy(teams, func(t Team) string { return t.Name }), byKey: map[KeyDigest]string{}}
	// The order of the names makes equal sets compare equal.
	for _, name := range slices.Sorted(maps.Keys(t.byName)) {
		team := t.byName[name]
		for _, k := range team.Keys {
			if holder, ok := t.byKey[k]; ok && holder != team.Name {
				t.shared, t.holders = append(t.shared, k), append(t.holders, holder, team.Name)
			}
			t.byKey[k] = team.Name
		}
	}
	for _, k := range t.shared {
		delete(t.byKey, k)
	}
	return t
}

// ByKey returns the only team that holds a key.
func (t *Teams) ByKey(k KeyDigest) (team Team, ok bool) {
	team, ok = t.byName[t.byKey[k]]
	// The comparison with the stored digest takes constant time.
	ok = ok && slices.ContainsFunc(team.Keys, func(own KeyDigest) bool { return subtle.ConstantTimeCompare(own[:], k[:]) == 1 })
	return lo.Ternary(ok, team, Team{}), ok
}

// ByName returns the team of a name.
func (t *Teams) ByName(name string) (team Team, ok bool) {
	team, ok = t.byName[name]
	return team, ok
}

// All returns the teams in no particular order.
func (t *Teams) All() []Team { return lo.Values(t.byName) }

// SharedKeys returns the number of keys that several teams hold.
func (t *Teams) SharedKeys() int { return len(lo.Uniq(t.shared)) }

// SharedBy returns the names of the teams that hold such keys, in order.
func (t *Teams) SharedBy() []string { return slices.Sorted(slices.Values(lo.Uniq(t.holders))) }
