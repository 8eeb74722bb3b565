package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	began time.Time
	mu    sync.Mutex
	f     *os.File
}

func newRecord(path string) (r *record, err error) {
	f, err := os.Create(path)
	return &record{began: time.Now(), f: f}, err
}

// printf adds a line, with the seconds since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.f.WriteString(line) // the line is printed too
	fmt.Print(line)
}

func (r *record) close() { _ = r.f.Close() }

// filef adds a line to the file only.
func (r *record) filef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%7.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...) // the result does not depend on it
}
