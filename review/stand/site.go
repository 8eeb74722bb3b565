package main

import (
	"fmt"
	"os"
	"time"
)

// zones are the zones of a small site.
var zones = []string{"tas-hobart", "tas-launceston", "tas-burnie"}

// site is a small site: a store, servers and machines.
type site struct {
	rec     *recorder
	store   *store
	servers []*server
	vms     []*vm
	dir     string
	// version is the version of the newest desired state.
	version int
}

// route is a route of the desired state.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"path_prefix"`
	Kind        string  `json:"kind"`
	TimeoutMs   int     `json:"timeout_ms"`
	TargetMs    int     `json:"target_latency_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service,omitempty"`
	Split       []share `json:"traffic_split,omitempty"`
	MaxAttempts int     `json:"max_attempts"`
	Retain      bool    `json:"retain"`
	RetainS     float64 `json:"retain_s,omitempty"`
	Sticky      bool    `json:"sticky"`
	Resumable   bool    `json:"resumable"`
	GapAimMs    int     `json:"gap_aim_ms,omitempty"`
}

// share is the part of a route's requests that a service gets.
type share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Paths of the routes.
const (
	keptPath = "/renewal/"
	chatPath = "/lodge/"
)

func turnRoute(name, path string, retain bool, service string) route {
	return route{
		Name: name, Host: host, PathPrefix: path, Kind: "streaming", TimeoutMs: 4000, TargetMs: 200, Service: service, MaxAttempts: 2,
		Retain: retain, RetainS: 60, Sticky: true, GapAimMs: 200,
	}
}

// newSite starts a store.
func newSite(rec *recorder) (s *site, err error) {
	s = &site{rec: rec}
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if s.store, err = newStore(); err != nil {
		return nil, err
	}
	return s, nil
}

// addServers starts a server of a kind in each zone.
func (s *site) addServers(k serverKind) (err error) {
	for _, zone := range zones {
		r := newServer(k, zone, s.store, s.rec)
		if err := r.start(); err != nil {
			return err
		}
		s.servers = append(s.servers, r)
	}
	return nil
}

// setDesired writes the next desired state.
func (s *site) setDesired(routes ...route) {
	s.version += 3
	var services []map[string]any
	seen := map[string]bool{}
	for _, r := range s.servers {
		k := r.kind
		if seen[k.service] {
			continue
		}
		seen[k.service] = true
		service := map[string]any{"name": k.service, "health_path": "/health", "max_conns": 160, "protocol": "h1", "tls": false}
		if k.tokensPerEvent > 0 {
			service["engine"] = map[string]any{
				"slots": k.slots, "kv_capacity": 116159, "kv_token_bytes": 163840, "link_mbps": 2900000.0, "tokens_per_event": k.tokensPerEvent,
				"models": []map[string]any{{"name": "m"}},
			}
		}
		services = append(services, service)
	}
	s.store.put("op", "config", map[string]any{
		"version": s.version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.rec.say("desired state %d is in the store", s.version)
}

// Times of the start: all machines have to be ready within startLimit, and traffic begins leadTime after that, as the pages
// give machines ten seconds.
var (
	startLimit = 15 * time.Second
	leadTime   = 6 * time.Second
)

// startVMs starts a number of machines in each zone and waits until they are ready.
func (s *site) startVMs(perZone int) (err error) {
	role, err := readRole()
	if err != nil {
		return err
	}
	// Each run has a loopback network of its own, so that runs at the same time do not take each other's ports.
	network := fmt.Sprintf("127.%d.%d", 1+randomInt(200), 1+randomInt(200))
	number := 0
	for range perZone {
		for _, zone := range zones {
			number++
			m, err := newVM(number, zone, network, s.dir, s.store, role)
			if err != nil {
				return err
			}
			if err := m.start(); err != nil {
				return err
			}
			s.vms = append(s.vms, m)
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(leadTime)
	return nil
}

// awaitReady waits until all machines that were not removed are ready.
func (s *site) awaitReady() error {
	deadline := time.Now().Add(startLimit)
	for _, m := range s.vms {
		for !m.removed && !m.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", m.name, startLimit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// runsByAttempt returns the runs of all servers by the attempt's identifier.
func (s *site) runsByAttempt() map[string][]run {
	runs := map[string][]run{}
	for _, r := range s.servers {
		for _, q := range r.allRuns() {
			runs[q.Attempt] = append(runs[q.Attempt], q)
		}
	}
	return runs
}

// close ends all processes and stand-ins.
func (s *site) close() {
	for _, m := range s.vms {
		m.kill()
	}
	for _, r := range s.servers {
		r.close()
	}
	_ = s.store.srv.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs are in", s.dir)
	}
}
