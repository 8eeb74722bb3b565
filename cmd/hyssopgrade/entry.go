package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/operate/hgedge"
	"hyssopgrade/internal/operate/hglog"
)

// settingsEnv names the settings file on the users' platform.
const settingsEnv = "HYSSOPGRADE_SETTINGS"

// logLines is the number of log lines that wait for the output; more are dropped and counted.
const logLines = 4096

// memoryShare is the part of the VM's memory that the garbage collector aims to stay below.
const memoryShare = 0.6

func entryCommand() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "run an entry VM of the users' platform until SIGTERM",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE` in TOML", Sources: cli.EnvVars(settingsEnv), Required: true,
		}},
		Action: func(ctx context.Context, c *cli.Command) error { return runEntry(ctx, c.String("config")) },
	}
}

// runEntry runs a node until the context ends, which is at the first signal to stop, also one during the start.
func runEntry(ctx context.Context, path string) (err error) {
	cfg, err := hgconfig.ReadEntry(path)
	if err != nil {
		return err
	}
	out := hglog.NewWriter(os.Stdout, logLines)
	defer out.Close()
	log, err := hglog.New(out, cfg.Log.Format, cfg.Log.Level)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(cfg.VM.MemoryMB * (1 << 20) * memoryShare))
	n, err := hgedge.NewNode(cfg, log)
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			n.Stop()
			return nil
		case <-hangups:
			log.Info("settings may have changed; what the node reads of them is fixed for its process")
		}
	}
}
