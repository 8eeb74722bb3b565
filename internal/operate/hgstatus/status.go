package hgstatus

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"hyssopgrade/internal/serve/hgtransport"
)

// Path is the HTTP path of the status report, on the address where an entry VM serves its metrics.
const Path = "/status"

// Status is the status report of an entry VM.
type Status struct {
	VM       string `json:"vm"`
	Domain   string `json:"domain"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	// Running is the number of requests in progress, and Programs the number of programs in memory.
	Running  int `json:"running"`
	Programs int `json:"programs"`
	// StoreOK reports whether the store answers this VM.
	StoreOK bool `json:"storeOk"`
	// Version is the version of the desired state in force, 0 if there is none; InForce is the time since it came into
	// force, in seconds.
	Version uint64  `json:"version"`
	InForce float64 `json:"inForceSeconds"`
	// Freshness is nil without a bound on revocation.
	Freshness *Freshness `json:"freshness,omitempty"`
	// Placer is the VM that assigns replicas to the requests of this failure domain.
	Placer   string    `json:"placer"`
	Tables   []Table   `json:"tables"`
	Services []Service `json:"services"`
	Peers    []Peer    `json:"peers"`
	// Teams are the teams with the most requests, the largest first, and then the sum of all others; empty without teams.
	Teams []Team `json:"teams,omitempty"`
}

// Team is what the entry VM has done for a team since its start.
type Team struct {
	// Name is the team; empty for the sum of several, whose number is Others.
	Name   string `json:"name,omitempty"`
	Others int    `json:"others,omitempty"`
	// Served are the requests that a replica may have run, and RefusedByCap those refused by the usage cap.
	Served       uint64 `json:"served"`
	RefusedByCap uint64 `json:"refusedByCap"`
	// Waiting are the requests that wait for a replica now. Share is the team's part of the
	// requests of teams that replicas run for this VM now.
	Waiting int     `json:"waiting"`
	Share   float64 `json:"share"`
}

// Freshness says whether the VM may serve keys. Age is the time since its desired state was proven to be the newest, in seconds,
// and Limit the age up to which keys are served; Known is false while the VM has had no proof.
type Freshness struct {
	Fresh bool    `json:"fresh"`
	Known bool    `json:"known"`
	Age   float64 `json:"ageSeconds"`
	Limit float64 `json:"limitSeconds"`
}

// Table is the watch of one table of the store.
type Table struct {
	Name string `json:"name"`
	// Changed is the version of the last change received, and Failing how long the watch has been failing, in seconds.
	Changed uint64  `json:"changed"`
	Failing float64 `json:"failingSeconds"`
}

// Service is a service with its replicas. Load is the number of requests in flight on the replicas, on behalf of any
// entry VM, divided by the number of their slots.
type Service struct {
	Name     string    `json:"name"`
	Load     float64   `json:"load"`
	Replicas []Replica `json:"replicas"`
}

// Replica is the state of one replica as seen by the entry VM. Out is why it is out of rotation, and empty if it is not.
type Replica struct {
	ID       string `json:"id"`
	Domain   string `json:"domain"`
	Out      string `json:"out,omitempty"`
	InFlight int    `json:"inFlight"`
	// Failures is the number of recent failures, where older ones weigh less.
	Failures float64 `json:"failures"`
	// DelayMs is the usual time to the first byte, in milliseconds.
	DelayMs float64 `json:"delayMs"`
	// Suspected says that the replica is suspected of hanging and gets only probes.
	Suspected bool `json:"suspected,omitempty"`
	// Slowness is how long work takes on the machine at present, and UsualSlowness apart from spells, both as multiples of the usual.
	// They are 0 if the replica reports none.
	Slowness      float64 `json:"slowness,omitempty"`
	UsualSlowness float64 `json:"usualSlowness,omitempty"`
	// Limit is the limit of requests in flight there of all entry VMs, and LimitReason why there is one, empty if there is none.
	Limit       int    `json:"limit,omitempty"`
	LimitReason string `json:"limitReason,omitempty"`
}

// Peer is another entry VM as seen by this one.
type Peer struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Live    bool   `json:"live"`
	Ready   bool   `json:"ready"`
	StoreOK bool   `json:"storeOk"`
}

var client = &http.Client{Transport: hgtransport.New(&http.Transport{Proxy: http.ProxyFromEnvironment})}

// Get fetches the status of the entry VM that serves its metrics at the address.
func Get(ctx context.Context, address string) (s Status, err error) {
	defer func() { err = trace.Wrap(err, "status of %s", address) }()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return s, err
	}
	resp, err := client.Do(r)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, trace.BadParameter("entry VM answered with HTTP status %s", resp.Status)
	}
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// Write prints the status as a table.
func (s Status) Write(w io.Writer) (err error) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer func() { err = t.Flush() }()
	inForce := time.Duration(s.InForce * float64(time.Second)).Round(time.Millisecond)
	fmt.Fprintf(t, "%s in %s: ready %t, stopping %t, store %t, %d requests, %d programs\n", s.VM, s.Domain, s.Ready, s.Stopping, s.StoreOK, s.Running, s.Programs)
	fmt.Fprintf(t, "desired state %d, in force for %s; placer %s\n", s.Version, inForce, s.Placer)
	if f := s.Freshness; f != nil {
		fmt.Fprintf(t, "keys served %t: desired state proven newest %t, %.1f s ago, limit %.1f s\n", f.Fresh, f.Known, f.Age, f.Limit)
	}
	for _, table := range s.Tables {
		fmt.Fprintf(t, "table\t%s\tversion %d\tfailing for %.1f s\n", table.Name, table.Changed, table.Failing)
	}
	for _, service := range s.Services {
		fmt.Fprintf(t, "service\t%s\tload %.2f\n", service.Name, service.Load)
		for _, r := range service.Replicas {
			state := "in"
			switch {
			case r.Out != "":
				state = "out: " + r.Out
			case r.Suspected:
				state = "suspected of hanging"
			}
			slowness := ""
			if r.UsualSlowness > 0 {
				slowness = fmt.Sprintf("\tslowness %.1f, usually %.1f", r.Slowness, r.UsualSlowness)
			}
			if r.LimitReason != "" {
				slowness += fmt.Sprintf("\tlimit %d: %s", r.Limit, r.LimitReason)
			}
			fmt.Fprintf(t, "  replica\t%s\t%s\t%s\t%d requests\t%.1f failures\t%.0f ms%s\n", r.ID, r.Domain, state, r.InFlight, r.Failures, r.DelayMs, slowness)
		}
	}
	for _, v := range s.Teams {
		name := v.Name
		if v.Others > 0 {
			name = fmt.Sprintf("%d others", v.Others)
		}
		fmt.Fprintf(t, "team\t%s\t%d served\t%d over their cap\t%d waiting\t%.0f%% of slots\n", name, v.Served, v.RefusedByCap, v.Waiting, v.Share*100)
	}
	for _, p := range s.Peers {
		fmt.Fprintf(t, "peer\t%s\t%s\tlive %t\tready %t\tstore %t\n", p.Name, p.Domain, p.Live, p.Ready, p.StoreOK)
	}
	return nil
}
