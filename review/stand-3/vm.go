package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"hyssopgrade/internal/operate/hgconfig"
)

// vm is the process of an entry VM, started with the command of the deploy file.
type vm struct {
	cfg  hgconfig.EntryConfig
	cmd  *exec.Cmd
	done chan struct{}
}

// started holds all processes that were started.
var started struct {
	mu  sync.Mutex
	all []*vm
}

// killAll ends all processes that were started.
func killAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, v := range started.all {
		v.kill()
	}
}

// startVM writes the settings file to a folder and starts the process; its log goes beside the settings.
func startVM(dir string, cfg hgconfig.EntryConfig) (v *vm, err error) {
	var settings bytes.Buffer
	if err := toml.NewEncoder(&settings).Encode(cfg); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, cfg.VM.Name+".toml")
	if err := os.WriteFile(path, settings.Bytes(), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, cfg.VM.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	v = &vm{cfg: cfg, cmd: exec.Command("target/hyssopgrade", "entry"), done: make(chan struct{})}
	v.cmd.Env = append(os.Environ(), "HYSSOPGRADE_SETTINGS="+path, "GOGC=200")
	v.cmd.Stdout, v.cmd.Stderr = log, log
	if err := v.cmd.Start(); err != nil {
		return nil, err
	}
	started.mu.Lock()
	started.all = append(started.all, v)
	started.mu.Unlock()
	go func() {
		_ = v.cmd.Wait() // it ends by a signal
		close(v.done)
	}()
	return v, nil
}

// ready reports whether the VM answers the platform's question for its readiness with 200.
func (v *vm) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + v.cfg.Listen.Ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// kill ends the process.
func (v *vm) kill() {
	_ = v.cmd.Process.Signal(syscall.SIGKILL) // an error means that it has ended
	<-v.done
}

// awaitReady waits until all VMs are ready.
func awaitReady(vms []*vm, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range vms {
			if v.ready() {
				ready++
			}
		}
		if ready == len(vms) {
			return nil
		}
	}
	return fmt.Errorf("not all VMs are ready after %v", limit)
}
