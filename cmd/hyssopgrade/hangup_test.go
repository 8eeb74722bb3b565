package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// startupTime is the time in which the Go runtime reaches main; a signal before that cannot be caught.
const startupTime = 30 * time.Millisecond

// Guards against a SIGHUP that ends the process because it arrives soon after the start, while the settings are being read.
func TestHangUpAtStart(t *testing.T) {
	dir := t.TempDir()
	binary := build(t, dir)
	// Reading the settings from a named pipe without a writer blocks the process in its start.
	fifo := filepath.Join(dir, "settings")
	if err := syscall.Mkfifo(fifo, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, "entry", "--config", fifo)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	time.Sleep(10 * startupTime)
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-done:
		t.Errorf("the process ended: %v", err)
	case <-time.After(10 * startupTime):
		_ = cmd.Process.Signal(os.Kill)
		<-done
	}
}

// Guards against a SIGHUP that ends the process while packages that do not matter for it are initialized.
func TestHangUpIsCaughtBeforeOtherPackages(t *testing.T) {
	cmd := exec.Command(build(t, t.TempDir()), "version")
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatal(err)
	}
	caught := bytes.Index(out, []byte("init hyssopgrade/internal/operate/hgsignal "))
	for _, other := range []string{"net/http", "github.com/prometheus/client_golang/prometheus"} {
		if i := bytes.Index(out, []byte("init "+other+" ")); caught < 0 || caught > i {
			t.Errorf("SIGHUP is caught after the initialization of %s: offsets %d and %d", other, caught, i)
		}
	}
}

// build builds the command and returns the path of its binary.
func build(t *testing.T, dir string) (binary string) {
	t.Helper()
	binary = filepath.Join(dir, "hyssopgrade")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}
