package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// vm is the process of an entry VM, started with the command of the deploy file.
type vm struct {
	site                                    *site
	name, zone                              string
	memoryMB                                float64
	public, ready, directory, peer, metrics string

	mu     sync.Mutex
	first  bool
	cmd    *exec.Cmd
	exited chan struct{}
}

// settings returns the settings file as deploy/entry.toml.tmpl makes it.
func (v *vm) settings() string {
	var names []string
	for _, z := range zones {
		names = append(names, strconv.Quote(z))
	}
	return fmt.Sprintf(`[vm]
name = %q
domain = %q
domains = [%s]
memoryMb = %g
maxDescriptors = 8200
cpuShare = 0.8
cores = 1
firstStart = %t
[listen]
public = %q
ready = %q
directory = %q
peer = %q
metrics = %q
[store]
address = %q
writesPerSecond = 800
readsPerSecond = 2000
[bounds]
graceSeconds = 8
addressTtlSeconds = 5
`, v.name, v.zone, strings.Join(names, ","), v.memoryMB, v.first, v.public, v.ready, v.directory, v.peer, v.metrics, v.site.storeAddress)
}

func (v *vm) start() (err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	path := filepath.Join(v.site.dir, v.name+".toml")
	if err := os.WriteFile(path, []byte(v.settings()), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(v.site.binary, "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + v.site.dir, "HYSSOPGRADE_SETTINGS=" + path, "GOGC=200"}
	if v.site.logs != "" {
		out, err := os.OpenFile(filepath.Join(v.site.logs, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer out.Close()
		cmd.Stdout, cmd.Stderr = out, out
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.site.rec.add("%s started, bootstrap %t", v.name, v.first)
	exited := make(chan struct{})
	v.cmd, v.exited, v.first = cmd, exited, false
	go func() {
		_ = cmd.Wait() // the state of the process says how it ended
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, and with SIGKILL waits for its end.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	cmd, exited := v.cmd, v.exited
	v.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s) // an error means that the process has ended
	if s == syscall.SIGKILL {
		<-exited
	}
}

// hasExited reports whether the process has ended.
func (v *vm) hasExited() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.exited:
		return true
	default:
		return false
	}
}

func (v *vm) end() {
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + v.ready + "/v1/ready")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// anonMB returns the memory of the process without the pages of its program file, in units of 2^20 bytes.
func (v *vm) anonMB() float64 {
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kb, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(string(rest), "kB")), 64)
			if err != nil {
				return 0
			}
			return kb / 1024
		}
	}
	return 0
}
