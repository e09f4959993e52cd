// Package experiment compares placement policies in virtual time on a workload that a YAML
// file describes, and writes the measured results as tables and plots.
package experiment

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/trial"
)

// File is the content of an experiment file.
type File struct {
	Name string `yaml:"name" validate:"required"`
	// Variants run on the same workload; each is compared with the first.
	Variants []Variant `yaml:"variants" validate:"required,min=1,dive"`
	// Length is how long requests arrive, Rate the number of requests per second.
	Length time.Duration `yaml:"length" validate:"gt=0"`
	Rate   float64       `yaml:"rate" validate:"gt=0"`
	// Entries is the number of instances that callers are connected to.
	Entries int `yaml:"entries" validate:"gt=0"`
	// Organisations is the number of organisations that send requests of all kinds; a few of
	// them send most of the requests. If it is 0, each kind of request has its own
	// organisation.
	Organisations int `yaml:"organisations" validate:"gte=0"`
	// MaxWait is the longest time that a request may queue. MaxOutput limits each response in
	// tokens. HintSigma is the sigma of the log-normal error of the callers' estimates of
	// their outputs; 0 means that the callers give no estimates.
	MaxWait   time.Duration `yaml:"max_wait" validate:"gt=0"`
	MaxOutput int           `yaml:"max_output" validate:"gt=0"`
	HintSigma float64       `yaml:"hint_sigma" validate:"gte=0"`
	Engines   Engines       `yaml:"engines"`
	Requests  []Requests    `yaml:"requests" validate:"required,min=1,dive"`
	Leaving   Leaving       `yaml:"leaving"`
	Links     Links         `yaml:"links"`
	Failing   Failing       `yaml:"failing"`
	Crashes   Crashes       `yaml:"crashes"`
	Slowing   Slowing       `yaml:"slowing"`
	Spells    Spells        `yaml:"spells"`
	Surge     Surge         `yaml:"surge"`
	HomeLoss  HomeLoss      `yaml:"home_loss"`
	Shutdown  Shutdown      `yaml:"shutdown"`
	EntryLoss EntryLoss     `yaml:"entry_loss"`
	Cordoning Cordoning     `yaml:"cordoning"`
}

// Variant is a policy to compare. Without and Ways apply only to the policy homePolicy.
type Variant struct {
	// Name is the name of the policy by default.
	Name   string `yaml:"name"`
	Policy string `yaml:"policy" validate:"required"`
	// Without lists the mechanisms of the home to disable. By default none is disabled.
	Without mechanisms `yaml:"without"`
	// Ways lists decision=way for decisions that the home makes in a way other than the
	// default.
	Ways ways `yaml:"ways"`
}

// mechanisms is a list of names of mechanisms in an experiment file.
type mechanisms struct{ mechanism.Set }

// UnmarshalYAML implements yaml.Unmarshaler. Errors for unknown names state the line.
func (m *mechanisms) UnmarshalYAML(n *yaml.Node) (err error) {
	var names []string
	if err := n.Decode(&names); err != nil {
		return err
	}
	if m.Set, err = mechanism.Parse(names); err != nil {
		return fmt.Errorf("line %d: without: %w", n.Line, err)
	}
	return nil
}

// ways is a list of decision=way in an experiment file.
type ways struct{ mechanism.Ways }

// UnmarshalYAML implements yaml.Unmarshaler. Errors for unknown entries state the
// line.
func (w *ways) UnmarshalYAML(n *yaml.Node) (err error) {
	var list []string
	if err := n.Decode(&list); err != nil {
		return err
	}
	if w.Ways, err = mechanism.ParseWays(list); err != nil {
		return fmt.Errorf("line %d: ways: %w", n.Line, err)
	}
	return nil
}

