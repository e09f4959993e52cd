package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"mulberrylug.example/mulberrylug/internal/experiment"
)

type experimentCmd struct {
	file  string
	seeds int
	// plots is the directory for plots; empty for none.
	plots string
	// ablate replaces the file's variants by the system's own placement policy:
	// with all its mechanisms, and with each one disabled in turn.
	ablate bool
	// ways replaces the file's variants by the system's own placement policy:
	// with the default way of each decision, and with each alternative way.
	ways bool
}

func (*experimentCmd) Name() string     { return "experiment" }
func (*experimentCmd) Synopsis() string { return "compare variants of placement in virtual time" }
func (*experimentCmd) Usage() string {
	return `experiment -f FILE [-seeds N] [-ablate | -ways] [-plots DIR]:
  Simulate variants of placement on the workload that a YAML file describes, in
  virtual time, on all processors, and print a table. Worth and time in flight are
  means over the seeds, the other figures medians. Then print a comparison of each
  variant with the first, seed by seed, with a confidence interval of 95 %. With
  -plots, write a bar chart for each figure.

`
}

func (c *experimentCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "f", "", "experiment file")
	f.IntVar(&c.seeds, "seeds", 5, "number of seeds")
	f.BoolVar(&c.ablate, "ablate", false, "instead of the file's variants, simulate the system's own policy with all mechanisms and with each one disabled in turn")
	f.BoolVar(&c.ways, "ways", false, "instead of the file's variants, simulate the system's own policy with all decisions made the default way and with each alternative way in turn")
	f.StringVar(&c.plots, "plots", "", "directory for plots; none if empty")
}

func (c *experimentCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments("experiment", f); err != nil {
		return fail(exitUsage, err)
	}
	if c.seeds < 1 {
		return fail(exitUsage, errors.New("experiment: -seeds must be 1 or more"))
	}
	data, err := os.ReadFile(c.file)
	if err != nil {
		return fail(exitUsage, fmt.Errorf("experiment: -f must name an experiment file: %w", err))
	}
	e, err := experiment.Parse(c.file, data)
	if err != nil {
		return fail(exitUsage, err)
	}
	switch {
	case c.ablate && c.ways:
		return fail(exitUsage, errors.New("experiment: set only one of -ablate and -ways"))
	case c.ablate:
		e.Ablate()
	case c.ways:
		e.OtherWays()
	}
	rows, err := e.Run(c.seeds, func(done, total int) { fmt.Fprintf(os.Stderr, "\r%d of %d runs", done, total) })
	fmt.Fprintln(os.Stderr)
	if err != nil {
		return fail(exitFailed, err)
	}
	if err := experiment.Table(os.Stdout, rows); err != nil {
		return fail(exitFailed, err)
	}
	if err := experiment.Verdicts(os.Stdout, rows); err != nil {
		return fail(exitFailed, err)
	}
	if c.plots == "" {
		return exitOK
	}
	files, err := experiment.Plots(c.plots, e.Name, rows)
	if err != nil {
		return fail(exitFailed, err)
	}
	for _, file := range files {
		fmt.Println("plot", file)
	}
	return exitOK
}
