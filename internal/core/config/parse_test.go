package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"go.yaml.in/yaml/v3"

	"mulberrylug.example/mulberrylug/internal/testkit"
)

// validYAML is a configuration file without problems; %[1]s is the digest of an API key.
const validYAML = `deployment:
  name: small
  regions: {south: [a, b]}
  stream_key: a-key-that-is-long-enough-to-sign-with
organisations:
  - name: depot
    key_sha256: [%[1]s]
    services: [assistant, desk]
    limits: {spend: 10}
models:
  - {name: m, prompt_price: 0.1, output_price: 0.000001}
services:
  - {name: assistant, kind: engine, model: m}
  - {name: desk, kind: plain, call_price: 0}
upstreams:
  - {name: e1, service: assistant, data_centre: a}
  - {name: d1, service: desk, data_centre: b}
`

// validFile returns a configuration file without problems.
func validFile() string { return fmt.Sprintf(validYAML, HashKey("k")) }

// parseText parses texts as files named f1.yaml, f2.yaml and so on.
func parseText(texts ...string) (*Config, error) {
	var files []File
	for i, text := range texts {
		files = append(files, File{Name: fmt.Sprintf("f%d.yaml", i+1), Data: []byte(text)})
	}
	return Parse(files)
}

func TestParseFillsDefaults(t *testing.T) {
	cfg, err := parseText(validFile())
	if err != nil {
		t.Fatal(err)
	}
	l := cfg.Organisations[0].Limits
	want := Limits{Spend: 10_000_000, Period: "day", RequestsPerSecond: 50, TokensPerSecond: 20_000, MaxOutputTokens: 4096, Concurrent: 64}
	if l != want {
		t.Errorf("limits = %+v, want %+v", l, want)
	}
	if s := cfg.Services[0]; s.Timeout != defaultEngineTimeout || s.FirstToken != defaultFirstToken || s.MaxWait != defaultMaxWait {
		t.Errorf("engine service = %+v, want the default timeouts", s)
	}
	if w := cfg.Deployment.Weights; w != (Weights{1, 1, 1}) {
		t.Errorf("weights = %+v, want 1 each", w)
	}
}

func TestParseReportsEveryProblem(t *testing.T) {
	digest := HashKey("k")
	for _, c := range []struct {
		name  string
		texts []string
		want  []string
	}{
		{
			"two problems in one file, in the order of lines",
			[]string{strings.NewReplacer("spend: 10", "spend: 0", "service: desk, d", "service: dask, d").Replace(validFile())},
			[]string{
				`f1.yaml:9: organisations[0].limits.spend: "0" is not allowed; more than 0`,
				`f1.yaml:17: upstreams[1].service: there is no service "dask"; one of assistant, desk`,
			},
		},
		{
			"two deployments",
			[]string{validFile(), "\ndeployment: {name: other}\n"},
			[]string{`f2.yaml:2: deployment: is already set at f1.yaml:1; one deployment in all files`},
		},
		{
			"a name that another file already uses; list indexes count the elements of all files",
			[]string{validFile(), "upstreams:\n  - {name: e1, service: assistant, data_centre: b}\n"},
			[]string{`f2.yaml:2: upstreams[2].name: "e1" is already used at f1.yaml:16; a unique name`},
		},
		{
			"one data centre in two regions",
			[]string{strings.Replace(validFile(), "{south: [a, b]}", "{south: [a, b], west: [b]}", 1)},
			[]string{`f1.yaml:3: deployment.regions[west][0]: data centre "b" is already in region "south"; each data centre in exactly one region`},
		},
		{
			"an unknown region, and a service and an organisation without a common region",
			[]string{strings.NewReplacer("{south: [a, b]}", "{south: [a], north: [b]}", "call_price: 0}", "call_price: 0, allowed_regions: [north]}").Replace(validFile()), "organisations:\n  - name: other\n    key_sha256: [" + strings.Repeat("ab", 32) + "]\n    services: [desk]\n    allowed_regions: [south, east]\n    limits: {spend: 1}\n"},
			[]string{
				`f2.yaml:4: organisations[1].services[0]: service "desk" and the organisation allow no region in common; a service that allows one of the organisation's regions`,
				`f2.yaml:5: organisations[1].allowed_regions[1]: there is no region "east"; one of north, south`,
			},
		},
		{
			"one key in two organisations",
			[]string{validFile(), "organisations:\n  - name: other\n    key_sha256: [" + digest + "]\n    services: [desk]\n    limits: {spend: 1}\n"},
			[]string{`f2.yaml:3: organisations[1].key_sha256[0]: organisation "depot" already has this key; each key in exactly one organisation`},
		},
		{
			"fields of the other kind of service",
			[]string{strings.NewReplacer("model: m}", "model: m, call_price: 1}", "call_price: 0}", "call_price: 0, model: m}").Replace(validFile())},
			[]string{
				`f1.yaml:13: services[0].call_price: is set for an engine service; only services of kind plain have it; models have prices for tokens`,
				`f1.yaml:14: services[1].model: is set for a plain service; only services of kind engine have it`,
			},
		},
		{
			"one model in two services",
			[]string{validFile(), "services:\n  - {name: second, kind: engine, model: m}\n"},
			[]string{`f2.yaml:2: services[2].model: model "m" is already served by service "assistant"; each model served by exactly one service`},
		},
		{
			"an anchor",
			[]string{strings.NewReplacer("name: small", "name: &n small").Replace(validFile())},
			[]string{`f1.yaml:2: deployment.name: anchors and aliases are not supported; write the value out`},
		},
		{
			"only the empty files are reported, not problems that result from them",
			[]string{validFile(), "", "# comment\n"},
			[]string{
				`f2.yaml:1: document: the file is empty; each file holds one YAML document`,
				`f3.yaml:1: document: the file is empty; each file holds one YAML document`,
			},
		},
		{
			"all required fields missing",
			[]string{"models: []\n"},
			[]string{
				`f1.yaml:1: deployment.name: is missing; it must be set`,
				`f1.yaml:1: deployment.regions: is missing; it must be set`,
				`f1.yaml:1: deployment.stream_key: is missing; it must be set`,
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := parseText(c.texts...)
			var ps Problems
			if !errors.As(err, &ps) {
				t.Fatalf("error = %v, want Problems", err)
			}
			if got := strings.Split(ps.Error(), "\n"); !reflect.DeepEqual(got, c.want) {
				t.Errorf("problems:\n%s\nwant:\n%s", ps, strings.Join(c.want, "\n"))
			}
		})
	}
}

