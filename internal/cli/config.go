package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"mulberrylug.example/mulberrylug/internal/apply"
	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/daemon"
	"mulberrylug.example/mulberrylug/internal/platform"
)

// readDir reads the *.yaml files of a directory in the order of their names.
func readDir(dir string) ([]config.File, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", dir, err)
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("read %s: no *.yaml file found", dir)
	}
	var files []config.File
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		files = append(files, config.File{Name: name, Data: data})
	}
	return files, nil
}

// failConfig prints each problem of a configuration on a separate line.
func failConfig(command string, err error) subcommands.ExitStatus {
	var problems config.Problems
	if !errors.As(err, &problems) {
		return fail(exitUsage, err)
	}
	fmt.Fprintln(os.Stderr, problems)
	return fail(exitUsage, fmt.Errorf("%s: %d problems, nothing was applied", command, len(problems)))
}

// parseDir reads and checks a configuration directory. If the status is not
// exitOK, the problems have already been printed.
func parseDir(command, dir string) ([]config.File, *config.Config, subcommands.ExitStatus) {
	files, err := readDir(dir)
	if err != nil {
		return nil, nil, fail(exitUsage, fmt.Errorf("%s: %w", command, err))
	}
	cfg, err := config.Parse(files)
	if err != nil {
		return nil, nil, failConfig(command, err)
	}
	return files, cfg, exitOK
}

type checkCmd struct{ settings string }

func (*checkCmd) Name() string     { return "check" }
func (*checkCmd) Synopsis() string { return "check a configuration directory, or a settings file" }
func (*checkCmd) Usage() string {
	return `check DIR, check -settings FILE:
  Check all *.yaml files of a directory as one configuration, or the settings file
  of an instance, and print each problem as FILE:LINE: FIELD: PROBLEM; ALLOWED
  VALUES. Exit codes: 0 no problems, 2 problems or an invalid command line.

`
}

func (c *checkCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings file of an instance, instead of a directory")
}

func (c *checkCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings != "" {
		return c.checkSettings(f)
	}
	if f.NArg() != 1 {
		return fail(exitUsage, errors.New("check: name one directory"))
	}
	_, cfg, status := parseDir("check", f.Arg(0))
	if status != exitOK {
		return status
	}
	fmt.Printf("%s: %d organisations, %d services, %d upstreams: ok\n",
		cfg.Deployment.Name, len(cfg.Organisations), len(cfg.Services), len(cfg.Upstreams))
	return exitOK
}

// checkSettings checks a settings file.
func (c *checkCmd) checkSettings(f *flag.FlagSet) subcommands.ExitStatus {
	if err := noArguments("check", f); err != nil {
		return fail(exitUsage, err)
	}
	data, err := os.ReadFile(c.settings)
	if err != nil {
		return fail(exitUsage, fmt.Errorf("check: %w", err))
	}
	s, err := daemon.ParseSettings(c.settings, data)
	if err != nil {
		return failConfig("check", err)
	}
	fmt.Printf("%s: settings of %s: ok\n", c.settings, s.Name)
	return exitOK
}

// target is the system through which a command reads and changes the
// configuration in force: the platform, or an instance by its operator address.
// Exactly one of the fields is set.
type target struct{ platformURL, operatorAddress string }

// setFlags defines the flags in f.
func (t *target) setFlags(f *flag.FlagSet) {
	f.StringVar(&t.platformURL, "platform", "", "base URL of the platform")
	f.StringVar(&t.operatorAddress, "operator-address", "", "operator address of an instance, host:port, instead of -platform")
}

// check returns an error unless exactly one of the fields is set.
func (t *target) check(command string) error {
	if (t.platformURL == "") == (t.operatorAddress == "") {
		return fmt.Errorf("%s: set one of -platform and -operator-address", command)
	}
	return nil
}

// currentConfig returns the version number and the configuration in force.
func (t *target) currentConfig(ctx context.Context) (int64, *config.Config, error) {
	if t.operatorAddress != "" {
		return apply.CurrentThrough(ctx, t.operatorAddress)
	}
	return apply.Current(ctx, platform.NewClient(t.platformURL))
}

// apply puts a configuration in force; see apply.Apply.
func (t *target) apply(ctx context.Context, req apply.Request) (core.ConfigPointer, error) {
	if t.operatorAddress != "" {
		return apply.ApplyThrough(ctx, t.operatorAddress, req)
	}
	return apply.Apply(ctx, platform.NewClient(t.platformURL), req)
}

