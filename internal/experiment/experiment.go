// Package experiment plays placement policies side by side in virtual time, on a
// workload that a YAML file describes, and sets their figures in a table.
package experiment

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"

	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/trial"
)

// File is an experiment as it is written down.
type File struct {
	Name string `yaml:"name" validate:"required"`
	// Policies are played side by side; see Policies for their names.
	Policies []string `yaml:"policies" validate:"required,min=1"`
	// Length is how long requests arrive, Rate how many a second.
	Length time.Duration `yaml:"length" validate:"gt=0"`
	Rate   float64       `yaml:"rate" validate:"gt=0"`
	// Entries is the number of instances that callers come to.
	Entries int `yaml:"entries" validate:"gt=0"`
	// MaxWait is the longest that a request may queue; MaxOutput bounds each
	// answer in tokens; HintSigma spreads the callers' estimates.
	MaxWait   time.Duration `yaml:"max_wait" validate:"gt=0"`
	MaxOutput int           `yaml:"max_output" validate:"gt=0"`
	HintSigma float64       `yaml:"hint_sigma" validate:"gte=0"`
	Engines   Engines       `yaml:"engines"`
	Requests  []Requests    `yaml:"requests" validate:"required,min=1,dive"`
	Leaving   Leaving       `yaml:"leaving"`
	Links     Links         `yaml:"links"`
	Failing   Failing       `yaml:"failing"`
	Crashes   Crashes       `yaml:"crashes"`
}

// Engines describes the engines; times are those of an engine of speed 1.
type Engines struct {
	Count    int `yaml:"count" validate:"gt=0"`
	Capacity int `yaml:"capacity" validate:"gt=0"`
	Batch    int `yaml:"batch" validate:"gt=0"`
	Chunk    int `yaml:"chunk" validate:"gt=0"`
	// Step is the least time of a step, PerGeneration and PerPromptToken what
	// each generation and each prompt token add to it.
	Step           time.Duration `yaml:"step" validate:"gt=0"`
	PerGeneration  time.Duration `yaml:"per_generation"`
	PerPromptToken time.Duration `yaml:"per_prompt_token"`
	// Slowness multiplies the times of the engines in turn; none is 1.
	Slowness []float64 `yaml:"slowness"`
}

// Requests describes one kind of request. Lengths are log-normal.
type Requests struct {
	Name         string  `yaml:"name" validate:"required"`
	Share        float64 `yaml:"share" validate:"gt=0"`
	PromptMedian float64 `yaml:"prompt_median" validate:"gt=0"`
	PromptSigma  float64 `yaml:"prompt_sigma"`
	OutputMedian float64 `yaml:"output_median" validate:"gt=0"`
	OutputSigma  float64 `yaml:"output_sigma"`
}

// Leaving makes engines leave at short notice; Every 0 means that none does.
type Leaving struct {
	First   time.Duration `yaml:"first"`
	Every   time.Duration `yaml:"every"`
	Count   int           `yaml:"count"`
	Notice  time.Duration `yaml:"notice"`
	Replace time.Duration `yaml:"replace"`
	NewsLag time.Duration `yaml:"news_lag"`
}

// Failing makes engines fail a part of their requests with good health; Every 0 means
// that none does.
type Failing struct {
	First time.Duration `yaml:"first"`
	Every time.Duration `yaml:"every"`
	For   time.Duration `yaml:"for"`
	Count int           `yaml:"count"`
	Share float64       `yaml:"share" validate:"gte=0,lte=1"`
	After time.Duration `yaml:"after"`
}

// Crashes make engines end without notice; Every 0 means that none does.
type Crashes struct {
	First   time.Duration `yaml:"first"`
	Every   time.Duration `yaml:"every"`
	Count   int           `yaml:"count"`
	Replace time.Duration `yaml:"replace"`
}

// Links carry copies of running generations between engines.
type Links struct {
	TokenBytes  float64       `yaml:"token_bytes"`
	Mbps        float64       `yaml:"mbps"`
	Setup       time.Duration `yaml:"setup"`
	DataCentres int           `yaml:"data_centres"`
}

