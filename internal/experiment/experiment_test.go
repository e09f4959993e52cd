package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const example = "../../examples/experiments/leaving-workers.yaml"

func loadExample(t *testing.T) *File { return loadFile(t, example) }

func loadFile(t *testing.T, name string) *File {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse(name, data)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Two of twelve engines leave every 3.3 s with 1.7 s of notice, under eleven requests per
// second. Without moves one response in nine is broken off. Moves that all entries make at the
// same time queue on the links, and streams pause for seconds. One home that orders the moves
// must save nearly all responses, with gaps that no user notices. The limits leave room for
// the variation between seeds.
func TestOrderedMovesSaveGenerationsOfLeavingEngines(t *testing.T) {
	rows, err := loadExample(t).Run(3, func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	byVariant := map[string]Row{}
	for _, r := range rows {
		byVariant[r.Variant] = r
		t.Logf("%-18s in time %.3f lost %.3f longest gap p99 %v", r.Variant, r.InTime, r.Lost, r.Result.LongestP99)
	}
	stay, atOnce, home, homeStay := byVariant["alone_stay"], byVariant["alone_all_at_once"], byVariant["home"], byVariant["home_stay"]
	if stay.Lost < 0.08 || homeStay.Lost < 0.08 {
		t.Errorf("fraction lost: alone_stay = %.3f, home_stay = %.3f; want both at least 0.08, otherwise the workload does not test moves", stay.Lost, homeStay.Lost)
	}
	if home.Lost > 0.01 || home.InTime < 0.97 {
		t.Errorf("home: fraction lost = %.3f, want at most 0.01; in time = %.3f, want at least 0.97", home.Lost, home.InTime)
	}
	if home.Result.LongestP99 > 100e6 {
		t.Errorf("home: p99 of longest gaps = %v, want at most 100 ms", home.Result.LongestP99)
	}
	if atOnce.Result.LongestP99 < 5*home.Result.LongestP99 || atOnce.Lost > stay.Lost {
		t.Errorf("alone_all_at_once: p99 of longest gaps = %v, want at least 5 times that of home; fraction lost = %.3f, want at most that of alone_stay", atOnce.Result.LongestP99, atOnce.Lost)
	}
	if herd := byVariant["herd_stay"]; herd.InTime > stay.InTime-0.1 {
		t.Errorf("fraction in time: herd_stay = %.3f, alone_stay = %.3f; want herd_stay lower by at least 0.1", herd.InTime, stay.InTime)
	}
}

// Two of twelve engines at a time fail two in five requests half a second after receipt, while
// their health checks pass. A failed request frees its engine, which then looks idle. Entries
// that place by running requests send these engines more than their share of a sixth and lose
// about 0.06 of all requests. The home counts failures and loses half as many.
func TestHomeAvoidsFailingEngines(t *testing.T) {
	rows, err := loadFile(t, "../../examples/experiments/failing-engines.yaml").Run(3, func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	byVariant := map[string]Row{}
	for _, r := range rows {
		byVariant[r.Variant] = r
		t.Logf("%-18s in time %.3f lost %.3f", r.Variant, r.InTime, r.Lost)
	}
	if alone := byVariant["alone_stay"].Lost; alone < 0.05 || byVariant["home"].Lost > 0.65*alone {
		t.Errorf("fraction lost: alone_stay = %.3f, want at least 0.05; home = %.3f, want at most 0.65 of that of alone_stay", alone, byVariant["home"].Lost)
	}
}

// An engine crashes every three seconds, without notice. Under either policy, only the requests
// that run on the engine may be lost, and each request must have an outcome.
func TestCrashesLoseOnlyRunningRequests(t *testing.T) {
	f := loadExample(t)
	f.Leaving, f.Variants = Leaving{}, []Variant{{Policy: "alone_stay"}, {Policy: "home"}}
	f.Crashes = Crashes{First: 2 * time.Second, Every: 3 * time.Second, Count: 1, Replace: 4 * time.Second}
	rows, err := f.Run(3, func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		t.Logf("%-18s in time %.3f lost %.3f", r.Variant, r.InTime, r.Lost)
		if r.Lost < 0.01 || r.Lost > 0.15 || r.Result.Unanswered != 0 {
			t.Errorf("%s: fraction lost = %.3f, want 0.01 to 0.15; requests without an outcome = %d, want 0", r.Variant, r.Lost, r.Result.Unanswered)
		}
	}
}

// An error about an experiment file must state the faulty field or value.
func TestParseReportsMistakes(t *testing.T) {
	data, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"rate: 11.1", "rate: 0", "Rate"},
		{"rate: 11.1", "rat: 11.1", "rat"},
		{"- {policy: home}", "- {policy: homes}", `"homes" is unknown`},
		{"without: [moves]", "without: [move]", `line 9: without: mechanism "move" is unknown`},
		{"without: [moves]", "ways: [choices=memory]", `line 9: ways: decision "choices" is unknown; there are`},
		{"without: [moves]", "ways: [choice=chance]", `line 9: ways: decision "choice" has no way "chance"; there are`},
		{"- {policy: home}", "- {policy: alone_stay}", `two variants are named "alone_stay"`},
		{"mbps: 2700", "mbps: 0", "links with mbps"},
	} {
		_, err := Parse("x.yaml", []byte(strings.Replace(string(data), c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error = %v, want it to contain %s", c.new, err, c.want)
		}
	}
}

func TestPlotsAndTable(t *testing.T) {
	f := loadExample(t)
	f.Variants, f.Length = f.Variants[:2], f.Length/10
	rows, err := f.Run(1, func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	files, err := Plots(filepath.Join(t.TempDir(), "plots"), f.Name, rows)
	if err != nil || len(files) != 5 {
		t.Fatalf("Plots = %v, error %v; want 5 files and no error", files, err)
	}
	for _, file := range files {
		if info, err := os.Stat(file); err != nil || info.Size() < 1000 {
			t.Errorf("%s: error = %v, want a file of at least 1000 bytes", file, err)
		}
	}
	var b strings.Builder
	if err := Table(&b, rows); err != nil || strings.Count(b.String(), "\n") != 7 {
		t.Errorf("table = %q, error %v; want 7 lines and no error", b.String(), err)
	}
}