// Engines describes the engines. Durations are those of an engine with slowness 1.
type Engines struct {
	Count int `yaml:"count" validate:"gt=0"`
	// Capacity is the memory of an engine in tokens, Batch the maximum number of generations
	// that run together, and Chunk the maximum number of prompt tokens that one step computes.
	Capacity int `yaml:"capacity" validate:"gt=0"`
	Batch    int `yaml:"batch" validate:"gt=0"`
	Chunk    int `yaml:"chunk" validate:"gt=0"`
	// Step is the minimum duration of a step; each decoding generation adds PerGeneration and
	// each prompt token PerPromptToken.
	Step           time.Duration `yaml:"step" validate:"gt=0"`
	PerGeneration  time.Duration `yaml:"per_generation"`
	PerPromptToken time.Duration `yaml:"per_prompt_token"`
	// Slowness lists factors for the durations. The engines get the factors in rotation. An
	// empty list means 1 for all engines.
	Slowness []float64 `yaml:"slowness"`
}

// Requests describes one kind of request. Lengths, in tokens, are log-normally distributed.
type Requests struct {
	Name string `yaml:"name" validate:"required"`
	// Share is the kind's share of all requests, relative to the other shares.
	Share        float64 `yaml:"share" validate:"gt=0"`
	PromptMedian float64 `yaml:"prompt_median" validate:"gt=0"`
	PromptSigma  float64 `yaml:"prompt_sigma"`
	OutputMedian float64 `yaml:"output_median" validate:"gt=0"`
	OutputSigma  float64 `yaml:"output_sigma"`
	// PromptMost and OutputMost limit prompts and outputs in tokens; the defaults are 4,000
	// and max_output.
	PromptMost int `yaml:"prompt_most"`
	OutputMost int `yaml:"output_most"`
	// Worth is the value of a response of mean size, 1 by default. A late response keeps the
	// fraction LateShare of its value. A response is late if its first token takes longer than
	// FirstTarget, 1.8 s by default, or a gap is longer than trial.SteadyGap.
	Worth       float64       `yaml:"worth"`
	LateShare   float64       `yaml:"late_share" validate:"gte=0,lte=1"`
	FirstTarget time.Duration `yaml:"first_target"`
	// Repeatable is set if requests are sent once more when they are lost.
	Repeatable bool `yaml:"repeatable"`
}

// Slowing makes engines slow for a while, see trial.Slowing. If Every is 0, it never happens.
type Slowing struct {
	First  time.Duration `yaml:"first"`
	Every  time.Duration `yaml:"every"`
	For    time.Duration `yaml:"for"`
	Count  int           `yaml:"count"`
	Factor float64       `yaml:"factor"`
}

// Spells makes each engine slow for short times, which it states, see trial.Spells.
type Spells struct {
	Share    float64       `yaml:"share" validate:"gte=0,lt=1"`
	Factor   float64       `yaml:"factor" validate:"gte=0"`
	Length   time.Duration `yaml:"length" validate:"required_with=Share"`
	Lasting  []float64     `yaml:"lasting" validate:"dive,gt=0"`
	Interval time.Duration `yaml:"interval"`
	Age      time.Duration `yaml:"age"`
	Unaware  bool          `yaml:"unaware"`
}

// Surge multiplies the rate of the requests for a time.
type Surge struct {
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for"`
	Factor float64       `yaml:"factor"`
}

// HomeLoss makes the home fail, see trial.HomeLoss. If At is 0, it never happens.
type HomeLoss struct {
	At   time.Duration `yaml:"at"`
	Down time.Duration `yaml:"down"`
}

// Shutdown ends all instances at the same time; they are back after Down. If At is 0, it never
// happens.
type Shutdown struct {
	At   time.Duration `yaml:"at"`
	Down time.Duration `yaml:"down"`
}

// EntryLoss makes a fraction of the instances lose power for Down. If At is 0, it never happens.
type EntryLoss struct {
	At    time.Duration `yaml:"at"`
	Share float64       `yaml:"share" validate:"gte=0,lt=1"`
	Down  time.Duration `yaml:"down"`
}

// Cordoning cordons the first data centre for a while; if For is 0, it never happens. If
// Restart is set, the data centre's engines are replaced when the cordon is lifted, and
// generations that still run on them are lost.
type Cordoning struct {
	First   time.Duration `yaml:"first"`
	For     time.Duration `yaml:"for"`
	Restart bool          `yaml:"restart"`
}

