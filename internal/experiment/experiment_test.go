package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const example = "../../examples/experiments/leaving-workers.yaml"

func load(t *testing.T) *File { return loadFile(t, example) }

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

// Pattern: two of twelve workers leave every 3.3 s with 1.7 s of notice, under
// eleven requests a second. Without moves one answer in nine breaks off with its
// worker. Moves that every entry makes at once queue behind each other on the
// links, and streams pause for seconds. One home that orders them saves nearly
// all, with pauses that no reader notices. Bounds leave room for the seeds.
func TestOrderedMovesSaveWhatLeavingWorkersRun(t *testing.T) {
	rows, err := load(t).Run(3, func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	by := map[string]Row{}
	for _, r := range rows {
		by[r.Variant] = r
		t.Logf("%-18s in time %.3f lost %.3f longest gap p99 %v", r.Variant, r.InTime, r.Lost, r.Result.LongestP99)
	}
	stay, atOnce, home, homeStay := by["alone_stay"], by["alone_all_at_once"], by["home"], by["home_stay"]
	if stay.Lost < 0.08 || homeStay.Lost < 0.08 {
		t.Errorf("without moves %.3f and %.3f break off: the workload shows nothing", stay.Lost, homeStay.Lost)
	}
	if home.Lost > 0.01 || home.InTime < 0.97 {
		t.Errorf("home: %.3f lost, %.3f in time; want at most 0.01 and at least 0.97", home.Lost, home.InTime)
	}
	if home.Result.LongestP99 > 100e6 {
		t.Errorf("home: longest gap p99 %v, want at most 100 ms", home.Result.LongestP99)
	}
	if atOnce.Result.LongestP99 < 5*home.Result.LongestP99 || atOnce.Lost > stay.Lost {
		t.Errorf("all at once: longest gap p99 %v, %.3f lost", atOnce.Result.LongestP99, atOnce.Lost)
	}
	if herd := by["herd_stay"]; herd.InTime > stay.InTime-0.1 {
		t.Errorf("choosing by lagging reports: %.3f in time, by own counts %.3f", herd.InTime, stay.InTime)
	}
}

// Pattern: two of twelve engines at a time fail two in five requests half a second after
// they took them, with good health; each failed request frees them, so that they look
// idle. Who goes by what runs sends them more than their share, a sixth, and loses
// about 0.06 of all; a home that counts what they fail loses half of that.
func TestAHomeAvoidsEnginesThatFail(t *testing.T) {
	rows, err := loadFile(t, "../../examples/experiments/failing-engines.yaml").Run(3, func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	by := map[string]Row{}
	for _, r := range rows {
		by[r.Variant] = r
		t.Logf("%-18s in time %.3f lost %.3f", r.Variant, r.InTime, r.Lost)
	}
	if alone := by["alone_stay"].Lost; alone < 0.05 || by["home"].Lost > 0.65*alone {
		t.Errorf("entries alone lose %.3f, the home %.3f; want at least 0.05, and at most 0.65 of that", alone, by["home"].Lost)
	}
}

// Pattern: an engine crashes every three seconds, without notice. What ran there is
// lost under every policy, and none of the rest: each request has an end.
func TestCrashesLoseWhatRan(t *testing.T) {
	f := load(t)
	f.Leaving, f.Variants = Leaving{}, []Variant{{Policy: "alone_stay"}, {Policy: "home"}}
	f.Crashes = Crashes{First: 2 * time.Second, Every: 3 * time.Second, Count: 1, Replace: 4 * time.Second}
	rows, err := f.Run(3, func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		t.Logf("%-18s in time %.3f lost %.3f", r.Variant, r.InTime, r.Lost)
		if r.Lost < 0.01 || r.Lost > 0.15 || r.Result.Unanswered != 0 {
			t.Errorf("%s: %.3f lost, %d without an end", r.Variant, r.Lost, r.Result.Unanswered)
		}
	}
}

func TestMistakesAreNamed(t *testing.T) {
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
			t.Errorf("%s: %v, want %s", c.new, err, c.want)
		}
	}
}

func TestPlotsAndTable(t *testing.T) {
	f := load(t)
	f.Variants, f.Length = f.Variants[:2], f.Length/10
	rows, err := f.Run(1, func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	files, err := Plots(filepath.Join(t.TempDir(), "plots"), f.Name, rows)
	if err != nil || len(files) != 5 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, file := range files {
		if info, err := os.Stat(file); err != nil || info.Size() < 1000 {
			t.Errorf("%s: %v", file, err)
		}
	}
	var b strings.Builder
	if err := Table(&b, rows); err != nil || strings.Count(b.String(), "\n") != 7 {
		t.Errorf("table %q, %v", b.String(), err)
	}
}
