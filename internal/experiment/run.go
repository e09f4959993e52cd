package experiment

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"

	"mulberrylug.example/mulberrylug/internal/trial"
)

// Row holds the measured results of one variant: medians over the seeds unless stated
// otherwise.
type Row struct {
	Variant string
	// Sent is the number of requests, InTime the fraction of them with a complete response on
	// time, and Lost the fraction whose response was broken off.
	Sent   int
	InTime float64
	Lost   float64
	Result trial.Result
	// Earned is the mean fraction of the value that callers received, LostWorth the mean
	// fraction of the value lost by each fate.
	Earned    float64
	LostWorth map[trial.Fate]float64
	// Gain and Exposure compare Earned and the time in flight in seconds with those of the
	// first variant, seed by seed.
	Gain     Paired
	Exposure Paired
}

// Run runs each variant with the seeds from 1 to the number seeds, on all processors. After
// each run it calls progress with the number of completed runs and the number of all runs.
func (f *File) Run(seeds int, progress func(done, all int)) ([]Row, error) {
	makers, err := f.makers()
	if err != nil {
		return nil, err
	}
	w := f.Workload()
	results := make([][]trial.Result, len(makers))
	for k := range results {
		results[k] = make([]trial.Result, seeds)
	}
	var mu sync.Mutex
	done, all := 0, seeds*len(makers)
	trial.Parallel(all, func(i int) {
		k, seed := i%len(makers), i/len(makers)
		results[k][seed] = trial.Play(w, makers[k], uint64(seed+1))
		mu.Lock()
		defer mu.Unlock()
		done++
		progress(done, all)
	})
	var rows []Row
	for k, m := range makers {
		rows = append(rows, newRow(m.Name, results[0], results[k]))
	}
	return rows, nil
}

// newRow summarises a variant's runs and compares them with those of the first variant.
func newRow(name string, first, list []trial.Result) Row {
	r := trial.Median(list)
	out := Row{
		Variant: name, Sent: sentRequests(r), Result: r, LostWorth: map[trial.Fate]float64{},
		InTime: medianShare(list, func(r trial.Result) int { return r.InTime }),
		Lost:   medianShare(list, func(r trial.Result) int { return r.Partial }),
	}
	earned := func(r trial.Result) float64 { return r.Worth.Earned() }
	exposure := func(r trial.Result) float64 { return r.Worth.Exposure().Seconds() }
	out.Earned = mean(values(list, earned))
	for _, f := range trial.Fates {
		out.LostWorth[f] = mean(values(list, func(r trial.Result) float64 { return r.Worth.LostShare(f) }))
	}
	out.Gain = Compare(values(first, earned), values(list, earned), true)
	out.Exposure = Compare(values(first, exposure), values(list, exposure), false)
	return out
}

// values returns one figure for each result.
func values(list []trial.Result, of func(trial.Result) float64) []float64 {
	var out []float64
	for _, r := range list {
		out = append(out, of(r))
	}
	return out
}

// sentRequests returns the number of requests in a run, without the requests that were refused
// and not sent again.
func sentRequests(r trial.Result) int { return r.Done + r.Partial + r.Unanswered }

// medianShare returns the median over the runs of a count as a fraction of the requests sent.
func medianShare(results []trial.Result, count func(trial.Result) int) float64 {
	parts := values(results, func(r trial.Result) float64 { return float64(count(r)) / float64(max(sentRequests(r), 1)) })
	slices.Sort(parts)
	return parts[len(parts)/2]
}

// Table writes two tables with a line for each row: the measured results, and the percentage
// of the value lost by each fate.
func Table(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "variant\tsent\tworth %\tin flight s\tin time %\tlost %\tms a token\tmoved\tno run\tpreempted\tstall s\tfirst p50/p99 ms\tgap p99/longest p99 ms\trefused\t")
	for _, r := range rows {
		x := r.Result
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.2f\t%d\t%d\t%d\t%.0f\t%d/%d\t%.1f/%d\t%d\t\n", r.Variant, r.Sent,
			100*r.Earned, r.Exposure.Mean, 100*r.InTime, 100*r.Lost, float64(x.TokenTime.Microseconds())/1000, x.Moved, x.NoRun,
			x.Preemptions, x.Stall.Seconds(), x.FirstP50.Milliseconds(), x.FirstP99.Milliseconds(),
			float64(x.P99.Microseconds())/1000, x.LongestP99.Milliseconds(), x.Refused)
	}
	fmt.Fprintln(w, "\t")
	fmt.Fprint(w, "worth lost, %\t")
	for _, f := range trial.Fates {
		fmt.Fprintf(w, "%s\t", f)
	}
	fmt.Fprintln(w)
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t", r.Variant)
		for _, f := range trial.Fates {
			fmt.Fprintf(w, "%.2f\t", 100*r.LostWorth[f])
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// Verdicts writes, for each variant but the first, how it compares with the first variant.
func Verdicts(out io.Writer, rows []Row) error {
	for _, r := range rows[1:] {
		_, err := fmt.Fprintf(out, "%s against %s: worth %s (%+.2f points, 95 %% between %+.2f and %+.2f), time in flight %s (%+.2f s, %+.2f to %+.2f)\n",
			r.Variant, rows[0].Variant, r.Gain.Verdict, 100*r.Gain.Diff, 100*(r.Gain.Diff-r.Gain.Margin), 100*(r.Gain.Diff+r.Gain.Margin),
			r.Exposure.Verdict, r.Exposure.Diff, r.Exposure.Diff-r.Exposure.Margin, r.Exposure.Diff+r.Exposure.Margin)
		if err != nil {
			return fmt.Errorf("write verdict: %w", err)
		}
	}
	return nil
}
