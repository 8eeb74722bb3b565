package hgentry

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgdesired"
	"hyssopgrade/internal/serve/hgteam"
)

// fresh implements Freshness.
type fresh bool

func (f fresh) Fresh() bool { return bool(f) }

// stateOf returns a desired state with a route that needs a key and a public one.
func stateOf(version uint64, teams *hgteam.Teams) *hgdesired.State {
	return &hgdesired.State{Version: version, Teams: teams, Routes: []hgdesired.Route{
		{Name: "keyed", Host: "h", PathPrefix: "/"}, {Name: "public", Host: "h", PathPrefix: "/public/", Public: true},
	}}
}

func holderOf(name string, keys ...string) hgteam.Team {
	t := hgteam.Team{Name: name, Priority: 2, HasPriority: true}
	for _, k := range keys {
		t.Keys = append(t.Keys, hgteam.DigestKey(k))
	}
	return t
}

// Guards against requests that run without a key or under another team, when they come and when they are sent, and against refusals of
// a node that can't know.
func TestIdentify(t *testing.T) {
	both := hgteam.NewTeams(holderOf("a", "ka", "shared"), holderOf("b", "kb", "shared"))
	tests := map[string]struct {
		path, key     string
		before, after *hgteam.Teams
		stale, turn   bool
		// want and wantErr are the outcome when the request comes, sent and sentErr those when it is sent.
		want    string
		wantErr error
		sent    string
		sentErr error
	}{
		"no teams":                       {path: "/", key: "ka"},
		"no teams, stale":                {path: "/", stale: true},
		"key":                            {path: "/", key: "ka", before: both, after: both, want: "a", sent: "a"},
		"no key":                         {path: "/", before: both, wantErr: errNoKey},
		"unknown key":                    {path: "/", key: "kx", before: both, wantErr: errNoKey},
		"key of two teams":               {path: "/", key: "shared", before: both, wantErr: errNoKey},
		"no team at all":                 {path: "/", key: "ka", before: hgteam.NewTeams(), wantErr: errNoKey},
		"stale":                          {path: "/", key: "ka", before: both, stale: true, wantErr: errStale},
		"unknown key, stale":             {path: "/", key: "kx", before: both, stale: true, wantErr: errStale},
		"no teams, key, stale":           {path: "/", key: "ka", stale: true, wantErr: errStale},
		"no teams, no key, stale":        {path: "/", stale: true},
		"public":                         {path: "/public/", before: both, after: both},
		"public, stale":                  {path: "/public/", key: "ka", before: both, after: both, stale: true, want: "a", sent: "a"},
		"public, unknown key":            {path: "/public/", key: "kx", before: both, after: both},
		"key removed":                    {path: "/", key: "ka", before: both, after: hgteam.NewTeams(holderOf("a", "k2")), want: "a", sentErr: errNoKey},
		"team removed":                   {path: "/", key: "ka", before: both, after: hgteam.NewTeams(), want: "a", sentErr: errNoKey},
		"key moved":                      {path: "/", key: "ka", before: both, after: hgteam.NewTeams(holderOf("b", "ka")), want: "a", sentErr: errOtherTeam},
		"teams removed":                  {path: "/", key: "ka", before: both, want: "a", sent: "a"},
		"teams added, key":               {path: "/", key: "ka", after: both, sent: "a"},
		"teams added, no key":            {path: "/", after: both, sentErr: errNoKey},
		"public, key removed":            {path: "/public/", key: "ka", before: both, after: hgteam.NewTeams(), want: "a"},
		"public, key removed, open turn": {path: "/public/", key: "ka", before: both, after: hgteam.NewTeams(), turn: true, want: "a", sentErr: errOtherTeam},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := &Entry{hasDesired: make(chan struct{}), freshness: fresh(!tt.stale)}
			e.SetDesired(stateOf(1, tt.before))
			x := &exchange{entry: e, r: httptest.NewRequest("POST", "http://h"+tt.path, nil), state: e.Desired()}
			x.attempt = hgattempt.Attempt{Key: hgteam.DigestKey(tt.key), HasKey: tt.key != ""}
			var err error
			if x.team, err = x.identify(x.newestDesired()); x.team.Name != tt.want || !errors.Is(err, tt.wantErr) {
				t.Fatalf("team %q, %v", x.team.Name, err)
			}
			if err != nil {
				return
			}
			if tt.turn {
				x.turn = &turn{team: x.team.Name}
			}
			e.SetDesired(stateOf(2, tt.after))
			if team, err := x.reauthorize(); team.Name != tt.sent || !errors.Is(err, tt.sentErr) {
				t.Errorf("when sent: team %q, %v", team.Name, err)
			}
		})
	}
}

// Guards against an answer that says a request has not run when it may have, and against a stale node that sends callers away for good.
func TestUnauthorizedAnswers(t *testing.T) {
	timer := hgtimer.NewService()
	t.Cleanup(timer.Close)
	tests := []struct {
		err          error
		sent, status int
	}{
		{errNoKey, 0, 401}, {errStale, 0, 503}, {errOtherTeam, 0, 503}, {errNoKey, 1, 502}, {errStale, 1, 502}, {errOtherTeam, 1, 502},
	}
	for _, tt := range tests {
		w := httptest.NewRecorder()
		e := &Entry{timer: timer, log: hglog.Discard()}
		x := &exchange{entry: e, w: w, r: httptest.NewRequest("POST", "http://h/", nil), ctx: t.Context(), sent: tt.sent}
		x.respondError(errors.Join(errors.New("beside"), tt.err))
		if hasRetry := w.Header().Get("Retry-After") != ""; w.Code != tt.status || hasRetry != (tt.status == 503) || x.canRetry(tt.err) {
			t.Errorf("%v after %d sends: status %d, Retry-After %q", tt.err, tt.sent, w.Code, w.Header().Get("Retry-After"))
		}
	}
}

// Guards against the priority of a route that overrides that of a team, also one of 0.
func TestPriorityOfTeam(t *testing.T) {
	x := &exchange{route: hgdesired.Route{Priority: 5}}
	for want, team := range map[int]hgteam.Team{5: {}, 2: holderOf("a"), 0: {HasPriority: true}} {
		if x.team = team; x.priority() != want {
			t.Errorf("priority %d, want %d", x.priority(), want)
		}
	}
}

// Guards against a request that is sent although its key was removed while the transport connected, on a new or a used connection.
func TestRefusedConnectionGetsNoRequest(t *testing.T) {
	var arrivals atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrivals.Add(1) }))
	defer srv.Close()
	for i, want := range []error{errNoKey, nil, errNoKey, nil} {
		u := connUse{mayDispatch: func() error { return want }}
		r, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), u.hooks()), "POST", srv.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := srv.Client().Do(r)
		if err == nil {
			resp.Body.Close()
		}
		if refused := u.refused.Load(); (err != nil) != (want != nil) || (refused != nil) != (want != nil) || arrivals.Load() != int64(i+1)/2 {
			t.Errorf("request %d: %v, %d arrivals", i, err, arrivals.Load())
		}
	}
}
