package experiment

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Verdict is the result of a comparison.
type Verdict string

// Values of Verdict.
const (
	Better Verdict = "better"
	Worse  Verdict = "worse"
	// NoDifference means that the confidence interval of the difference includes zero.
	NoDifference Verdict = "no difference shown"
)

// confidence is the confidence level of the interval of a difference.
const confidence = 0.95

// Paired is the comparison of a figure of two variants on the same seeds.
type Paired struct {
	// Mean is the mean of the figures of the second variant.
	Mean float64
	// Diff is the mean over the seeds of the second variant's figure minus the first variant's
	// figure. Margin is half the width of the confidence interval of Diff; it is infinite for
	// a single pair.
	Diff    float64
	Margin  float64
	Verdict Verdict
}

// Compare compares the figures of two variants, which have one figure for each seed in the
// same order, by a paired t-test. moreIsBetter is set if a higher figure is better.
func Compare(first, second []float64, moreIsBetter bool) Paired {
	p := Paired{Mean: mean(second), Margin: math.Inf(1), Verdict: NoDifference}
	diffs := make([]float64, len(first))
	for k := range diffs {
		diffs[k] = second[k] - first[k]
	}
	p.Diff = mean(diffs)
	if n := float64(len(diffs)); n > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}
		p.Margin = t.Quantile((1+confidence)/2) * stat.StdDev(diffs, nil) / math.Sqrt(n)
	}
	switch {
	case math.Abs(p.Diff) <= p.Margin:
	case p.Diff > 0 == moreIsBetter:
		p.Verdict = Better
	default:
		p.Verdict = Worse
	}
	return p
}

func mean(values []float64) float64 { return stat.Mean(values, nil) }
