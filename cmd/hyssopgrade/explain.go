package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"hyssopgrade/internal/operate/hgexplain"
	"hyssopgrade/internal/operate/hgloss"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print the way of a request or a program through the logs of all VMs",
		ArgsUsage: "[LOG…] (standard input without one)",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "request", Aliases: []string{"r"}, Usage: "`ID` of an attempt or a program", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			return explain(c.Args().Slice(), c.String("request"))
		},
	}
}

func lossCommand() *cli.Command {
	return &cli.Command{
		Name: "loss", Usage: "split the time of programs by route and end, from the logs of all VMs",
		ArgsUsage: "[LOG…] (standard input without one)",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "seconds", Usage: "print the ends of programs by second, with the causes of late and failed ones"}},
		Action: func(_ context.Context, c *cli.Command) error {
			return withLogs(c.Args().Slice(), func(logs io.Reader) error {
				lines, err := hgexplain.Read(logs)
				if err != nil {
					return err
				}
				programs := hgloss.Programs(lines)
				if c.Bool("seconds") {
					return hgloss.WriteSeconds(os.Stdout, hgloss.Seconds(programs))
				}
				return hgloss.Write(os.Stdout, hgloss.Groups(programs))
			})
		},
	}
}

// explain prints all log lines about an attempt or a program.
func explain(paths []string, id string) (err error) {
	return withLogs(paths, func(logs io.Reader) error {
		lines, err := hgexplain.Find(logs, id)
		if err != nil {
			return err
		}
		if len(lines) == 0 {
			return trace.NotFound("no line about %q", id)
		}
		for _, l := range lines {
			fmt.Println(l)
		}
		return nil
	})
}

// withLogs calls do with the concatenation of the files, or with standard input if no file is named.
func withLogs(paths []string, do func(logs io.Reader) error) (err error) {
	var logs []io.Reader
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer f.Close()
		logs = append(logs, f)
	}
	return do(lo.Ternary[io.Reader](len(logs) == 0, os.Stdin, io.MultiReader(logs...)))
}
