package hgsoak

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"hyssopgrade/internal/operate/hgconfig"
)

// process runs an entry VM as a child process.
type process struct {
	binary, dir string
	cfg         hgconfig.EntryConfig
	// onUnexpectedExit is called with the process's run time when it exits by itself; the process is then started again.
	onUnexpectedExit func(ran time.Duration)

	// generation counts starts and freezes, after which the process may have lost its state or let it expire.
	generation atomic.Int64

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	stopping bool
}

// restartAfter is the delay before a process that exited by itself is started again.
const restartAfter = 200 * time.Millisecond

// start writes the settings file and starts the process, unless it is running.
func (p *process) start() (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
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
	out, err := os.OpenFile(filepath.Join(p.dir, p.cfg.VM.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binary, "entry", "--config", path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.generation.Add(1)
	p.cmd, p.done, p.stopping = cmd, make(chan struct{}), false
	go p.wait(cmd, out, p.done)
	return nil
}

// wait waits until the process exits, and starts it again if it exited by itself.
func (p *process) wait(cmd *exec.Cmd, out *os.File, done chan struct{}) {
	began := time.Now()
	_ = cmd.Wait()
	_ = out.Close()
	p.mu.Lock()
	p.cmd = nil
	unexpected := !p.stopping
	p.mu.Unlock()
	close(done)
	if !unexpected {
		return
	}
	p.onUnexpectedExit(time.Since(began))
	time.Sleep(restartAfter)
	if err := p.start(); err != nil {
		p.onUnexpectedExit(0)
	}
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
	done, running := p.done, p.cmd != nil
	p.stopping = true
	p.mu.Unlock()
	if !running {
		return
	}
	p.signal(s)
	select {
	case <-done:
	case <-time.After(limit):
		p.signal(syscall.SIGKILL)
		<-done
	}
}
