package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"hyssopgrade/hgpreset"
	"hyssopgrade/internal/operate/hgstatus"
	"hyssopgrade/internal/serve/hgcaller"
	"hyssopgrade/internal/serve/hgfront"
	"hyssopgrade/internal/serve/hgowner"
)

func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "node", Usage: "public `ADDRESS` of a node, such as 127.0.0.1:7400", Required: true},
		&cli.StringFlag{Name: "key-env", Value: "HYSSOPGRADE_OPERATOR_KEY", Usage: "environment `VARIABLE` with the operators' key"},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
}

// operatorClient returns a client with the operators' key from the environment.
func operatorClient(c *cli.Command) *hgcaller.Client {
	return hgcaller.NewOperator(os.Getenv(c.String("key-env")))
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func presetCommand() *cli.Command {
	return &cli.Command{
		Name: "preset", Usage: "list, show, create and choose presets",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the presets; * marks the one in force", Flags: operatorFlags(), Action: listPresets},
			{Name: "show", Usage: "print the preset in force and the version that each node applies", Flags: operatorFlags(), Action: showPreset},
			{
				Name: "create", Usage: "store a preset from a TOML file, such as hgpreset/presets/peak.toml under another name", ArgsUsage: "FILE",
				Flags: operatorFlags(), Action: createPreset,
			},
			{
				Name: "use", Usage: "put a preset in force and wait until each live node applies it", ArgsUsage: "NAME",
				Flags: append(operatorFlags(),
					&cli.StringFlag{Name: "by", Usage: "who chooses; the user's name without it"},
					&cli.DurationFlag{Name: "wait", Value: 20 * time.Second, Usage: "time to wait"}),
				Action: usePreset,
			},
		},
	}
}

func getPresets(ctx context.Context, client *hgcaller.Client, node string) (s hgfront.PresetStatus, err error) {
	return s, client.Get(ctx, node, "/v1/presets", &s)
}

func listPresets(ctx context.Context, c *cli.Command) (err error) {
	s, err := getPresets(ctx, operatorClient(c), c.String("node"))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(s.Names)
	}
	for _, n := range s.Names {
		fmt.Printf("%s %s\n", lo.Ternary(n == s.Current.Preset.Name, "*", " "), n)
	}
	return nil
}

func showPreset(ctx context.Context, c *cli.Command) (err error) {
	s, err := getPresets(ctx, operatorClient(c), c.String("node"))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(s)
	}
	fmt.Printf("preset %s, version %d, chosen by %s, confirmed %s ago\n", s.Current.Preset.Name, s.Current.Number, s.Current.By, s.Confirmed.Round(time.Millisecond))
	for _, m := range s.Members {
		fmt.Printf("  %-16s %-12s version %d%s\n", m.ID, m.Domain, m.PresetVersion, lo.Ternary(m.Live, "", " (not heard)"))
	}
	return nil
}

func createPreset(ctx context.Context, c *cli.Command) (err error) {
	if c.Args().Len() != 1 {
		return trace.BadParameter("want one file")
	}
	data, err := os.ReadFile(c.Args().First())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	p, err := hgpreset.Parse(string(data))
	if err != nil {
		return trace.Wrap(err, "%s", c.Args().First())
	}
	if err := operatorClient(c).Post(ctx, c.String("node"), "/v1/presets", p, &p); err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(p)
	}
	fmt.Printf("preset %s created\n", p.Name)
	return nil
}

func usePreset(ctx context.Context, c *cli.Command) (err error) {
	if c.Args().Len() != 1 {
		return trace.BadParameter("want the name of one preset")
	}
	client := operatorClient(c)
	var v hgpreset.Version
	body := map[string]string{"name": c.Args().First(), "by": operatorName(c.String("by"))}
	err = client.Post(ctx, c.String("node"), "/v1/presets/use", body, &v)
	if trace.IsCompareFailed(err) {
		return &exitError{code: exitLostRace, err: err}
	}
	if err != nil {
		return err
	}
	progress := io.Writer(os.Stdout)
	if c.Bool("json") {
		progress = os.Stderr
		if err := printJSON(v); err != nil {
			return err
		}
	}
	fmt.Fprintf(progress, "version %d accepted: preset %s by %s\n", v.Number, v.Preset.Name, v.By)
	return awaitPreset(ctx, client, progress, c.String("node"), v.Number, c.Duration("wait"))
}

