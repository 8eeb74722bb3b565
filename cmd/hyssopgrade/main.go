// Command hyssopgrade runs a node of the scheduler and drives a running system.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

// version is the program's version.
const version = "0.1.0"

// Exit codes.
const (
	exitFailure   = 1
	exitUsage     = 2
	exitViolation = 3
	exitLostRace  = 4
	exitNotInTime = 5
)

// exitError ends the program with a code of its own.
type exitError struct {
	code int
	err  error
}

// Error returns the cause.
func (e *exitError) Error() string { return e.err.Error() }

const description = `Exit codes: 0 done; 1 failed; 2 wrong use or settings; 3 a replay found a violation;
4 another operator won the race for a preset; 5 a preset is not applied everywhere in time.`

// hangups are the signals that settings may have changed. They are caught before anything else, as by default they end
// the process.
var hangups = make(chan os.Signal, 1)

func main() {
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := &cli.Command{
		Name: "hyssopgrade", Usage: "scheduler for agent programs", Description: description, Version: version,
		Commands: []*cli.Command{nodeCommand(), entryCommand(), explainCommand(), lossCommand(), experimentCommand(), demoCommand(), replayCommand(), presetCommand(), statusCommand(), configCommand(), timesCommand(), versionCommand()},
	}
	err := cmd.Run(ctx, os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "hyssopgrade:", trace.UserMessage(err))
	os.Exit(code(err))
}

func code(err error) int {
	var e *exitError
	switch {
	case errors.As(err, &e):
		return e.code
	case trace.IsBadParameter(err), trace.IsNotFound(err):
		return exitUsage
	}
	return exitFailure
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version",
		Action: func(_ context.Context, _ *cli.Command) error {
			fmt.Println(version)
			return nil
		},
	}
}
