package hgsoak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/samber/lo"

	"hyssopgrade/internal/operate/hgconfig"
)

// process runs an entry VM as a child process.
type process struct {
	binary, dir string
	// node is the index of the VM's settings in the site.
	node atomic.Int64
	cfg  hgconfig.EntryConfig
	// onUnexpectedExit is called when the process exits by itself or fails while it stops, with its name, run time and end. A process
	// that exits by itself is started again.
	onUnexpectedExit func(vm string, ran time.Duration, err error)

	// generation counts starts and freezes, after which the process may have lost its state or let it expire.
	generation atomic.Int64
	// stoppedAt is the time of the last SIGTERM to a process that was not stopping.
	stoppedAt atomic.Pointer[time.Time]

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	stopping bool
	// removed reports whether the VM is gone for good.
	removed bool
}

// restartAfter is the delay before a process that exited by itself is started again.
const restartAfter = 200 * time.Millisecond

// maxStderrBytes is the part of a process's standard error that is reported, enough for the head of a panic.
const maxStderrBytes = 4 << 10

// start writes the settings file and starts the process, unless it is running.
func (p *process) start() (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || p.removed {
		return nil
	}
	var settings bytes.Buffer
	if err := toml.NewEncoder(&settings).Encode(p.cfg); err != nil {
		return err
	}
	path := filepath.Join(p.dir, p.cfg.VM.Name+".toml")
	if err := os.WriteFile(path, settings.Bytes(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.cfg.VM.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	var stderr bytes.Buffer
	cmd := exec.Command(p.binary, "entry", "--config", path)
	cmd.Stdout, cmd.Stderr = log, &stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	p.generation.Add(1)
	p.cmd, p.done, p.stopping, p.cfg.VM.FirstStart = cmd, make(chan struct{}), false, false
	go p.wait(p.cfg.VM.Name, cmd, &stderr, p.done)
	return nil
}

// wait waits until the process exits, and starts it again if it exited by itself.
func (p *process) wait(vm string, cmd *exec.Cmd, stderr *bytes.Buffer, done chan struct{}) {
	began := time.Now()
	err := cmd.Wait()
	if text := stderr.Bytes(); len(text) > 0 {
		err = fmt.Errorf("%w: %s", err, text[:min(len(text), maxStderrBytes)])
	}
	p.mu.Lock()
	p.cmd = nil
	stopping := p.stopping
	p.mu.Unlock()
	close(done)
	if stopping {
		if cmd.ProcessState.ExitCode() > 0 {
			p.onUnexpectedExit(vm, time.Since(began), err)
		}
		return
	}
	p.onUnexpectedExit(vm, time.Since(began), err)
	time.Sleep(restartAfter)
	if err := p.start(); err != nil {
		p.onUnexpectedExit(vm, 0, err)
	}
}

// remove ends the VM for good.
func (p *process) remove(s syscall.Signal) {
	p.mu.Lock()
	p.removed = true
	p.mu.Unlock()
	p.end(s, stopTimeout)
}

// replace starts a new VM, with a name and addresses of its own, in place of one that was removed.
func (p *process) replace(node int, cfg hgconfig.EntryConfig) error {
	p.mu.Lock()
	p.cfg, p.removed = cfg, false
	p.mu.Unlock()
	p.node.Store(int64(node))
	return p.start()
}

func (p *process) isRemoved() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.removed
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// end stops the process with a signal, waits for it to exit and kills it when the limit has passed.
func (p *process) end(s syscall.Signal, limit time.Duration) {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	if s == syscall.SIGTERM && !p.stopping {
		p.stoppedAt.Store(lo.ToPtr(time.Now()))
	}
	p.stopping = true
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	select {
	case <-done:
	case <-time.After(limit):
		_ = cmd.Process.Kill()
		<-done
	}
}
