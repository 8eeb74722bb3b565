// Command hyssopgradesoak runs entry VMs as processes on loopback under random faults.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"hyssopgrade/internal/proof/hgsoak"
)

func main() {
	cmd := &cli.Command{
		Name: "hyssopgradesoak", Usage: "run entry VMs as processes under random faults and check what callers and replicas see",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Usage: "the hyssopgrade `PROGRAM` under test", Required: true},
			&cli.UintFlag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.FloatFlag{Name: "minutes", Usage: "time under faults with each seed", Value: 1},
			&cli.FloatFlag{Name: "planned", Usage: "minutes of planned work only, before the faults", Value: 0.5},
			&cli.BoolFlag{Name: "membership", Usage: "also remove and replace entry VMs", Value: true},
			&cli.BoolFlag{Name: "tight", Usage: "also run threads with tight budgets", Value: true},
			&cli.IntFlag{Name: "vms", Usage: "number of entry VMs", Value: 3},
			&cli.IntFlag{Name: "callers", Usage: "number of callers", Value: 12},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hyssopgradesoak:", trace.UserMessage(err))
		os.Exit(1)
	}
}

// maxStartExits is the number of processes of a seed that a signal may end during their start, before they can catch it; with
// more the logs of the seed are kept.
const maxStartExits = 2

// run runs each seed in a directory of its own. It removes the directory unless there were violations or unusually many exits.
func run(ctx context.Context, c *cli.Command) (err error) {
	failedSeeds := 0
	for i := range c.Int("seeds") {
		dir, err := os.MkdirTemp("", "hyssopgradesoak")
		if err != nil {
			return err
		}
		seed := uint64(c.Uint("seed")) + uint64(i)
		r, err := hgsoak.Run(ctx, hgsoak.Options{
			Binary: c.String("binary"), Dir: dir, Seed: seed, For: time.Duration(c.Float("minutes") * float64(time.Minute)),
			Planned: time.Duration(c.Float("planned") * float64(time.Minute)), Membership: c.Bool("membership"), TightBudgets: c.Bool("tight"), VMs: c.Int("vms"), Callers: c.Int("callers"),
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d programs, answers %v, faults %v, %d violations\n", seed, r.Programs, r.Counts, r.Faults, len(r.Violations))
		for _, call := range r.Crossed {
			fmt.Println("  crossed:", call)
		}
		for _, exit := range r.Exits {
			fmt.Println("  exit:", exit)
		}
		if len(r.Violations) == 0 && r.Counts[hgsoak.UnexpectedExits] <= maxStartExits {
			_ = os.RemoveAll(dir)
			continue
		}
		fmt.Println("  logs:", dir)
		if len(r.Violations) == 0 {
			continue
		}
		failedSeeds++
		for _, v := range r.Violations {
			fmt.Println("  ", v)
		}
	}
	if failedSeeds > 0 {
		return trace.CompareFailed("%d seeds with violations", failedSeeds)
	}
	return nil
}
