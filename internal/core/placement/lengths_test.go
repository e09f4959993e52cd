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
			t.Fatalf("bucketOf(%d) = %d with range [%d, %d), want the length within the range", n, b, lowerOf(b), lowerOf(b+1))
		}
	}
}

// The learned remaining length must be close to the true conditional expectation. This includes
// answers that are already long, for which a heavy tail makes it grow.
func TestConditionalRemainingLength(t *testing.T) {
	l := NewLengths()
	rng := rand.New(rand.NewPCG(1, 1))
	var all []float64
	for range 4000 {
		n := max(1, math.Exp(5.2+1.2*rng.NormFloat64()))
		all = append(all, n)
		l.Observe("s", &Request{Org: "o", MaxOutput: 8000}, int(n), true)
	}
	c := l.curve("s", &Request{Org: "o", MaxOutput: 8000})
	for _, tokens := range []int{0, 100, 400, 1000} {
		sum, n := 0.0, 0.0
		for _, x := range all {
			if x > float64(tokens) {
				sum += min(x, 8000) - float64(tokens)
				n++
			}
		}
		if got, want := c.remaining(tokens, 8000), sum/n; got < want*0.75 || got > want*1.35 {
			t.Errorf("remaining length after %d tokens = %.0f, want about %.0f", tokens, got, want)
		}
	}
}

// An organisation without answers is expected to be like the service's other organisations, and
// one with few answers partly so.
func TestLengthsBackOff(t *testing.T) {
	l := NewLengths()
	for range 500 {
		l.Observe("s", &Request{Org: "long", MaxOutput: 8000}, 1000, true)
	}
	fresh := l.curve("s", &Request{Org: "fresh", MaxOutput: 8000}).remaining(0, 8000)
	if fresh < 700 {
		t.Errorf("expected length for a new organisation = %.0f, want at least 700: others have 1000", fresh)
	}
	for range 100 {
		l.Observe("s", &Request{Org: "short", MaxOutput: 8000}, 20, true)
	}
	if short := l.curve("s", &Request{Org: "short", MaxOutput: 8000}).remaining(0, 8000); short > 200 {
		t.Errorf("expected length for an organisation with answers of 20 tokens = %.0f, want at most 200", short)
	}
}

// The length of an answer that was broken off is only a lower bound. If it counted as the end of the
// answer, the lengths of a service whose callers disconnect early would be underestimated.
func TestBrokenOffAnswersAreNotEnds(t *testing.T) {
	l := NewLengths()
	for range 200 {
		l.Observe("s", &Request{Org: "o", MaxOutput: 8000}, 50, false)
		l.Observe("s", &Request{Org: "o", MaxOutput: 8000}, 1000, true)
	}
	if got := l.curve("s", &Request{Org: "o", MaxOutput: 8000}).remaining(0, 8000); got < 800 {
		t.Errorf("expected length = %.0f, want at least 800: complete answers have 1000 tokens", got)
	}
}

func TestOrganisationsAreBounded(t *testing.T) {
	l := NewLengths()
	for i := range maxOrgLevels + 100 {
		l.Observe("s", &Request{Org: string(rune(i)), MaxOutput: 8000}, 10, true)
	}
	if len(l.orgs) > maxOrgLevels || len(l.order) > maxOrgLevels {
		t.Errorf("organisations kept = %d, want at most maxOrgLevels", len(l.orgs))
	}
}

// Each organisation requests single lines and whole pages, with a suitable maximum length for
// each. With one histogram for both, a page was expected to be a few lines long, its memory
// forecast was too low, and it was placed as if it would end soon.
func TestShortAnswersDoNotAffectLongOnes(t *testing.T) {
	l := NewLengths()
	line, page := &Request{Org: "o", MaxOutput: 50}, &Request{Org: "o", MaxOutput: 2200}
	for range 200 {
		l.Observe("s", line, 12, true)
		l.Observe("s", line, 15, true)
		l.Observe("s", page, 800, true)
	}
	if got := l.curve("s", page).remaining(0, 2200); got < 600 || got > 1000 {
		t.Errorf("expected length of a page = %.0f, want about 800", got)
	}
	if got := l.curve("s", line).remaining(0, 50); got > 20 {
		t.Errorf("expected length of a line = %.0f, want about 14", got)
	}
	other := &Request{Org: "new", MaxOutput: 2200}
	if got := l.curve("s", other).remaining(0, 2200); got < 600 {
		t.Errorf("expected length of a new organisation's page = %.0f, want at least 600", got)
	}
}
