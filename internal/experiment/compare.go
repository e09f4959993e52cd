package experiment

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Verdict says what a comparison shows.
type Verdict string

// Verdicts.
const (
	Better Verdict = "better"
	Worse  Verdict = "worse"
	// NoDifference: zero lies within the confidence interval.
	NoDifference Verdict = "no difference shown"
)

// confidence is the chance that the interval of a difference holds the true one.
const confidence = 0.95

// Paired is a figure of one variant, compared with another's on the same seeds.
type Paired struct {
	Mean float64
	// Diff is the mean difference, Margin half the width of its confidence
	// interval; it is infinite for a single pair.
	Diff    float64
	Margin  float64
	Verdict Verdict
}

// Compare compares two variants' figures of the same seeds. moreIsBetter says which
// way is good.
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