func TestDiffNamesFields(t *testing.T) {
	from, err := parseText(validFile())
	if err != nil {
		t.Fatal(err)
	}
	to, err := parseText(strings.NewReplacer(
		"spend: 10", "spend: 12.5", "with\n", "with!\n",
		"  - {name: d1, service: desk, data_centre: b}\n", "", "data_centre: a}", "data_centre: b, checks_fencing: true}",
	).Replace(validFile()))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"~ deployment.stream_key: (secret) -> (secret)",
		"~ organisations[depot].limits.spend: 10 -> 12.5",
		"- upstreams[d1].checks_fencing: false",
		"- upstreams[d1].data_centre: b",
		"- upstreams[d1].name: d1",
		"- upstreams[d1].service: desk",
		"~ upstreams[e1].checks_fencing: false -> true",
		"~ upstreams[e1].data_centre: a -> b",
	}
	if got := Diff(from, to); !reflect.DeepEqual(got, want) {
		t.Errorf("Diff =\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if got := Diff(from, from); len(got) != 0 {
		t.Errorf("Diff of a configuration with itself = %q, want no lines", got)
	}
}

// For any content of an operator's file, Parse returns a configuration or problems with a file
// and a line. It never panics.
func TestPropertyParseNeverPanics(t *testing.T) {
	pieces := []string{
		"deployment:", "organisations:", "  - ", "name: ", "limits: {", "}", "[", "]", "&a ", "*a", "<<: ", "? ", "---\n",
		"\n", "spend: ", "-1", "1e400", "!!binary x", "'", "\"", "\x00", "\xff", "regions: ", "{a: [b]}", "null", "~", "|\n", "- ", ": ", "#", "upstreams:\n",
	}
	properties := gopter.NewProperties(testkit.Parameters())
	properties.Property("Parse returns problems or a configuration", prop.ForAll(func(order []int, at int) string {
		var b strings.Builder
		for _, n := range order {
			b.WriteString(pieces[n])
		}
		valid := validFile()
		for _, text := range []string{b.String(), valid[:at] + b.String() + valid[at:]} {
			_, err := parseText(text)
			var ps Problems
			if err != nil && (!errors.As(err, &ps) || len(ps) == 0 || ps[0].Line < 1 || ps[0].File == "" || ps[0].Field == "") {
				return fmt.Sprintf("error %v for input %q, want Problems with file, line and field", err, text)
			}
		}
		return ""
	}, gen.SliceOf(gen.IntRange(0, len(pieces)-1)), gen.IntRange(0, len(validFile()))))
	properties.TestingRun(t)
}

// The applied configuration must be the written one: a configuration that is written as YAML
// and parsed again encodes to the same object, and decoding that object returns it.
func TestPropertyParseOfEncodedIsStable(t *testing.T) {
	properties := gopter.NewProperties(testkit.Parameters())
	properties.Property("a parsed configuration encodes to the same object", prop.ForAll(func(spend, price int64, millis int64, rate float64, tokens int, plain bool) string {
		cfg, err := parseText(validFile())
		if err != nil {
			return err.Error()
		}
		cfg.Organisations[0].Limits.Spend = Money(spend)
		cfg.Organisations[0].Limits.RequestsPerSecond = rate
		cfg.Organisations[0].Limits.MaxOutputTokens = tokens
		cfg.Models[0].OutputPrice = Money(price)
		cfg.Services[1].Timeout = Duration(millis * 1_000_000)
		cfg.Upstreams[0].ChecksFencing = plain
		text, err := yaml.Marshal(cfg)
		if err != nil {
			return err.Error()
		}
		reparsed, err := parseText(string(text))
		if err != nil {
			return fmt.Sprintf("Parse of the written YAML: error %v in\n%s", err, text)
		}
		object, hash, err := cfg.Encode()
		if err != nil {
			return err.Error()
		}
		if _, secondHash, err := reparsed.Encode(); err != nil || secondHash != hash {
			return fmt.Sprintf("Encode of the parsed configuration: error = %v, want none and the hash of the written configuration:\n%s", err, text)
		}
		decoded, err := Decode(object, hash)
		if err != nil || !reflect.DeepEqual(decoded, reparsed) {
			return fmt.Sprintf("Decode = %+v, error %v, want the encoded configuration", decoded, err)
		}
		return ""
	}, gen.Int64Range(1, 1e15), gen.Int64Range(0, 1e12), gen.Int64Range(1, 1e9), gen.Float64Range(1e-6, 1e6), gen.IntRange(1, 1_000_000), gen.Bool()))
	properties.TestingRun(t)
}

func FuzzParse(f *testing.F) {
	f.Add(validFile())
	f.Add("a: &a [*a, *a]\n")
	f.Fuzz(func(_ *testing.T, text string) { _, _ = parseText(text) })
}
