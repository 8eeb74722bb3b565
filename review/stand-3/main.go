package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	notDone = 2
)

// caseLimit is the longest time that a case may take. After it, or after a signal, its processes are killed and it counts as not run.
var caseLimit = 110 * time.Second

func main() {
	cases := map[string]func(r *record, trouble bool) (broken bool, err error){"silent": runSilent, "budget": runBudget, "heads": runHeads, "part": runPart}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE RECORD")
		os.Exit(notDone)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notDone)
	}
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
		case <-time.After(caseLimit):
		}
		killAll()
		os.Exit(notDone)
	}()
	isBroken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	code := held
	switch {
	case err != nil:
		r.printf("not run: %v", err)
		code = notDone
	case isBroken:
		code = broken
	}
	r.printf("exit code %d", code)
	r.close()
	os.Exit(code)
}