// Leaving makes engines leave at short notice, see trial.Leaving. If Every is 0, it never
// happens.
type Leaving struct {
	First        time.Duration `yaml:"first"`
	Every        time.Duration `yaml:"every"`
	Count        int           `yaml:"count"`
	Notice       time.Duration `yaml:"notice"`
	NoticeSpread time.Duration `yaml:"notice_spread" validate:"gte=0"`
	Replace      time.Duration `yaml:"replace"`
	NewsLag      time.Duration `yaml:"news_lag"`
}

// Failing makes engines fail a fraction of their requests while their health checks pass, see
// trial.Failing. If Every is 0, it never happens.
type Failing struct {
	First time.Duration `yaml:"first"`
	Every time.Duration `yaml:"every"`
	For   time.Duration `yaml:"for"`
	Count int           `yaml:"count"`
	Share float64       `yaml:"share" validate:"gte=0,lte=1"`
	After time.Duration `yaml:"after"`
}

// Crashes makes engines end without notice, see trial.Crashes. If Every is 0, it never happens.
type Crashes struct {
	First   time.Duration `yaml:"first"`
	Every   time.Duration `yaml:"every"`
	Count   int           `yaml:"count"`
	Replace time.Duration `yaml:"replace"`
}

// Links describes the network links that carry copies of running generations between engines,
// see trial.Links.
type Links struct {
	TokenBytes  float64       `yaml:"token_bytes"`
	Mbps        float64       `yaml:"mbps"`
	Setup       time.Duration `yaml:"setup"`
	DataCentres int           `yaml:"data_centres"`
}

// policies returns the policies that a variant can name besides homePolicy.
func policies() []trial.Maker {
	even := config.Weights{Stall: 1, Preemptions: 1, Tail: 1}
	return []trial.Maker{
		trial.Alone(trial.Stay), trial.Alone(trial.AllAtOnce), trial.Herd(trial.Stay), trial.Herd(trial.AllAtOnce),
		trial.Homes("placement", even),
	}
}

// homePolicy is the name of the policy that runs the production home of a pool.
const homePolicy = "home"

// maker returns the Maker of a variant's policy.
func (v Variant) maker() (trial.Maker, error) {
	name := cmp.Or(v.Name, v.Policy)
	if v.Policy == homePolicy {
		return trial.PoolHome(name, v.Without.Set, v.Ways.Ways), nil
	}
	if v.Without.Set != 0 || v.Ways.Ways != 0 {
		return trial.Maker{}, fmt.Errorf("variant %q: only the policy %q accepts without and ways", name, homePolicy)
	}
	names := homePolicy
	for _, m := range policies() {
		if m.Name == v.Policy {
			m.Name = name
			return m, nil
		}
		names += ", " + m.Name
	}
	return trial.Maker{}, fmt.Errorf("policy %q is unknown; known policies are %s", v.Policy, names)
}

// Parse parses an experiment file. Unknown fields are errors. Errors state the file name.
func Parse(name string, data []byte) (*File, error) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	f := &File{}
	if err := dec.Decode(f); err != nil {
		return nil, fmt.Errorf("experiment %s: %w", name, err)
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(f); err != nil {
		return nil, fmt.Errorf("experiment %s: %w", name, err)
	}
	if f.Leaving.Every > 0 && (f.Links.Mbps <= 0 || f.Leaving.Count <= 0) {
		return nil, fmt.Errorf("experiment %s: leaving requires a count above 0, and links with mbps above 0", name)
	}
	if _, err := f.makers(); err != nil {
		return nil, fmt.Errorf("experiment %s: %w", name, err)
	}
	return f, nil
}

// makers returns the Makers of the variants' policies. Two variants of the same name are an
// error.
func (f *File) makers() ([]trial.Maker, error) {
	var out []trial.Maker
	for _, v := range f.Variants {
		m, err := v.maker()
		if err != nil {
			return nil, err
		}
		if slices.ContainsFunc(out, func(o trial.Maker) bool { return o.Name == m.Name }) {
			return nil, fmt.Errorf("two variants are named %q", m.Name)
		}
		out = append(out, m)
	}
	return out, nil
}