// operatorName returns by, or the name of the user who runs the command if by is empty.
func operatorName(by string) string {
	if by != "" {
		return by
	}
	u, err := user.Current()
	if err != nil {
		return "operator"
	}
	return u.Username
}

// presetPollInterval is the time between two queries for the preset versions that the nodes apply.
const presetPollInterval = 250 * time.Millisecond

// awaitPreset waits until each live node applies a version. After wait it returns an *exitError that names the nodes that do
// not.
func awaitPreset(ctx context.Context, client *hgcaller.Client, w io.Writer, node string, number uint64, wait time.Duration) (err error) {
	end := time.Now().Add(wait)
	for {
		s, err := getPresets(ctx, client, node)
		if err != nil {
			return err
		}
		behind := lo.FilterMap(s.Members, func(m hgfront.MemberStatus, _ int) (string, bool) {
			return m.ID, m.Live && m.PresetVersion < number
		})
		fmt.Fprintf(w, "%d of %d nodes apply version %d\n", len(s.Members)-len(behind), len(s.Members), number)
		if len(behind) == 0 {
			return nil
		}
		if time.Now().After(end) {
			return &exitError{code: exitNotInTime, err: fmt.Errorf("version %d is not applied by %v", number, behind)}
		}
		time.Sleep(presetPollInterval)
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "describe a node and its cell, or one program",
		Flags: append(statusFlags(), &cli.StringFlag{Name: "program", Usage: "identifier of a program"}),
		Action: func(ctx context.Context, c *cli.Command) (err error) {
			switch {
			case c.String("entry") != "":
				return entryStatus(ctx, c)
			case c.String("node") == "":
				return trace.BadParameter("want --node or --entry")
			case c.String("program") != "":
				return programStatus(ctx, c)
			}
			return nodeStatus(ctx, c)
		},
	}
}

// statusFlags returns the operators' flags with --node optional, as --entry may stand in its place.
func statusFlags() []cli.Flag {
	flags := operatorFlags()
	node := *flags[0].(*cli.StringFlag)
	node.Required = false
	flags[0] = &node
	return append(flags, &cli.StringFlag{Name: "entry", Usage: "`ADDRESS` of an entry VM's metrics"})
}

func entryStatus(ctx context.Context, c *cli.Command) (err error) {
	s, err := hgstatus.Get(ctx, c.String("entry"))
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(s)
	}
	return s.Write(os.Stdout)
}

func programStatus(ctx context.Context, c *cli.Command) (err error) {
	var s hgowner.ProgramStatus
	if err := operatorClient(c).Get(ctx, c.String("node"), "/v1/programs/status?program="+c.String("program"), &s); err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(s)
	}
	fmt.Printf("program %s: %d calls, next %d, running %t, ended %t\n", s.Program, s.Calls, s.NextSeq, s.Running, s.Ended)
	fmt.Printf("tokens: %d spent and %d reserved of %d, context %d\n", s.Spent, s.Reserved, s.Budget, s.Context)
	fmt.Printf("time of %d calls: queue %s, commit %s, model %s, tool %s, total %s\n",
		s.Time.Calls, s.Time.Queue, s.Time.Commit, s.Time.Model, s.Time.Tool, s.Time.Total)
	return nil
}

func nodeStatus(ctx context.Context, c *cli.Command) (err error) {
	var o hgfront.Overview
	if err := operatorClient(c).Get(ctx, c.String("node"), "/v1/status", &o); err != nil {
		return err
	}
	if c.Bool("json") {
		return printJSON(o)
	}
	fmt.Printf("node %s: draining %t, %d calls run, %d wait, %d programs, store failed for %s\n",
		o.Node, o.Draining, o.Running, o.Waiting, len(o.Programs), o.StoreFailed)
	owned := lo.CountValues(lo.Values(o.Shards))
	for _, m := range o.Members {
		fmt.Printf("  member   %-16s %-12s %-22s live %-5t shards %d\n", m.ID, m.Domain, m.Public, m.Live, owned[m.ID])
	}
	for _, e := range o.Endpoints {
		fmt.Printf("  endpoint %-16s %-12s in flight %d+%d of %.1f, leaving %t, ejected %t\n",
			e.ID, e.Domain, e.InFlight, e.Peers, e.Window, e.Leaving, e.Ejected)
	}
	for _, q := range o.Quarantine {
		fmt.Printf("  suspect  %s deaths %d, cleared %t\n", q.Digest, q.Deaths, q.Cleared)
	}
	return nil
}
