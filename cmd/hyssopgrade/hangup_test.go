package main

import (
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
	binary := filepath.Join(dir, "hyssopgrade")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
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
