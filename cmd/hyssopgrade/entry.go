package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/operate/hgentryvm"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/operate/hgsignal"
	"hyssopgrade/internal/serve/hgmemory"
)

// settingsEnv is the environment variable with the path of the settings file; the users' platform sets it.
const settingsEnv = "HYSSOPGRADE_SETTINGS"

// logQueueLines is the number of log lines that may wait for a slow output; further ones are dropped and counted.
const logQueueLines = 4096

func entryCommand() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "run an entry VM of the users' platform until SIGTERM",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE` in TOML", Sources: cli.EnvVars(settingsEnv), Required: true,
		}},
		Action: func(ctx context.Context, c *cli.Command) error { return runEntry(ctx, c.String("config")) },
	}
}

// runEntry runs an entry VM until ctx ends. ctx ends at the first signal to stop, also at one that arrives during the start.
func runEntry(ctx context.Context, path string) (err error) {
	cfg, err := hgconfig.ReadEntry(path)
	if err != nil {
		return err
	}
	out := hglog.NewWriter(os.Stdout, logQueueLines)
	defer out.Close()
	log, err := hglog.New(out, cfg.Log.Format, cfg.Log.Level)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(cfg.VM.MemoryMB * (1 << 20) * hgmemory.RuntimeShare))
	n, err := hgentryvm.NewNode(cfg, log)
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
		case <-hgsignal.Hangups:
			log.Info("SIGHUP ignored: the settings file is read only when the process starts")
		}
	}
}
