package placement

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestBucketsAreInOrder(t *testing.T) {
	for n := range 1 << 16 {
		b := bucketOf(n)
		if lowerOf(b) > n || lowerOf(b+1) <= n {
			t.Fatalf("%d is in bucket %d, which is [%d, %d)", n, b, lowerOf(b), lowerOf(b+1))
		}
	}
}

// What is learnt must come close to the true conditional expectation, also far
// into the answer, where a heavy tail makes it grow.
func TestConditionalRemainingLength(t *testing.T) {
	l := NewLengths()
	rng := rand.New(rand.NewPCG(1, 1))
	var all []float64
	for range 4000 {
		n := max(1, math.Exp(5.2+1.2*rng.NormFloat64()))
		all = append(all, n)
		l.Observe("s", &Ask{Org: "o", MaxOutput: 8000}, int(n), true)
	}
	c := l.curve("s", &Ask{Org: "o", MaxOutput: 8000})
	for _, so := range []int{0, 100, 400, 1000} {
		sum, n := 0.0, 0.0
		for _, x := range all {
			if x > float64(so) {
				sum += min(x, 8000) - float64(so)
				n++
			}
		}
		if got, want := c.remaining(so, 8000), sum/n; got < want*0.75 || got > want*1.35 {
			t.Errorf("after %d tokens: %.0f more expected, truly %.0f", so, got, want)
		}
	}
}

// An organisation that has sent nothing yet is expected to be like the
// service's others, and one with few answers partly so.
func TestLengthsBackOff(t *testing.T) {
	l := NewLengths()
	for range 500 {
		l.Observe("s", &Ask{Org: "long", MaxOutput: 8000}, 1000, true)
	}
	fresh := l.curve("s", &Ask{Org: "fresh", MaxOutput: 8000}).remaining(0, 8000)
	if fresh < 700 {
		t.Errorf("%.0f tokens expected of an organisation like the others", fresh)
	}
	for range 100 {
		l.Observe("s", &Ask{Org: "short", MaxOutput: 8000}, 20, true)
	}
	if short := l.curve("s", &Ask{Org: "short", MaxOutput: 8000}).remaining(0, 8000); short > 200 {
		t.Errorf("%.0f tokens expected of one with answers of 20", short)
	}
}

// Answers that were cut off say only that they would have got longer. Were
// they counted as ends, a service whose callers leave early would look short.
func TestCutAnswersAreNotEnds(t *testing.T) {
	l := NewLengths()
	for range 200 {
		l.Observe("s", &Ask{Org: "o", MaxOutput: 8000}, 50, false)
		l.Observe("s", &Ask{Org: "o", MaxOutput: 8000}, 1000, true)
	}
	if got := l.curve("s", &Ask{Org: "o", MaxOutput: 8000}).remaining(0, 8000); got < 800 {
		t.Errorf("%.0f tokens expected, whole answers had 1000", got)
	}
}

func TestOrganisationsAreBounded(t *testing.T) {
	l := NewLengths()
	for i := range orgLevels + 100 {
		l.Observe("s", &Ask{Org: string(rune(i)), MaxOutput: 8000}, 10, true)
	}
	if len(l.orgs) > orgLevels || len(l.order) > orgLevels {
		t.Errorf("%d organisations remembered", len(l.orgs))
	}
}

// Pattern: the organisations all ask for lines and for pages, each declaring the most
// that it wants. With one histogram for both, a page was expected to be a few lines long,
// its memory was forecast too small, and it was placed as if it were soon gone.
func TestLinesTeachNothingOfPages(t *testing.T) {
	l := NewLengths()
	line, page := &Ask{Org: "o", MaxOutput: 50}, &Ask{Org: "o", MaxOutput: 2200}
	for range 200 {
		l.Observe("s", line, 12, true)
		l.Observe("s", line, 15, true)
		l.Observe("s", page, 800, true)
	}
	if got := l.curve("s", page).remaining(0, 2200); got < 600 || got > 1000 {
		t.Errorf("%.0f tokens expected of a page, want about 800", got)
	}
	if got := l.curve("s", line).remaining(0, 50); got > 20 {
		t.Errorf("%.0f tokens expected of a line, want about 14", got)
	}
	other := &Ask{Org: "new", MaxOutput: 2200}
	if got := l.curve("s", other).remaining(0, 2200); got < 600 {
		t.Errorf("%.0f tokens expected of another organisation's page", got)
	}
}
