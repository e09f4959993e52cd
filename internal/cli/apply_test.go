package cli

import (
	"context"
	"flag"
	"path/filepath"
	"testing"

	"github.com/google/subcommands"

	"mulberrylug.example/mulberrylug/internal/standin"
	"mulberrylug.example/mulberrylug/internal/standin/platform"
)

// run executes a command with the given flags and arguments.
func run(t *testing.T, c subcommands.Command, args ...string) subcommands.ExitStatus {
	t.Helper()
	f := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	c.SetFlags(f)
	if err := f.Parse(args); err != nil {
		t.Fatal(err)
	}
	return c.Execute(context.Background(), f)
}

// The exit code must tell an applied configuration from a conflict, an invalid
// command line and an unavailable store. The cases run in order on one platform:
// after the first apply, another on the same base conflicts and a repeat of the
// first succeeds.
func TestApplyExitCodes(t *testing.T) {
	p := platform.New()
	srv, err := standin.Start("127.0.0.1:0", p)
	if err != nil {
		t.Fatal(err)
	}
	defer srv.Close()
	platformFlag := "-platform=http://" + srv.Address()
	firstDir, otherDir := filepath.Join(examples, "periyar"), filepath.Join(examples, "matrica")
	for _, c := range []struct {
		name string
		cmd  subcommands.Command
		args []string
		want subcommands.ExitStatus
		down bool
	}{
		{"first", &applyCmd{}, []string{platformFlag, "-f", firstDir, "-id", "a", "-base", "0"}, exitOK, false},
		{"diff", &diffCmd{}, []string{platformFlag, otherDir}, exitOK, false},
		{"conflict", &applyCmd{}, []string{platformFlag, "-f", otherDir, "-id", "b", "-base", "0"}, exitConflict, false},
		{"repeat", &applyCmd{}, []string{platformFlag, "-f", firstDir, "-id", "a", "-base", "0"}, exitOK, false},
		{"on the version in force", &applyCmd{}, []string{platformFlag, "-f", otherDir}, exitOK, false},
		{"neither platform nor operator address", &applyCmd{}, []string{"-f", otherDir}, exitUsage, false},
		{"empty directory", &applyCmd{}, []string{platformFlag, "-f", t.TempDir()}, exitUsage, false},
		{"store down", &applyCmd{}, []string{platformFlag, "-f", otherDir}, exitFailed, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p.SetFaults(platform.Faults{Down: c.down})
			if got := run(t, c.cmd, c.args...); got != c.want {
				t.Errorf("exit status = %d, want %d", got, c.want)
			}
		})
	}
}
