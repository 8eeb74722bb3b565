package hghostile_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/BurntSushi/toml"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/proof/hgsite"
)

const (
	// memoryMB is the memory of the VM under test, and maxDescriptors the number of its descriptors. Both are small, so that a
	// crowd of hundreds of clients exceeds them if nothing bounds it.
	memoryMB       = 64
	maxDescriptors = 256
	// answerLimit is how long the process may need to answer an ordinary request again. It is long, as the machine may be loaded.
	answerLimit = 60 * time.Second
	// settleTime is how long a crowd stays connected before the check, so that the process has read what the system holds for it.
	settleTime = 3 * time.Second
	// samplePeriod is the time between two counts of open descriptors.
	samplePeriod = 10 * time.Millisecond
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hghostile")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "hyssopgrade")
	if out, err := exec.Command("go", "build", "-o", binary, "hyssopgrade/cmd/hyssopgrade").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a process of the system under test.
type process struct {
	// ask sends an ordinary request and returns what is wrong with the answer; "" if it is complete.
	ask    func(ctx context.Context) (fault string)
	pid    int
	exited chan struct{}
	// exit is the error of the process's end; it is set once exited is closed.
	exit   error
	stderr bytes.Buffer
	// memoryMB and maxDescriptors are what its VM allows.
	memoryMB, maxDescriptors int
	// descriptors is the largest number of open descriptors that was seen.
	descriptors atomic.Int64
}

// vm is an entry VM that runs as a process of its own.
type vm struct {
	*process
	site *hgsite.Site
	cfg  hgconfig.EntryConfig
}

// startVM starts a store, replicas and the process of one entry VM, and waits until it serves.
func startVM(t *testing.T) *vm { return startVMOf(t, memoryMB) }

// startVMOf is startVM for a VM with the given memory.
func startVMOf(t *testing.T, memory float64) *vm { return startVMs(t, 1, memory, maxDescriptors)[0] }

// startVMs is startVM for several VMs of one site, each with the given memory and descriptors.
func startVMs(t *testing.T, n int, memory, descriptors float64) (vms []*vm) {
	t.Helper()
	s, err := hgsite.NewSite(0, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for i := range n {
		cfg, err := s.AddConfig(s.StoreAddress())
		if err != nil {
			t.Fatal(err)
		}
		cfg.VM.MemoryMB, cfg.VM.MaxDescriptors = memory, descriptors
		vms = append(vms, &vm{site: s, cfg: cfg, process: startProcess(t, "entry", cfg, int(memory), int(descriptors), func(ctx context.Context) (fault string) {
			q := hgsite.Turn(hgsite.CheckPath, "ordinary", "", "x")
			q.NewConn = true
			reply, err := s.Call(ctx, i, q)
			switch {
			case err != nil:
				return err.Error()
			case reply.Status != http.StatusOK || !reply.Complete:
				return fmt.Sprintf("status %d: %.100s", reply.Status, reply.Body)
			}
			return ""
		}, deployedGOGC)})
	}
	return vms
}

// deployedGOGC is the setting of the garbage collector of deploy/system.toml.
const deployedGOGC = "GOGC=200"

// startProcess starts the program with the command and the settings of a VM with the given memory and descriptors, and waits until it
// answers.
func startProcess(t *testing.T, command string, cfg any, memory, descriptors int, ask func(ctx context.Context) string, env ...string) *process {
	t.Helper()
	p := &process{ask: ask, exited: make(chan struct{}), memoryMB: memory, maxDescriptors: descriptors}
	var settings bytes.Buffer
	if err := toml.NewEncoder(&settings).Encode(cfg); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, settings.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, command, "--config", path)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stderr = &p.stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.pid = cmd.Process.Pid
	go func() {
		p.exit = cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // an error means that it has exited
		<-p.exited
	})
	p.checkAnswers(t)
	go p.sample()
	return p
}

// sample keeps the peak of the number of open descriptors until the process exits.
func (p *process) sample() {
	for {
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid)); err == nil {
			p.descriptors.Store(max(p.descriptors.Load(), int64(len(open))))
		}
		select {
		case <-p.exited:
			return
		case <-time.After(samplePeriod):
		}
	}
}

// residentMB returns the peak of the process's resident memory (VmRSS), which the system keeps as VmHWM.
func (p *process) residentMB(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest + " 0")[0])
	if err != nil {
		t.Fatal(err)
	}
	return kb >> 10
}

// checkAnswers checks that an ordinary request is answered, while the clients of the crowd stay connected.
func (p *process) checkAnswers(t *testing.T) {
	t.Helper()
	last := "no answer"
	for end := time.Now().Add(answerLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-p.exited:
			t.Fatalf("the process exited: %v: %.2000s", p.exit, p.stderr.String())
		default:
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		last = p.ask(ctx)
		cancel()
		if last == "" {
			return
		}
	}
	t.Errorf("no ordinary request was answered: %s", last)
}

// check checks that the process lives, serves, and has stayed within the memory and the descriptors of its VM.
func (p *process) check(t *testing.T) {
	t.Helper()
	time.Sleep(settleTime)
	p.checkAnswers(t)
	resident, descriptors := p.residentMB(t), p.descriptors.Load()
	t.Logf("peaks: %d MB resident, %d descriptors", resident, descriptors)
	if resident > p.memoryMB {
		t.Errorf("%d MB resident, want %d at most", resident, p.memoryMB)
	}
	if descriptors > int64(p.maxDescriptors) {
		t.Errorf("%d descriptors open, want %d at most", descriptors, p.maxDescriptors)
	}
}
