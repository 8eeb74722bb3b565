package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// A case plays its events on a site and returns what broke its rule. An error means that it could not run.
type reviewCase struct {
	// perZone is the number of machines in each of the three zones.
	perZone int
	// prepare starts the servers and writes the desired state.
	prepare func(s *site) error
	// play runs the case, without the disruption unless trouble is set.
	play func(s *site, trouble bool) (violations []string, err error)
}

var cases = map[string]reviewCase{
	"split":    splitCase,
	"majority": majorityCase,
	"input":    inputCase,
	"outage":   outageCase,
}

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// runLimit ends a case that hangs.
var runLimit = 110 * time.Second

func main() { os.Exit(runCase()) }

func runCase() (code int) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review CASE DIR")
		return exitFailed
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		return exitFailed
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	s, err := newSite(rec)
	if err != nil {
		rec.say("could not run: %v", err)
		return exitFailed
	}
	defer s.close()
	done := make(chan int, 1)
	go func() { done <- s.run(c, os.Getenv("TROUBLE") != "0") }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case code := <-done:
		return code
	case <-stop:
		rec.say("could not run: stopped by a signal")
	case <-time.After(runLimit):
		rec.say("could not run: not done after %v", runLimit)
	}
	return exitFailed
}

// run prepares the site and plays the case.
func (s *site) run(c reviewCase, trouble bool) (code int) {
	if err := c.prepare(s); err != nil {
		s.rec.say("could not run: %v", err)
		return exitFailed
	}
	if err := s.startVMs(c.perZone); err != nil {
		s.rec.say("could not run: %v", err)
		return exitFailed
	}
	s.rec.say("traffic begins, disruption: %v", trouble)
	violations, err := c.play(s, trouble)
	if err != nil {
		s.rec.say("could not run: %v", err)
		return exitFailed
	}
	for _, v := range violations {
		s.rec.say("BROKEN: %s", v)
	}
	if len(violations) > 0 {
		return exitBroken
	}
	s.rec.say("the rule held")
	return exitHeld
}
