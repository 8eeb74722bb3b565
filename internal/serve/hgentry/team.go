package hgentry

import (
	"errors"
	"math/rand/v2"
	"net/http"

	"hyssopgrade/internal/serve/hgdesired"
	"hyssopgrade/internal/serve/hgteam"
)

// Freshness reports whether this node may still serve keys: whether its desired state was the newest recently enough.
type Freshness interface {
	Fresh() bool
}

// Option configures an Entry.
type Option func(e *Entry)

// WithFreshness sets what requests with a key depend on; without it they depend on nothing.
func WithFreshness(f Freshness) Option { return func(e *Entry) { e.freshness = f } }

// Errors of requests that may not run, or not any more.
var (
	// errNoKey means that the request carries no key of a team, or no longer one of its own team.
	errNoKey = errors.New("no key of a team")
	// errStale means that this node does not know whether the key is still valid.
	errStale = errors.New("desired state may be out of date")
	// errOtherTeam means that the request to a public route belonged to another team when its turn was opened.
	errOtherTeam = errors.New("team of the request has changed")
)

// authorize finds the team of the request and reports whether the request may go on. If not, it has responded to the caller.
func (x *exchange) authorize() bool {
	team, err := x.identify(x.newestDesired())
	if err != nil {
		x.respondError(err)
		return false
	}
	x.team = team
	return true
}

// newestDesired returns the newest desired state, and whether it was the newest one recently enough for keys. Freshness is asked first: the
// evidence of a state that takes effect in between must not vouch for the one before.
func (x *exchange) newestDesired() (s *hgdesired.State, fresh bool) {
	fresh = x.entry.freshness == nil || x.entry.freshness.Fresh()
	return x.entry.desired.Load(), fresh
}

// identify returns the team that the request belongs to under a desired state; the zero value if it belongs to none. It returns an error
// if the request may not run.
func (x *exchange) identify(s *hgdesired.State, fresh bool) (team hgteam.Team, err error) {
	route, ok := s.Route(hostOnly(x.r.Host), x.r.URL.EscapedPath())
	if !ok {
		route = x.route
	}
	// A node that may have missed a change does not know which keys are valid, also if it knows of no teams yet.
	if !fresh && !route.Public && (s.Teams != nil || x.attempt.HasKey) {
		return hgteam.Team{}, errStale
	}
	if s.Teams == nil {
		return hgteam.Team{}, nil
	}
	known := false
	if x.attempt.HasKey {
		team, known = s.Teams.ByKey(x.attempt.Key)
	}
	if !known && !route.Public {
		return hgteam.Team{}, errNoKey
	}
	return team, nil
}

// reauthorize returns the team under which the request may be sent now, by the newest desired state. The request keeps its team if the
// desired state has no teams any more. On a public route it goes on without a team once its key is unknown, but not with a turn of that
// team.
func (x *exchange) reauthorize() (team hgteam.Team, err error) {
	s, fresh := x.newestDesired()
	team, err = x.identify(s, fresh)
	switch {
	case err != nil:
		return hgteam.Team{}, err
	case s.Teams == nil:
		return x.team, nil
	case team.Name == x.team.Name, x.team.Name == "", team.Name == "" && x.turn == nil:
		return team, nil
	}
	return hgteam.Team{}, errOtherTeam
}

// mayDispatch is reauthorize for the moment at which the transport has a connection for the request. Connecting takes time.
func (x *exchange) mayDispatch() error {
	team, err := x.reauthorize()
	if err == nil && team.Name != x.team.Name {
		return errOtherTeam
	}
	return err
}

// hasTeams reports whether the headers with the key and the team are the system's own: whether the desired state has teams, or had some
// when the request came.
func (x *exchange) hasTeams() bool {
	return x.team.Name != "" || x.state.Teams != nil || x.entry.desired.Load().Teams != nil
}

// isUnauthorized reports whether an error says that a request may not run, or not any more.
func isUnauthorized(err error) bool {
	return errors.Is(err, errNoKey) || errors.Is(err, errStale) || errors.Is(err, errOtherTeam)
}

// respondUnauthorized responds to a request that may not run and has not run.
func (x *exchange) respondUnauthorized(err error) {
	reason := ownError(err).Error()
	switch {
	case errors.Is(err, errNoKey):
		x.respond(http.StatusUnauthorized, reason, 0)
	case errors.Is(err, errOtherTeam):
		x.respond(http.StatusServiceUnavailable, reason, retryAfterBusy)
	default:
		x.respond(http.StatusServiceUnavailable, reason, retryAfterOutage*(0.8+0.4*rand.Float64()))
	}
}

// priority returns the priority of the request: that of its team, or else that of its route.
func (x *exchange) priority() int {
	if x.team.HasPriority {
		return x.team.Priority
	}
	return x.route.Priority
}
