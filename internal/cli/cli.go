// Package cli implements the command line of mulberrylug. Each group of commands
// has a file.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"mulberrylug.example/mulberrylug/internal/lifecycle"
)

// Exit codes.
const (
	exitOK = subcommands.ExitSuccess
	// exitFailed: the command line was valid, but the command failed.
	exitFailed = subcommands.ExitFailure
	// exitUsage: the command line, a settings file or a configuration is invalid.
	exitUsage = subcommands.ExitUsageError
	// exitConflict: another operator's change came first.
	exitConflict subcommands.ExitStatus = 3
	// exitNotRun, exitPartial and exitUnknown: the outcome of the request, as in
	// package client.
	exitNotRun  subcommands.ExitStatus = 4
	exitPartial subcommands.ExitStatus = 5
	exitUnknown subcommands.ExitStatus = 6
)

// Version is the version that the command "version" prints. The build sets it.
var Version = "dev"

// Main runs the command line and returns the exit code.
func Main() int {
	caught := catchSignals()
	c := subcommands.NewCommander(flag.CommandLine, "mulberrylug")
	c.Register(c.HelpCommand(), "help")
	c.Register(c.FlagsCommand(), "help")
	c.Register(&versionCmd{}, "help")
	c.Register(&serveCmd{signals: caught}, "instances")
	c.Register(&drainCmd{}, "instances")
	c.Register(&statusCmd{}, "instances")
	c.Register(&explainCmd{}, "instances")
	c.Register(&checkCmd{}, "configuration")
	c.Register(&applyCmd{}, "configuration")
	c.Register(&diffCmd{}, "configuration")
	c.Register(&cordonCmd{}, "configuration")
	c.Register(&cordonCmd{lift: true}, "configuration")
	c.Register(&cordonsCmd{}, "configuration")
	c.Register(&askCmd{}, "callers")
	c.Register(&bookCmd{}, "callers")
	c.Register(&standinCmd{}, "trying out")
	c.Register(&demoCmd{}, "trying out")
	c.Register(&experimentCmd{}, "trying out")
	c.Explain = func(w io.Writer) { printHelp(c, w) }
	flag.Usage = func() { c.Explain(flag.CommandLine.Output()) }
	flag.Parse()
	if name := flag.Arg(0); name != "" && !isCommand(c, name) {
		return int(fail(exitUsage, fmt.Errorf("%q is no command; see mulberrylug help", name)))
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if flag.Arg(0) != "serve" {
		caught.follow(lifecycle.Policy{}, effects{stop: stop})
	}
	return int(c.Execute(ctx))
}

// printHelp prints all commands, by group, and the exit codes.
func printHelp(c *subcommands.Commander, w io.Writer) {
	fmt.Fprint(w, "Usage: mulberrylug COMMAND [flags] [arguments]\n")
	c.VisitGroups(func(g *subcommands.CommandGroup) {
		fmt.Fprintf(w, "\nCommands for %s:\n", g.Name())
		c.VisitCommands(func(group *subcommands.CommandGroup, cmd subcommands.Command) {
			if group == g {
				fmt.Fprintf(w, "  %-10s %s\n", cmd.Name(), cmd.Synopsis())
			}
		})
	})
	fmt.Fprint(w, `
mulberrylug help COMMAND prints the flags of a command.

Exit codes:
  0  done
  1  the command line was valid, but the command failed
  2  the command line, a settings file or a configuration is invalid
  3  another operator's change came first
  4  the request did not run
  5  the response ended early
  6  the request may have run
`)
}

// isCommand reports whether c has a command of this name.
func isCommand(c *subcommands.Commander, name string) bool {
	found := false
	c.VisitCommands(func(_ *subcommands.CommandGroup, cmd subcommands.Command) {
		found = found || cmd.Name() == name
	})
	return found
}

// noArguments returns an error if the command line has arguments, which a
// command without arguments would otherwise ignore silently.
func noArguments(command string, f *flag.FlagSet) error {
	if f.NArg() > 0 {
		return fmt.Errorf("%s: takes no argument, got %q", command, f.Arg(0))
	}
	return nil
}

// fail prints an error to standard error and returns the status.
func fail(status subcommands.ExitStatus, err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "mulberrylug: %v\n", err)
	return status
}

type versionCmd struct{}

func (*versionCmd) Name() string             { return "version" }
func (*versionCmd) Synopsis() string         { return "print the version" }
func (*versionCmd) Usage() string            { return "version:\n  Print the version.\n" }
func (*versionCmd) SetFlags(_ *flag.FlagSet) {}
func (*versionCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("mulberrylug", Version)
	return exitOK
}
