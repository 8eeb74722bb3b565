package hgentry

import (
	"context"
	"errors"
	"io"
	"runtime"
	"sync/atomic"
	"testing"
)

// endlessBody has bytes for every read and counts the reads.
type endlessBody struct{ reads int }

func (b *endlessBody) Read(p []byte) (n int, err error) {
	b.reads++
	return len(p), nil
}

func (b *endlessBody) Close() error { return nil }

func TestBodyIsNotReadPastDeadline(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	source := &endlessBody{}
	body := &replicaBody{ReadCloser: source, ctx: ctx}
	p := make([]byte, 512)
	if _, err := body.Read(p); err != nil {
		t.Fatal(err)
	}
	cancel()
	if n, err := body.Read(p); n != 0 || !errors.Is(err, context.Canceled) {
		t.Errorf("%d bytes and error %v, want none and %v", n, err, context.Canceled)
	}
	if source.reads != 1 {
		t.Errorf("%d reads, want 1", source.reads)
	}
}

// Guards against bodies that come faster than they are read, whose readers keep other goroutines from running.
func TestReaderOfEndlessBodyLetsOthersRun(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	body := &replicaBody{ReadCloser: &endlessBody{}, ctx: t.Context()}
	var ran atomic.Bool
	go ran.Store(true)
	if _, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, io.LimitReader(body, 8*yieldBytes), make([]byte, 512)); err != nil {
		t.Fatal(err)
	}
	if !ran.Load() {
		t.Error("no other goroutine ran")
	}
}
