package experiment

import (
	"math"
	"testing"
)

func TestCompareSeedBySeed(t *testing.T) {
	first := []float64{0.5, 0.9, 0.7, 0.3}
	for _, c := range []struct {
		name   string
		second []float64
		more   bool
		want   Verdict
	}{
		{"each seed a little more", []float64{0.52, 0.91, 0.73, 0.32}, true, Better},
		{"each seed a little more of what is bad", []float64{0.52, 0.91, 0.73, 0.32}, false, Worse},
		{"each seed a little less", []float64{0.48, 0.89, 0.68, 0.27}, true, Worse},
		{"now more, now less", []float64{0.52, 0.87, 0.73, 0.27}, true, NoDifference},
		{"the same", first, true, NoDifference},
	} {
		if got := Compare(first, c.second, c.more); got.Verdict != c.want {
			t.Errorf("%s: %+v, want %s", c.name, got, c.want)
		}
	}
}

// The differences 1, 2 and 3 have mean 2 and deviation 1; for two degrees of freedom
// the quantile is 4.303.
func TestMarginOfAPairedDifference(t *testing.T) {
	p := Compare([]float64{0, 0, 0}, []float64{1, 2, 3}, true)
	if want := 4.3027 / math.Sqrt(3); p.Diff != 2 || math.Abs(p.Margin-want) > 1e-3 {
		t.Errorf("%+v, want 2 +- %.4f", p, want)
	}
}

func TestOnePairShowsNothing(t *testing.T) {
	if p := Compare([]float64{1}, []float64{2}, true); p.Verdict != NoDifference || !math.IsInf(p.Margin, 1) {
		t.Errorf("%+v", p)
	}
}
