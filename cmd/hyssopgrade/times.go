package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"hyssopgrade/internal/operate/hgtimes"
)

func timesCommand() *cli.Command {
	return &cli.Command{
		Name: "times", Usage: "list the constants of time in a checkout, for docs/TIMES.md",
		Flags: []cli.Flag{&cli.StringFlag{Name: "source", Value: ".", Usage: "`FOLDER` of the checkout"}},
		Action: func(_ context.Context, c *cli.Command) error {
			constants, err := hgtimes.Find(c.String("source"))
			if err != nil {
				return err
			}
			return hgtimes.Write(os.Stdout, constants)
		},
	}
}
