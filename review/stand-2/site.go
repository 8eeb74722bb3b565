package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/proof/hgloopback"
	hgplatform "hyssopgrade/platform"
)

// site is a small deployment: the platform's store, replicas and entry VMs.
type site struct {
	binary, dir, logs string
	rec               *record
	memory            *hgstore.Memory
	store             *http.Server
	storeAddress      string
	replicas          []*replica
	vms               []*vm
	stopBeats         context.CancelFunc
}

// heartbeatTime is the pause between two writes of a replica's entry, as in the settings.
var heartbeatTime = 1200 * time.Millisecond

// zones are the zones of the deployment; machines and replicas are spread over them in turn.
var zones = []string{"z-a", "z-b", "z-c"}

// settleTime is the time for which a deployment is left alone before traffic comes.
var settleTime = 4 * time.Second

// deploy starts the store, engines like the given one and entry VMs, and waits until these are ready.
func (s *site) deploy(engineCount, machines int, engine func(id, zone string) *replica, state map[string]any) (err error) {
	if err := s.startStore(); err != nil {
		return err
	}
	for i := range engineCount {
		if err := s.addReplica(engine(fmt.Sprintf("i-engine-%d", i), zones[i%len(zones)])); err != nil {
			return err
		}
	}
	if err := s.setDesired(state); err != nil {
		return err
	}
	s.beat()
	for i := range machines {
		if err := s.addVM(fmt.Sprintf("edge-%d", i+1), zones[i%len(zones)]); err != nil {
			return err
		}
	}
	if err := s.waitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// startStore starts the project's own stand-in of the store.
func (s *site) startStore() (err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.memory, s.storeAddress = hgstore.NewMemory(), l.Addr().String()
	s.store = &http.Server{Handler: hgplatform.NewStoreHandler(s.memory)}
	go func() { _ = s.store.Serve(l) }()
	return nil
}

// put writes a row as the operator or a replica does.
func (s *site) put(key string, value any) (err error) {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err = s.memory.Commit(ctx, hgstore.Txn{Puts: []hgstore.Put{{Key: key, Value: data}}})
	return err
}

// setDesired writes a desired state.
func (s *site) setDesired(state map[string]any) error {
	s.rec.add("desired state %v sent", state["version"])
	return s.put("op//config", state)
}

// addReplica starts a replica and registers it.
func (s *site) addReplica(r *replica) (err error) {
	if err := r.start(s.rec); err != nil {
		return err
	}
	s.replicas = append(s.replicas, r)
	return s.put("servers//"+r.id, r.entry())
}

// beat keeps the entries of the replicas fresh.
func (s *site) beat() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stopBeats = cancel
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(heartbeatTime):
			}
			for _, r := range s.replicas {
				if err := s.put("servers//"+r.id, r.entry()); err != nil {
					return
				}
			}
		}
	}()
}

// addVM starts an entry VM.
func (s *site) addVM(name, zone string) (err error) {
	a, err := hgloopback.FreeAddresses(5)
	if err != nil {
		return err
	}
	v := &vm{site: s, name: name, zone: zone, memoryMB: machineMB, public: a[0], ready: a[1], directory: a[2], peer: a[3], metrics: a[4], first: true}
	s.vms = append(s.vms, v)
	return v.start()
}

// waitReady waits until all entry VMs answer the platform's check.
func (s *site) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, v := range s.vms {
		for !v.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (s *site) close() {
	if s.stopBeats != nil {
		s.stopBeats()
	}
	for _, v := range s.vms {
		v.end()
	}
	for _, r := range s.replicas {
		r.close()
	}
	if s.store != nil {
		if err := s.store.Close(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.rec.add("store: %v", err)
		}
	}
}