// poolMechanisms lists the mechanisms of a pool's home that package trial simulates.
var poolMechanisms = []mechanism.Mechanism{
	mechanism.Moves, mechanism.MoveOrder, mechanism.MoveReserve, mechanism.CopyMemory, mechanism.Near, mechanism.Failures,
	mechanism.WaitAtHome, mechanism.Delays, mechanism.Speeds, mechanism.Headroom, mechanism.Lengths, mechanism.Kinds,
	mechanism.Hints, mechanism.DueOrder, mechanism.LateBehind, mechanism.Fairness, mechanism.EarlyRefusal,
	mechanism.StatedSpeeds, mechanism.Deferrals,
}

// Ablate replaces the variants by the home policy and, for each mechanism in poolMechanisms,
// the home policy without that mechanism.
func (f *File) Ablate() {
	f.Variants = []Variant{{Policy: homePolicy}}
	for _, m := range poolMechanisms {
		f.Variants = append(f.Variants, Variant{Name: "no " + m.String(), Policy: homePolicy, Without: mechanisms{mechanism.Of(m)}})
	}
}

// poolWays lists the ways of deciding of a pool's home, other than the defaults, that package
// trial simulates.
var poolWays = []mechanism.Way{
	mechanism.ChoiceMemory,
}

// OtherWays replaces the variants by the home policy with the default ways of deciding and, for
// each way in poolWays, the home policy with that way.
func (f *File) OtherWays() {
	f.Variants = []Variant{{Policy: homePolicy}}
	for _, w := range poolWays {
		f.Variants = append(f.Variants, Variant{Name: w.String(), Policy: homePolicy, Ways: ways{mechanism.WaysOf(w)}})
	}
}

// Workload returns the workload that the variants run.
func (f *File) Workload() trial.Workload {
	w := trial.Workload{
		Name: f.Name, Entries: f.Entries, Accounts: f.Organisations, Rate: f.Rate, Length: f.Length, MaxOutput: f.MaxOutput,
		MaxWait: f.MaxWait, HintSigma: f.HintSigma, ReportLag: reportLag, Return: true,
		Leaving: trial.Leaving(f.Leaving), Links: trial.Links(f.Links),
		Failing: trial.Failing(f.Failing), Crashes: trial.Crashes(f.Crashes), Slowing: trial.Slowing(f.Slowing),
		Shutdown: trial.Shutdown(f.Shutdown), EntryLoss: trial.EntryLoss(f.EntryLoss),
		Cordoning: trial.Cordoning(f.Cordoning), Spells: trial.Spells(f.Spells), Surge: trial.Surge(f.Surge), HomeLoss: trial.HomeLoss(f.HomeLoss),
	}
	e := f.Engines
	for k := range e.Count {
		slow := 1.0
		if len(e.Slowness) > 0 {
			slow = e.Slowness[k%len(e.Slowness)]
		}
		scaled := func(d time.Duration) time.Duration { return time.Duration(float64(d) * slow) }
		w.Engines = append(w.Engines, trial.EngineSpec{
			Capacity: e.Capacity, MaxBatch: e.Batch, Chunk: e.Chunk,
			Base: scaled(e.Step), PerDecode: scaled(e.PerGeneration), PerPrompt: scaled(e.PerPromptToken),
		})
	}
	for _, r := range f.Requests {
		w.Orgs = append(w.Orgs, trial.Org{
			Name: r.Name, Share: r.Share, PromptMedian: r.PromptMedian, PromptSigma: r.PromptSigma,
			Median: r.OutputMedian, Sigma: r.OutputSigma, MaxPrompt: r.PromptMost, MaxOutput: r.OutputMost,
			Worth: r.Worth, LateShare: r.LateShare, FirstTarget: r.FirstTarget, Repeatable: r.Repeatable,
		})
	}
	return w
}

// reportLag is the age of the load in an engine's report, as stated by the users.
const reportLag = 500 * time.Millisecond
