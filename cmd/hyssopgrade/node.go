package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/samber/do/v2"
	"github.com/urfave/cli/v3"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/peer/hgnode"
	"hyssopgrade/internal/serve/hgmemory"
)

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE` in TOML, such as examples/node.toml", Required: true}
}

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name: "node", Usage: "run a node until SIGTERM or SIGINT, then drain it; a second signal ends it and says what it cuts",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			return runNode(c.String("config"))
		},
	}
}

// runNode runs a node until the first signal to stop, then drains it for at most the setting limits.drainMs; a second signal
// ends the drain.
func runNode(path string) (err error) {
	cfg, err := hgconfig.Read(path)
	if err != nil {
		return err
	}
	keys, err := hgnode.ReadKeys(cfg)
	if err != nil {
		return err
	}
	log, err := hglog.New(os.Stderr, cfg.Log.Format, cfg.Log.Level)
	if err != nil {
		return err
	}
	if cfg.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.Limits.MemoryMB) * (1 << 20) * hgmemory.RuntimeShare))
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	n, err := do.Invoke[*hgnode.Node](hgnode.NewInjector(cfg, keys, log, hgnode.BuildInfo{Version: version}))
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), hgconfig.Milliseconds(cfg.Limits.DrainMs))
	defer cancel()
	go func() {
		<-signals
		log.Warn("second stop signal received; ending the drain", "callsCut", n.Running())
		cancel()
	}()
	err = n.Drain(ctx)
	n.Close()
	return err
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "work with settings",
		Commands: []*cli.Command{{
			Name: "check", Usage: "check a settings file without starting", Flags: []cli.Flag{settingsFlag(), &cli.BoolFlag{Name: "entry", Usage: "the settings are those of an entry VM"}},
			Action: func(_ context.Context, c *cli.Command) error {
				if c.Bool("entry") {
					return checkEntry(c.String("config"))
				}
				cfg, err := hgconfig.Read(c.String("config"))
				if err != nil {
					return err
				}
				fmt.Printf("settings of node %s are good: %d endpoints, %d shards\n", cfg.Node.ID, len(cfg.Endpoint), cfg.Node.Shards)
				return nil
			},
		}},
	}
}

func checkEntry(path string) (err error) {
	cfg, err := hgconfig.ReadEntry(path)
	if err != nil {
		return err
	}
	fmt.Printf("settings of entry VM %s in %s are good: store at %s, callers at %s\n", cfg.VM.Name, cfg.VM.Domain, cfg.Store.Address, cfg.Listen.Public)
	return nil
}