type applyCmd struct {
	target
	// dir is the configuration directory; operatorName and id are stored with the
	// change.
	dir, operatorName, id string
	// base is the version that the change is based on, or negative for the one
	// in force when the command starts.
	base int64
}

func (*applyCmd) Name() string     { return "apply" }
func (*applyCmd) Synopsis() string { return "put a configuration directory in force" }
func (*applyCmd) Usage() string {
	return `apply -f DIR (-platform URL | -operator-address HOST:PORT) [-base N] [-operator NAME] [-id ID]:
  Check a directory and put it in force, either completely or not at all. Nothing
  is applied if another version than the base is in force. To complete an apply that
  was interrupted, repeat the command with the id and base that it printed. Exit
  codes: 0 applied, 1 nothing was applied, 2 invalid configuration or command line,
  3 another operator's change came first, 6 the outcome is not known.

`
}

func (c *applyCmd) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.dir, "f", "", "configuration directory")
	f.StringVar(&c.operatorName, "operator", os.Getenv("USER"), "operator's name, recorded with the change")
	f.StringVar(&c.id, "id", "", "id of this apply; default a random one")
	f.Int64Var(&c.base, "base", -1, "version that the change is based on; -1 for the one in force when the command starts")
}

func (c *applyCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.dir == "" {
		return fail(exitUsage, errors.New("apply: -f must be set"))
	}
	if err := c.check("apply"); err != nil {
		return fail(exitUsage, err)
	}
	files, _, status := parseDir("apply", c.dir)
	if status != exitOK {
		return status
	}
	if c.base < 0 {
		number, _, err := c.currentConfig(ctx)
		if err != nil {
			return fail(exitFailed, fmt.Errorf("apply: nothing was applied: %w", err))
		}
		c.base = number
	}
	if c.id == "" {
		c.id = fmt.Sprintf("%016x", rand.Uint64())
	}
	// Printed before the apply, so that an apply that is killed can be repeated.
	fmt.Printf("applying %s on version %d; if this is cut off, repeat it with -id %s -base %d\n", c.dir, c.base, c.id, c.base)
	p, err := c.apply(ctx, apply.Request{Files: files, Operator: c.operatorName, ApplyID: c.id, Base: c.base})
	if err != nil {
		return failApply(err)
	}
	fmt.Printf("version %d was applied by %q: apply %s, object %s\n", p.Number, p.Operator, p.ApplyID, p.Hash)
	return exitOK
}

// failApply prints the error of a change and returns its exit code.
func failApply(err error) subcommands.ExitStatus {
	var conflict *apply.Conflict
	var undecided *apply.Undecided
	var problems config.Problems
	switch {
	case errors.As(err, &problems):
		return failConfig("apply", err)
	case errors.As(err, &conflict):
		return fail(exitConflict, fmt.Errorf("apply: %w", err))
	case errors.As(err, &undecided):
		return fail(exitUnknown, fmt.Errorf("apply: %w", err))
	default:
		return fail(exitFailed, fmt.Errorf("apply: %w", err))
	}
}

type diffCmd struct{ target }

func (*diffCmd) Name() string     { return "diff" }
func (*diffCmd) Synopsis() string { return "compare a directory with the configuration in force" }
func (*diffCmd) Usage() string {
	return `diff (-platform URL | -operator-address HOST:PORT) DIR:
  Print the changes that apply would make, one line for each field: + added,
  - removed, ~ changed. Exit codes: 0 printed, 1 the configuration in force could
  not be read, 2 invalid configuration or command line.

`
}

func (c *diffCmd) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

func (c *diffCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return fail(exitUsage, errors.New("diff: name one directory"))
	}
	if err := c.check("diff"); err != nil {
		return fail(exitUsage, err)
	}
	_, proposed, status := parseDir("diff", f.Arg(0))
	if status != exitOK {
		return status
	}
	number, current, err := c.currentConfig(ctx)
	if err != nil {
		return fail(exitFailed, fmt.Errorf("diff: %w", err))
	}
	lines := config.Diff(current, proposed)
	fmt.Printf("version %d is in force; apply -base %d would change %d fields\n", number, number, len(lines))
	for _, line := range lines {
		fmt.Println(line)
	}
	return exitOK
}
