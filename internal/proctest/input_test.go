package proctest

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runCommand runs the build under test and waits for its exit.
func runCommand(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errOut bytes.Buffer
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), out.String(), errOut.String()
}

// An invalid command line must print one line with the problem and the allowed values, and exit
// with the documented code.
func TestProcessBadCommandLines(t *testing.T) {
	t.Parallel()
	nothing := filepath.Join(t.TempDir(), "none.yaml")
	for _, c := range []struct {
		args string
		code int
		want string // substring of the single line on stderr
	}{
		{"bogus", 2, `"bogus" is no command`},
		{"serve -settings " + nothing, 2, "-settings must name a settings file"},
		{"serve now", 2, `takes no argument, got "now"`},
		{"demo -requests -3", 2, "-requests must be 1 to 100000, got -3"},
		{"demo -log loud", 2, "-log must be one of off, error, warn, info, debug"},
		{"demo all", 2, `takes no argument, got "all"`},
		{"standin", 2, "name one of platform, engine, service"},
		{"standin table", 2, `"table" is none of platform, engine, service`},
		{"standin -platform http://127.0.0.1:1 engine", 2, "needs -name, -role and -data-centre"},
		{"standin -address nowhere platform", 1, "stand-in listen on nowhere"},
		{"status -operator-address 127.0.0.1:1", 1, "ask 127.0.0.1:1"},
		{"status -operator-address 127.0.0.1:1 x", 2, `takes no argument, got "x"`},
		{"drain -operator-address 127.0.0.1:1", 1, "ask 127.0.0.1:1"},
		{"explain", 2, "name one request id"},
		{"ask hello", 2, "set -model and give a prompt"},
		{"book -service order-desk x", 2, "set -service and -key and give one body"},
		{"check", 2, "name one directory"},
		{"apply -f .", 2, "set one of -platform and -operator-address"},
	} {
		code, stdout, stderr := runCommand(t, strings.Fields(c.args)...)
		if code != c.code || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, c.want) || stdout != "" {
			t.Errorf("%s: exit code %d, stdout and stderr %q%q; want exit code %d and one line on stderr that contains %q", c.args, code, stdout, stderr, c.code, c.want)
		}
	}
}

// The help command must list each command and the exit codes, and succeed.
func TestProcessHelp(t *testing.T) {
	t.Parallel()
	code, stdout, stderr := runCommand(t, "help")
	all := stdout + stderr
	commands := []string{"serve", "check", "apply", "diff", "status", "explain", "ask", "book", "drain", "standin", "demo", "version"}
	for _, name := range commands {
		if !strings.Contains(all, "\n  "+name+" ") {
			t.Errorf("help does not list the command %s, want each command listed", name)
		}
		if _, out, errOut := runCommand(t, "help", name); !strings.HasPrefix(out+errOut, name) {
			t.Errorf("help %s printed %q, want text that begins with the command's name", name, out+errOut)
		}
	}
	if code != 0 || !strings.Contains(all, "Exit codes:") {
		t.Errorf("help: exit code %d, printed %q; want exit code 0 and the exit codes", code, all)
	}
}

// An instance whose address is in use must print one line and exit with code 1.
func TestProcessAddressTaken(t *testing.T) {
	t.Parallel()
	p := start(t, "platform", "standin", "platform")
	taken := p.value(t, "address")
	file := filepath.Join(t.TempDir(), "settings.yaml")
	text := "name: entry-1\ndata_centre: kochi-a\nplatform: http://" + taken + "\ncaller_address: " + taken +
		"\npeer_address: 127.0.0.1:0\noperator_address: 127.0.0.1:0\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	code, _, stderr := runCommand(t, "serve", "-settings", file)
	if code != 1 || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, "listen for callers on "+taken) {
		t.Errorf("exit code %d, printed %q; want exit code 1 and one line with the address", code, stderr)
	}
}
