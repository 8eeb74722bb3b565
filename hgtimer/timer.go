package hgtimer

import (
	"context"
	"sync"
	"time"
)

// Timer is a monotonic clock that runs functions periodically or after a delay.
type Timer interface {
	// Now returns the time since the timer was created; it never decreases.
	Now() time.Duration
	// Every runs fn once per period until stop is called. Runs of the same fn never overlap.
	Every(period time.Duration, fn func(now time.Duration)) (stop func())
	// After runs fn once after d unless stop is called first.
	After(d time.Duration, fn func(now time.Duration)) (stop func())
	// String returns the name of the implementation.
	String() string
}

// Service is the Timer that uses the process's monotonic clock.
type Service struct {
	start  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewService returns a Service whose clock starts at 0; Close stops it.
func NewService() *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{start: time.Now(), ctx: ctx, cancel: cancel}
}

// Now returns the monotonic time since the service was created.
func (s *Service) Now() time.Duration { return time.Since(s.start) }

// Every runs fn once per period on a separate goroutine.
func (s *Service) Every(period time.Duration, fn func(now time.Duration)) (stop func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.wg.Go(func() {
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				fn(s.Now())
			}
		}
	})
	return cancel
}

// After runs fn once after d on a separate goroutine.
func (s *Service) After(d time.Duration, fn func(now time.Duration)) (stop func()) {
	t := time.AfterFunc(d, func() {
		if s.ctx.Err() == nil {
			fn(s.Now())
		}
	})
	return func() { t.Stop() }
}

// Close stops all timers and waits for periodic functions in progress, but not for those started by After.
func (s *Service) Close() {
	s.cancel()
	s.wg.Wait()
}

// String returns the name of the implementation.
func (s *Service) String() string { return "monotonic" }