// Policies lists the policies by name.
func Policies() []trial.Maker {
	even := config.Weights{Stall: 1, Preemptions: 1, Tail: 1}
	return []trial.Maker{
		trial.Alone(trial.Stay), trial.Alone(trial.AllAtOnce), trial.Herd(trial.Stay), trial.Herd(trial.AllAtOnce),
		trial.PoolHome(false), trial.PoolHome(true), trial.Homes("placement", even),
	}
}

// Parse reads an experiment. Unknown fields are errors, which name the file.
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
		return nil, fmt.Errorf("experiment %s: leaving needs a count, and links with mbps", name)
	}
	if _, err := f.makers(); err != nil {
		return nil, fmt.Errorf("experiment %s: %w", name, err)
	}
	return f, nil
}

func (f *File) makers() ([]trial.Maker, error) {
	known := map[string]trial.Maker{}
	names := ""
	for _, m := range Policies() {
		known[m.Name] = m
		names += " " + m.Name
	}
	var out []trial.Maker
	for _, name := range f.Policies {
		m, ok := known[name]
		if !ok {
			return nil, fmt.Errorf("policy %q is unknown; there are%s", name, names)
		}
		out = append(out, m)
	}
	return out, nil
}

// Workload returns what is played.
func (f *File) Workload() trial.Workload {
	w := trial.Workload{
		Name: f.Name, Entries: f.Entries, Rate: f.Rate, Length: f.Length, MaxOutput: f.MaxOutput,
		MaxWait: f.MaxWait, HintSigma: f.HintSigma, ReportLag: reportLag, Return: true,
		Leaving: trial.Leaving(f.Leaving), Links: trial.Links(f.Links),
		Failing: trial.Failing(f.Failing), Crashes: trial.Crashes(f.Crashes),
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
			Median: r.OutputMedian, Sigma: r.OutputSigma,
		})
	}
	return w
}

// reportLag is the age of the load in an engine's report, as the users state it.
const reportLag = 500 * time.Millisecond

// Row holds the figures of one policy, each the median over the seeds.
type Row struct {
	Policy string
	// Sent is the number of requests, InTime the part of them that was
	// answered whole and on time, Lost the part that broke off.
	Sent   int
	InTime float64
	Lost   float64
	Result trial.Result
}

// Run plays the policies for seeds 1 to n. told hears of each that is done.
func (f *File) Run(seeds int, told func(policy string)) ([]Row, error) {
	makers, err := f.makers()
	if err != nil {
		return nil, err
	}
	w := f.Workload()
	list := make([]uint64, seeds)
	for k := range list {
		list[k] = uint64(k + 1)
	}
	var rows []Row
	for _, m := range makers {
		results := trial.Seeds(w, m, list)
		r := trial.Median(results)
		rows = append(rows, Row{
			Policy: m.Name, Sent: sent(r), Result: r,
			InTime: share(results, func(r trial.Result) int { return r.InTime }),
			Lost:   share(results, func(r trial.Result) int { return r.Partial }),
		})
		told(m.Name)
	}
	return rows, nil
}

func sent(r trial.Result) int { return r.Done + r.Partial + r.Unanswered }

// share returns the median over runs of a count's part of all requests.
func share(results []trial.Result, count func(trial.Result) int) float64 {
	var parts []float64
	for _, r := range results {
		parts = append(parts, float64(count(r))/float64(max(sent(r), 1)))
	}
	slices.Sort(parts)
	return parts[len(parts)/2]
}

// Table writes the rows.
func Table(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\tsent\tin time %\tlost %\tmoved\tpreempted\tfirst p95 ms\tlongest gap p99 ms\trefused\t")
	for _, r := range rows {
		x := r.Result
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t\n", r.Policy, r.Sent, 100*r.InTime, 100*r.Lost,
			x.Moved, x.Preemptions, x.FirstP95.Milliseconds(), x.LongestP99.Milliseconds(), x.Refused)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
