// Command hyssopgrade runs a node or an entry VM of the scheduler, and has the operators' commands: status and presets of a
// running system, reading of its logs, replays of traces and comparisons of policies.
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

// version is the release that the command version prints and the OpenAPI page shows.
const version = "0.1.0"

// Exit codes, as the constant description documents them.
const (
	exitFailure   = 1
	exitUsage     = 2
	exitViolation = 3
	exitLostRace  = 4
	exitNotInTime = 5
)

// exitError is an error with its own exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the underlying error.
func (e *exitError) Error() string { return e.err.Error() }

const description = `Exit codes: 0 done; 1 failed; 2 wrong use or settings; 3 a replay found a violation;
4 another operator won the race for a preset; 5 a preset is not applied everywhere in time.`

func main() {
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
	os.Exit(exitCode(err))
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
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
