package experiment

import (
	"math"
	"testing"
)

func TestCompareSeedBySeed(t *testing.T) {
	first := []float64{0.5, 0.9, 0.7, 0.3}
	for _, c := range []struct {
		name         string
		second       []float64
		moreIsBetter bool
		want         Verdict
	}{
		{"slightly more for each seed, more is better", []float64{0.52, 0.91, 0.73, 0.32}, true, Better},
		{"slightly more for each seed, less is better", []float64{0.52, 0.91, 0.73, 0.32}, false, Worse},
		{"slightly less for each seed", []float64{0.48, 0.89, 0.68, 0.27}, true, Worse},
		{"more for some seeds, less for others", []float64{0.52, 0.87, 0.73, 0.27}, true, NoDifference},
		{"equal figures", first, true, NoDifference},
	} {
		if got := Compare(first, c.second, c.moreIsBetter); got.Verdict != c.want {
			t.Errorf("%s: got %+v, want verdict %s", c.name, got, c.want)
		}
	}
}

// The differences 1, 2 and 3 have mean 2 and standard deviation 1. The 97.5 % quantile of
// Student's t-distribution with two degrees of freedom is 4.303.
func TestMarginOfAPairedDifference(t *testing.T) {
	p := Compare([]float64{0, 0, 0}, []float64{1, 2, 3}, true)
	if want := 4.3027 / math.Sqrt(3); p.Diff != 2 || math.Abs(p.Margin-want) > 1e-3 {
		t.Errorf("differences 1, 2 and 3: got %+v, want a mean difference of 2 and a margin of %.4f", p, want)
	}
}

func TestSinglePairShowsNoDifference(t *testing.T) {
	if p := Compare([]float64{1}, []float64{2}, true); p.Verdict != NoDifference || !math.IsInf(p.Margin, 1) {
		t.Errorf("single pair: got %+v, want verdict NoDifference and an infinite margin", p)
	}
}
