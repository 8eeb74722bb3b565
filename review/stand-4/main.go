// Command stand-4 runs the cases of the third sitting of the second review: it starts entry VMs as processes, with a store, replicas and callers beside
// them, and checks one rule of the platform.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/proof/hgsite"
)

// Exit codes of a case.
const (
	held = iota
	broken
	failedToRun
)

// vm is an entry VM that runs as a process and is started again after it ended, as the platform does.
type vm struct {
	stand *stand
	cfg   hgconfig.EntryConfig

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	closed  bool
	peakKB  int
	overs   int
	exits   int
	started time.Time
}

// stand is a site whose entry VMs are processes.
type stand struct {
	site     *hgsite.Site
	vms      []*vm
	dir      string
	binary   string
	store    string
	replicas *replicas
	trouble  bool
	// receiveBytes is the size of the receive buffers of replicas; 0 leaves it to the system.
	receiveBytes int

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

func (s *stand) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// addVMs starts n entry VMs with the memory of a small deployment.
func (s *stand) addVMs(n int, change func(cfg *hgconfig.EntryConfig)) (err error) {
	for range n {
		cfg, err := s.site.AddConfig(s.store)
		if err != nil {
			return err
		}
		cfg.VM.MemoryMB, cfg.VM.MaxDescriptors, cfg.VM.CPUShare = 154, 8200, 0.8
		cfg.VM.Domains = hgsite.Domains
		if change != nil {
			change(&cfg)
		}
		s.site.Configs[len(s.site.Configs)-1] = cfg
		s.vms = append(s.vms, &vm{stand: s, cfg: cfg})
	}
	for _, v := range s.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

func (v *vm) start() (err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var settings bytes.Buffer
	if err := toml.NewEncoder(&settings).Encode(v.cfg); err != nil {
		return err
	}
	path := filepath.Join(v.stand.dir, v.cfg.VM.Name+".toml")
	if err := os.WriteFile(path, settings.Bytes(), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(v.stand.dir, v.cfg.VM.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(v.stand.binary, "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOGC=200", "HYSSOPGRADE_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cfg.VM.FirstStart = false
	v.cmd, v.ended, v.started = cmd, make(chan struct{}), time.Now()
	go v.wait(cmd, v.ended)
	return nil
}

func (v *vm) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	close(ended)
	v.mu.Lock()
	closed := v.closed
	v.exits++
	v.mu.Unlock()
	if closed {
		return
	}
	v.stand.log("%s ended: %v", v.cfg.VM.Name, err)
	time.Sleep(200 * time.Millisecond)
	if err := v.start(); err != nil {
		v.stand.log("%s not started: %v", v.cfg.VM.Name, err)
	}
}

// stop ends the process for good.
func (v *vm) stop() {
	v.mu.Lock()
	v.closed = true
	cmd, ended := v.cmd, v.ended
	v.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-ended
	}
}

// restart stops the process as the platform does for planned work, with SIGTERM, and returns once the next one has started.
func (v *vm) restart() {
	v.mu.Lock()
	cmd, ended := v.cmd, v.ended
	v.mu.Unlock()
	v.stand.log("SIGTERM to %s", v.cfg.VM.Name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	<-ended
	for {
		v.mu.Lock()
		next := v.cmd
		v.mu.Unlock()
		if next != cmd {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// residentKB returns the resident memory of the process.
func (v *vm) residentKB() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kb, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	v.peakKB = max(v.peakKB, kb)
	return kb
}

// enforceMemory kills processes that exceed their memory, as the platform does, until the context ends.
func (s *stand) enforceMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range s.vms {
			if kb := v.residentKB(); kb > int(v.cfg.VM.MemoryMB)<<10 {
				v.mu.Lock()
				v.overs++
				ended := v.ended
				_ = v.cmd.Process.Signal(syscall.SIGKILL)
				v.mu.Unlock()
				<-ended
				s.log("%s killed by the platform: %d KB resident of %g MB, %.1f s after its start", v.cfg.VM.Name, kb, v.cfg.VM.MemoryMB, time.Since(v.started).Seconds())
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// waitServing waits until each VM serves a plain request.
func (s *stand) waitServing(ctx context.Context) error {
	for i := range s.vms {
		for {
			c, cancel := context.WithTimeout(ctx, time.Second)
			reply, err := s.site.Call(c, i, hgsite.Request{Path: hgsite.CheckPath + "x", Method: "GET"})
			cancel()
			if err == nil && reply.Status == 200 {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("VM %d does not serve: %v %d", i, err, reply.Status)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func main() {
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/hyssopgrade", "program under test")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(run(*name, *binary, *record))
}

func run(name, binary, path string) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return failedToRun
	}
	defer os.RemoveAll(dir)
	f, err := os.Create(path)
	if err != nil {
		fmt.Println(err)
		return failedToRun
	}
	defer f.Close()
	s := &stand{dir: dir, binary: binary, trouble: os.Getenv("TROUBLE") != "0", record: f, began: time.Now()}
	if d := os.Getenv("KEEP"); d != "" {
		s.dir = d
	}
	if s.site, err = hgsite.NewSite(0, nil); err != nil {
		fmt.Println(err)
		return failedToRun
	}
	defer s.site.Close()
	if name == "slowread" {
		s.receiveBytes = slowReceiveBytes
	}
	store, srv, err := serveStore(s.site.Store)
	if err != nil {
		fmt.Println(err)
		return failedToRun
	}
	defer srv.Close()
	s.store = store
	if s.replicas, err = serveReplicas(s); err != nil {
		fmt.Println(err)
		return failedToRun
	}
	defer func() {
		for _, v := range s.vms {
			v.stop()
		}
	}()
	play, ok := cases[name]
	if !ok {
		fmt.Println("no case", name)
		return failedToRun
	}
	verdict, err := play(s)
	if err != nil {
		s.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		return failedToRun
	}
	s.log("verdict %d", verdict)
	return verdict
}

var cases = map[string]func(s *stand) (int, error){}
