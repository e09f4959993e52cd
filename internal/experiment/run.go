package experiment

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"

	"mulberrylug.example/mulberrylug/internal/trial"
)

// Row holds the figures of one variant, each the median over the seeds unless it
// says otherwise.
type Row struct {
	Variant string
	// Sent is the number of requests, InTime the part of them that was
	// answered whole and on time, Lost the part that broke off.
	Sent   int
	InTime float64
	Lost   float64
	Result trial.Result
	// Earned is the mean part of the worth that callers got, LostWorth the mean
	// part that each fate cost.
	Earned    float64
	LostWorth map[trial.Fate]float64
	// Gain and Exposure compare the worth earned and the time in flight with the
	// first variant's, seed by seed.
	Gain     Paired
	Exposure Paired
}

// Run plays the variants for seeds 1 to n, on all processors. told hears how many
// runs of how many are done.
func (f *File) Run(seeds int, told func(done, all int)) ([]Row, error) {
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
		told(done, all)
	})
	var rows []Row
	for k, m := range makers {
		rows = append(rows, row(m.Name, results[0], results[k]))
	}
	return rows, nil
}

// row sums a variant's runs up and compares them with the first variant's.
func row(name string, first, list []trial.Result) Row {
	r := trial.Median(list)
	out := Row{
		Variant: name, Sent: sent(r), Result: r, LostWorth: map[trial.Fate]float64{},
		InTime: share(list, func(r trial.Result) int { return r.InTime }),
		Lost:   share(list, func(r trial.Result) int { return r.Partial }),
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

func values(list []trial.Result, of func(trial.Result) float64) []float64 {
	var out []float64
	for _, r := range list {
		out = append(out, of(r))
	}
	return out
}

func sent(r trial.Result) int { return r.Done + r.Partial + r.Unanswered }

// share returns the median over runs of a count's part of all requests.
func share(results []trial.Result, count func(trial.Result) int) float64 {
	parts := values(results, func(r trial.Result) float64 { return float64(count(r)) / float64(max(sent(r), 1)) })
	slices.Sort(parts)
	return parts[len(parts)/2]
}

// Table writes the rows: what callers got, then what the worth was lost by.
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

// Verdicts writes how each variant compares with the first.
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
