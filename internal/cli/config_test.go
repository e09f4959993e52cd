package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// examples is the directory of the example configurations.
const examples = "../../examples"

func TestCheckExamples(t *testing.T) {
	for _, name := range []string{"periyar", "matrica"} {
		if status, stderr := check(t, filepath.Join(examples, name)); status != exitOK {
			t.Errorf("check %s: exit status = %d, want %d; standard error:\n%s", name, status, exitOK, stderr)
		}
	}
}

// An instance's settings are checked like a configuration: each problem is reported with
// its file, its line and the allowed values.
func TestCheckSettings(t *testing.T) {
	good := "name: e\ndata_centre: a\nplatform: http://127.0.0.1:1\ncaller_address: 127.0.0.1:7011\n" +
		"peer_address: 127.0.0.1:7012\noperator_address: 127.0.0.1:7013\nwithout: [moves, near]\n"
	for _, c := range []struct {
		text, want string // want is a part of standard error
		status     any
	}{
		{good, "", exitOK},
		{strings.Replace(good, "near", "nearby", 1), `settings.yaml:7: without[1]: "nearby" is not allowed; one of homes, moves`, exitUsage},
	} {
		file := filepath.Join(t.TempDir(), "settings.yaml")
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		status, stderr := checkWith(t, &checkCmd{settings: file})
		if status != c.status || !strings.Contains(stderr, c.want) {
			t.Errorf("exit status = %v, want %v; standard error = %q, want it to contain %q", status, c.status, stderr, c.want)
		}
	}
}

// brokenCopy is one edit that makes a copy of an example configuration invalid,
// and the position of the problem that check must print for it.
type brokenCopy struct {
	name string
	file string
	// The first occurrence of old in the file is replaced by new. If old is "*",
	// new replaces the complete file.
	old, new string
	line     int
	field    string
}

// brokenCopies lists edits that apply to each example, since both contain the
// replaced texts.
var brokenCopies = []brokenCopy{
	{"unknown field", "deployment.yaml", "  entry_ttl: 30s", "  entry_time: 30s", 11, "deployment.entry_time"},
	{"unit missing", "deployment.yaml", "resume_window: 30s", "resume_window: 30", 12, "deployment.resume_window"},
	{"key set twice", "deployment.yaml", "  resume_window: 30s", "  entry_ttl: 20s", 12, "deployment.entry_ttl"},
	{"negative duration", "deployment.yaml", "entry_ttl: 30s", "entry_ttl: -30s", 11, "deployment.entry_ttl"},
	{"secret too short", "deployment.yaml", "-example-stream-key-replace-me-before-use", "-short", 10, "deployment.stream_key"},
	{"negative weight", "deployment.yaml", "weights: {stall: ", "weights: {stall: -", 8, "deployment.weights.stall"},
	{"list for a value", "deployment.yaml", "entry_ttl: 30s", "entry_ttl: [30s]", 11, "deployment.entry_ttl"},
	{"price left empty", "services.yaml", "output_price: ", "output_price: } # ", 3, "models[0].output_price"},
	{"dangling model", "services.yaml", "    model: d", "    model: un", 7, "services[0].model"},
	{"unknown kind", "services.yaml", "kind: plain", "kind: simple", 12, "services[1].kind"},
	{"missing call price", "services.yaml", "    call_price: 0.02\n", "", 11, "services[1].call_price"},
	{"amount with seven places", "services.yaml", "call_price: 0.02", "call_price: 0.0200001", 13, "services[1].call_price"},
	{"duplicate service", "services.yaml", "  - name: assistant", "  - {name: assistant, kind: plain, call_price: 0}\n  - name: assistant", 6, "services[1].name"},
	{"dangling service", "upstreams.yaml", "assistant-01, service: assistant", "assistant-01, service: assistent", 4, "upstreams[0].service"},
	{"duplicate upstream", "upstreams.yaml", "name: assistant-02", "name: assistant-01", 5, "upstreams[1].name"},
	{"slash in a name", "upstreams.yaml", "name: assistant-03", "name: assistant/03", 6, "upstreams[2].name"},
	{"data centre in no region", "upstreams.yaml", "name: assistant-04, service: assistant, data_centre: ", "name: assistant-04, service: assistant, data_centre: no-", 7, "upstreams[3].data_centre"},
	{"not a truth value", "upstreams.yaml", "checks_fencing: false", "checks_fencing: maybe", 5, "upstreams[1].checks_fencing"},
	{"zero limit", "organisations.yaml", "concurrent: 128", "concurrent: 0", 8, "organisations[0].limits.concurrent"},
	{"negative spend", "organisations.yaml", "spend: 400.00", "spend: -400.00", 8, "organisations[0].limits.spend"},
	{"missing spend", "organisations.yaml", "spend: 400.00, ", "", 8, "organisations[0].limits.spend"},
	{"unknown period", "organisations.yaml", "period: day", "period: week", 8, "organisations[0].limits.period"},
	{"not a digest", "organisations.yaml", "key_sha256: [", "key_sha256: [ff", 6, "organisations[0].key_sha256[0]"},
	{"dangling service of an organisation", "organisations.yaml", "services: [assistant, ", "services: [assistant, typist, ", 7, "organisations[0].services[1]"},
	{"empty file", "organisations.yaml", "*", "# nothing\n", 1, "document"},
	{"two documents", "organisations.yaml", "organisations:\n", "---\nmodels: []\n---\norganisations:\n", 6, "document"},
	{"not YAML", "organisations.yaml", "organisations:\n", "organisations: {\n", 4, "document"},
}

