package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/proof/hgcell"
	"hyssopgrade/internal/proof/hgreplay"
	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/proof/hgstandin"
	"hyssopgrade/internal/serve/hgcaller"
)

func replayFlags() []cli.Flag {
	return []cli.Flag{
		&cli.FloatFlag{Name: "speed", Value: 1, Usage: "divide the pauses of the trace by `X`"},
		&cli.DurationFlag{Name: "deadline", Value: 30 * time.Second, Usage: "time for each call"},
		&cli.DurationFlag{Name: "patience", Value: time.Minute, Usage: "time in which a refused call comes back"},
		&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
	}
}

func replayOptions(c *cli.Command) (o hgreplay.Options, err error) {
	if c.Float("speed") <= 0 {
		return o, trace.BadParameter("speed %v: want more than 0", c.Float("speed"))
	}
	return hgreplay.Options{
		Speed: c.Float("speed"), Deadline: c.Duration("deadline"), RetryWindow: c.Duration("patience"), Progress: printProgress,
	}, nil
}

// progressSteps is the approximate number of progress lines of a replay.
const progressSteps = 10

// printProgress prints the number of ended programs, at each of about progressSteps steps.
func printProgress(done, all int) {
	step := max(all/progressSteps, 1)
	if done%step == 0 || done == all {
		fmt.Fprintf(os.Stderr, "%d of %d programs ended\n", done, all)
	}
}

func replayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "replay a recorded trace against a running system, as its callers would",
		UsageText: "hyssopgrade replay --trace FILE --node ADDRESS[,ADDRESS…] [--standin ADDRESS[,ADDRESS…]]",
		Flags: append(replayFlags(),
			&cli.StringFlag{Name: "trace", Usage: "trace `FILE` in JSON Lines, see docs/TRACES.md", Required: true},
			&cli.StringSliceFlag{Name: "node", Usage: "public `ADDRESS` of a node, such as 127.0.0.1:7400", Required: true},
			&cli.StringSliceFlag{Name: "standin", Usage: "`ADDRESS` of a stand-in whose record is checked"},
			&cli.StringFlag{Name: "prefix", Usage: "`TEXT` before each program's identifier, to replay a trace again"},
		),
		Action: runReplay,
	}
}

// runReplay replays a trace and checks its report against the records of the stand-ins, if any are named.
func runReplay(ctx context.Context, c *cli.Command) (err error) {
	opts, err := replayOptions(c)
	if err != nil {
		return err
	}
	opts.Prefix = c.String("prefix")
	programs, err := hgreplay.ReadFile(c.String("trace"))
	if err != nil {
		return err
	}
	client := hgcaller.NewClient(c.StringSlice("node")...)
	defer client.Close()
	r := hgreplay.NewReplay(client, opts).Run(ctx, programs)
	if standins := c.StringSlice("standin"); len(standins) > 0 {
		var executions []hgstandin.Execution
		for _, address := range standins {
			var list []hgstandin.Execution
			if err := client.Get(ctx, address, "/record", &list); err != nil {
				return err
			}
			executions = append(executions, list...)
			var waste hgstandin.Waste
			if err := client.Get(ctx, address, "/waste", &waste); err != nil {
				return err
			}
			r.AddWaste(waste)
		}
		r.CheckRecords(executions)
	}
	return printReport(c, r)
}

// printReport prints the report of a replay. If it has violations, the error is an *exitError.
func printReport(c *cli.Command, r *hgreplay.Report) (err error) {
	if c.Bool("json") {
		err = json.NewEncoder(os.Stdout).Encode(struct {
			*hgreplay.Report
			Latency hgreplay.Latency `json:"latency"`
			Wasted  float64          `json:"wastedShare"`
		}{r, r.Latency(), r.WastedShare()})
	} else {
		r.Print(os.Stdout)
	}
	if len(r.Violations) > 0 {
		return &exitError{code: exitViolation, err: fmt.Errorf("%d violations", len(r.Violations))}
	}
	return err
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run three nodes and stand-ins in one process and replay a shipped trace",
		Flags: append(replayFlags(),
			&cli.StringFlag{Name: "trace", Value: "derwent", Usage: "shipped trace, derwent or fjordbom"},
			&cli.BoolFlag{Name: "platform", Usage: "run entry VMs over the platform's store instead, and stop one of them in the middle"},
			&cli.StringFlag{Name: "log", Value: "error", Usage: "log level: debug, info, warn or error"},
		),
		Action: runDemo,
	}
}

const (
	// demoVMs and demoPrograms are the numbers of entry VMs and of programs in the demo on the platform.
	demoVMs      = 6
	demoPrograms = 60
	// demoReadyTimeout bounds the wait until all entry VMs of the demo are ready.
	demoReadyTimeout = 10 * time.Second
)

// runPlatformDemo plays programs over entry VMs and stops one of the VMs after a second. A program that failed is an error.
func runPlatformDemo(ctx context.Context, c *cli.Command) (err error) {
	log, err := hglog.New(os.Stderr, "text", c.String("log"))
	if err != nil {
		return err
	}
	site, err := hgsite.NewSite(demoVMs, log)
	if err != nil {
		return err
	}
	defer site.Close()
	if err := site.WaitReady(demoReadyTimeout); err != nil {
		return err
	}
	time.AfterFunc(time.Second, site.Nodes[1].Stop)
	played := site.Play(ctx, demoPrograms, 1)
	fmt.Println(played)
	if played.Done+played.Stopped < played.Programs {
		return &exitError{exitViolation, trace.CompareFailed("programs failed")}
	}
	return nil
}

// runDemo replays a shipped trace on a cell of nodes and stand-ins in this process.
func runDemo(ctx context.Context, c *cli.Command) (err error) {
	if c.Bool("platform") {
		return runPlatformDemo(ctx, c)
	}
	opts, err := replayOptions(c)
	if err != nil {
		return err
	}
	programs, err := hgreplay.Shipped(c.String("trace"))
	if err != nil {
		return err
	}
	log, err := hglog.New(os.Stderr, "text", c.String("log"))
	if err != nil {
		return err
	}
	cell, err := hgcell.NewCell(hgcell.DemoOptions(log))
	if err != nil {
		return err
	}
	defer cell.Close()
	if err := cell.WaitReady(); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "nodes %s\n", strings.Join(cell.Addresses(), " "))
	return printReport(c, cell.Replay(ctx, programs, opts))
}
