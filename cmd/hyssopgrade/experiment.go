package main

import (
	"context"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"hyssopgrade/internal/proof/hgmodel"
)

func experimentCommand() *cli.Command {
	policies, loads := slices.Sorted(maps.Keys(hgmodel.Policies)), slices.Sorted(maps.Keys(hgmodel.Workloads))
	return &cli.Command{
		Name: "experiment", Usage: "play placing policies on model engines in virtual time and compare them",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "policy", Value: policies, Usage: "policies: " + strings.Join(policies, ", ")},
			&cli.StringSliceFlag{Name: "load", Value: []string{"derwentGrown"}, Usage: "loads: " + strings.Join(loads, ", ")},
			&cli.FloatSliceFlag{Name: "rate", Value: []float64{0.5, 0.7, 0.85, 1}, Usage: "multiples of the load's rate"},
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of seeds, from 1 on"},
			&cli.StringFlag{Name: "plot", Usage: "`FILE` for a plot, such as worth.svg; one load only"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return experiment(c) },
	}
}

// experiment plays each policy on each load at each rate and prints the means over the seeds.
func experiment(c *cli.Command) (err error) {
	e := hgmodel.Experiment{Seeds: c.Int("seeds")}
	for _, name := range c.StringSlice("policy") {
		policy, ok := hgmodel.Policies[name]
		if !ok {
			return trace.BadParameter("policy %q", name)
		}
		e.Policies = append(e.Policies, policy)
	}
	for _, name := range c.StringSlice("load") {
		load, ok := hgmodel.Workloads[name]
		if !ok {
			return trace.BadParameter("load %q", name)
		}
		e.Workloads = append(e.Workloads, lo.Map(c.FloatSlice("rate"), func(r float64, _ int) hgmodel.Workload { return load(r) })...)
	}
	if c.String("plot") != "" && len(c.StringSlice("load")) != 1 {
		return trace.BadParameter("a plot shows one load")
	}
	means := hgmodel.Means(e.Run())
	if c.String("plot") != "" {
		if err := hgmodel.Plot(c.String("plot"), means); err != nil {
			return err
		}
	}
	return hgmodel.Write(os.Stdout, means)
}