// For each invalid copy of an example, check must exit with exitUsage and print
// the file, line and field of the problem, so that an operator can correct it
// before an apply.
func TestCheckBrokenCopies(t *testing.T) {
	for _, example := range []string{"periyar", "matrica"} {
		for _, b := range brokenCopies {
			t.Run(example+"/"+b.name, func(t *testing.T) {
				dir := t.TempDir()
				writeBrokenCopy(t, filepath.Join(examples, example), dir, b)
				status, stderr := check(t, dir)
				if status != exitUsage {
					t.Errorf("exit status = %d, want %d", status, exitUsage)
				}
				want := fmt.Sprintf("%s:%d: %s: ", filepath.Join(dir, b.file), b.line, b.field)
				if !strings.HasPrefix(stderr, want) || !strings.Contains(stderr, "; ") {
					t.Errorf("standard error = %q, want it to begin with %q and to contain a semicolon before the allowed values", stderr, want)
				}
			})
		}
	}
}

// writeBrokenCopy copies the configuration in directory from to directory to and
// applies the edit b to the copy.
func writeBrokenCopy(t *testing.T, from, to string, b brokenCopy) {
	t.Helper()
	files, err := readDir(from)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		text := string(f.Data)
		if filepath.Base(f.Name) == b.file {
			if text = strings.Replace(text, b.old, b.new, 1); b.old == "*" {
				text = b.new
			}
			if text == string(f.Data) {
				t.Fatalf("the edit has no effect: %q does not occur in %s", b.old, f.Name)
			}
		}
		if err := os.WriteFile(filepath.Join(to, filepath.Base(f.Name)), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// check runs the command on a directory and returns its exit status and its
// standard error.
func check(t *testing.T, dir string) (status any, stderr string) {
	t.Helper()
	return checkWith(t, &checkCmd{}, dir)
}

// checkWith runs the command c with arguments and returns its exit status and its
// standard error.
func checkWith(t *testing.T, c *checkCmd, args ...string) (status any, stderr string) {
	t.Helper()
	out, err := os.CreateTemp(t.TempDir(), "stderr")
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	saved := os.Stderr
	os.Stderr = out
	defer func() { os.Stderr = saved }()
	f := flag.NewFlagSet("check", flag.ContinueOnError)
	if err := f.Parse(args); err != nil {
		t.Fatal(err)
	}
	got := c.Execute(context.Background(), f)
	raw, err := os.ReadFile(out.Name())
	if err != nil {
		t.Fatal(err)
	}
	return got, string(raw)
}
