package hgtimer

import (
	"context"
	"sync"
	"time"
)

// Timer tells monotonic time and runs subscribed functions.
type Timer interface {
	// Now returns the time since the timer was made; it never goes back.
	Now() time.Duration
	// Every runs fn once per period until the returned function is called; runs of one subscription never overlap.
	Every(period time.Duration, fn func(now time.Duration)) (stop func())
	// After runs fn once after d unless the returned function is called first.
	After(d time.Duration, fn func(now time.Duration)) (stop func())
	// String names the implementation.
	String() string
}

// Service is the Timer over the process's monotonic clock.
type Service struct {
	start  time.Time
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewService returns a running timer service.
func NewService() *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{start: time.Now(), ctx: ctx, cancel: cancel}
}

// Now returns the monotonic time since the service was made.
func (s *Service) Now() time.Duration { return time.Since(s.start) }

// Every runs fn once per period on a goroutine of its own.
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

// After runs fn once after d on a goroutine of its own.
func (s *Service) After(d time.Duration, fn func(now time.Duration)) (stop func()) {
	t := time.AfterFunc(d, func() {
		if s.ctx.Err() == nil {
			fn(s.Now())
		}
	})
	return func() { t.Stop() }
}

// Close stops all subscriptions and waits for periodic runs in progress.
func (s *Service) Close() {
	s.cancel()
	s.wg.Wait()
}

// String names the implementation.
func (s *Service) String() string { return "monotonic" }
