package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit bounds the run of a case.
var caseLimit = 110 * time.Second

// scenario is one case: it returns what broke the rule, or an error if the case could not run.
type scenario func(ctx context.Context, s *site, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"6": partsBudget, "7": refusedLater, "8": historyMemory, "9": endlessStreams, "10": resumedTurn,
}

func main() {
	name := flag.String("case", "", "number of the case")
	dir := flag.String("dir", "", "folder for the record")
	binary := flag.String("binary", "target/hyssopgrade", "program under test")
	logs := flag.String("logs", "", "folder for the logs of the processes; empty drops them")
	flag.Parse()
	os.Exit(run(*name, *dir, *binary, *logs))
}

func run(name, dir, binary, logs string) (code int) {
	scene, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	tmp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(tmp)
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	s := &site{binary: binary, dir: tmp, logs: logs, rec: rec}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %t", name, trouble)
	broken, err := scene(ctx, s, trouble)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		rec.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			rec.add("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
		return exitBroken
	}
	rec.add("held")
	fmt.Println("held")
	return exitHeld
}
