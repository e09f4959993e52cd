package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"mulberrylug.example/mulberrylug/internal/demo"
)

type demoCmd struct {
	requests int
	seed     uint64
	faults   bool
	json     bool
	log      string
}

func (*demoCmd) Name() string     { return "demo" }
func (*demoCmd) Synopsis() string { return "run a deployment in one process and verify its promises" }

func (*demoCmd) Usage() string {
	return `demo [-requests N] [-seed S] [-faults] [-json]:
  Start the platform, engines, a booking service and three instances on loopback
  TCP, send a mix of generations and bookings, and compare the responses that
  callers received with the records of the stand-ins. Exits with 1 if a promise
  was broken.

`
}

func (c *demoCmd) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.requests, "requests", 300, "requests to send")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the workload")
	f.BoolVar(&c.faults, "faults", false, "inject crashes, freezes, outages, broken connections and reclaimed engines meanwhile")
	f.BoolVar(&c.json, "json", false, "print the report as one JSON line")
	f.StringVar(&c.log, "log", "off", "log level of the instances: off, error, warn, info or debug")
}

// check returns an error if the flags are invalid or there are arguments.
func (c *demoCmd) check(f *flag.FlagSet) error {
	const maxRequests = 100_000
	if c.requests < 1 || c.requests > maxRequests {
		return fmt.Errorf("demo: -requests must be 1 to %d, got %d", maxRequests, c.requests)
	}
	levels := []string{"off", "error", "warn", "info", "debug"}
	if !slices.Contains(levels, c.log) {
		return fmt.Errorf("demo: -log must be one of %s, got %q", strings.Join(levels, ", "), c.log)
	}
	return noArguments("demo", f)
}

func (c *demoCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.check(f); err != nil {
		return fail(exitUsage, err)
	}
	log, flush := newLogger(os.Stderr, c.log)
	defer flush()
	r, err := demo.Run(ctx, demo.Options{
		Requests: c.requests, Seed: c.seed, Faults: c.faults, Log: log, Progress: printProgress,
	})
	if err != nil {
		return fail(exitFailed, err)
	}
	if c.json {
		fmt.Println(r.Line())
	} else {
		printReport(r)
	}
	if !r.Clean() {
		return fail(exitFailed, fmt.Errorf("demo: a promise was broken: %s", r.Line()))
	}
	return exitOK
}

// printProgress prints the number of requests that have ended, every 50 requests
// and at the end.
func printProgress(ended, total int) {
	const interval = 50
	if ended%interval == 0 || ended == total {
		fmt.Fprintf(os.Stderr, "progress ended=%d of=%d\n", ended, total)
	}
}

// printReport prints the report as text.
func printReport(r demo.Report) {
	fmt.Printf("requests            %6d\n", r.Requests)
	fmt.Printf("  done              %6d\n", r.Done)
	fmt.Printf("  not run           %6d\n", r.NotRun)
	fmt.Printf("  partial           %6d\n", r.Partial)
	fmt.Printf("  unknown           %6d\n", r.Unknown)
	fmt.Printf("tokens expected     %6d\n", r.TokensExpected)
	fmt.Printf("  lost              %6d\n", r.TokensLost)
	fmt.Printf("  duplicated        %6d\n", r.TokensDuplicated)
	fmt.Printf("  out of order      %6d\n", r.TokensOutOfOrder)
	fmt.Printf("bookings asked      %6d\n", r.BookingsAsked)
	fmt.Printf("  run               %6d\n", r.BookingsRun)
	fmt.Printf("  run twice         %6d\n", r.BookingsRunTwice)
	fmt.Printf("not run, but ran    %6d\n", r.NotRunButRan)
	fmt.Printf("answers crossed     %6d\n", r.AnswersCrossed)
	fmt.Printf("overspend           %6d\n", r.Overspend)
	for _, fault := range r.Faults {
		fmt.Printf("fault: %s\n", fault)
	}
}
