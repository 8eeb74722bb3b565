// Command hyssopgradestandin runs a test double of the platform, a model engine or a tool service as a process.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/proof/hgstandin"
)

func addressFlag() cli.Flag {
	return &cli.StringFlag{Name: "address", Usage: "IP `ADDRESS` and port to serve", Required: true}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := &cli.Command{
		Name: "hyssopgradestandin", Usage: "stand-ins for the outside systems; POST /fault sets faults, GET /record tells what was executed",
		Commands: []*cli.Command{platformCommand(), endpointCommand("engine"), endpointCommand("tool")},
	}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hyssopgradestandin:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform", Usage: "table service, object store and VM list",
		Flags: []cli.Flag{addressFlag(), &cli.StringFlag{Name: "vms", Usage: "`FILE` with the VM list in JSON"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			p, err := hgstandin.NewPlatform(c.String("address"))
			if err != nil {
				return err
			}
			defer p.Close()
			if path := c.String("vms"); path != "" {
				if err := setVMs(p, path); err != nil {
					return err
				}
			}
			<-ctx.Done()
			return nil
		},
	}
}

// setVMs reads the VM list from a JSON file into the platform's store.
func setVMs(p *hgstandin.Platform, path string) (err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	var vms []hgstore.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return trace.BadParameter("%s: %v", path, err)
	}
	p.Store.SetVMs(vms)
	return nil
}

// endpointCommand returns the command for one kind of endpoint; engine and tool run the same stand-in with the same flags.
func endpointCommand(name string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: "a " + name + " endpoint",
		Flags: []cli.Flag{
			addressFlag(),
			&cli.DurationFlag{Name: "token-time", Value: time.Millisecond, Usage: "time per generated token"},
			&cli.DurationFlag{Name: "prefill-time", Value: 20 * time.Microsecond, Usage: "time per prompt token that is not cached"},
			&cli.IntFlag{Name: "cache-tokens", Value: 200_000, Usage: "size of the prefix cache in tokens"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse requests with an old fencing number"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			e, err := hgstandin.NewEndpoint(c.String("address"), hgstandin.Options{
				TokenTime: c.Duration("token-time"), PrefillTime: c.Duration("prefill-time"),
				CacheTokens: c.Int("cache-tokens"), ChecksFencing: c.Bool("checks-fencing"),
			})
			if err != nil {
				return err
			}
			defer e.Close()
			<-ctx.Done()
			return nil
		},
	}
}
