package placement

import "math/bits"

const (
	// Lengths are counted in buckets, four to an octave, as in an HDR histogram: a bucket's width
	// is at most a quarter of its lower bound.
	bucketBits       = 2
	bucketsPerOctave = 1 << bucketBits
	// buckets is the number of buckets, which cover lengths up to 2^17 tokens.
	buckets = 64
)

// bucketOf returns the bucket of a length in tokens.
func bucketOf(tokens int) int {
	if tokens < bucketsPerOctave {
		return max(tokens, 0)
	}
	shift := bits.Len(uint(tokens)) - bucketBits - 1
	b := (shift+1)<<bucketBits | tokens>>shift&(bucketsPerOctave-1)
	return min(b, buckets-1)
}

// lowerOf returns the lower bound of a bucket in tokens.
func lowerOf(bucket int) int {
	if bucket < bucketsPerOctave {
		return bucket
	}
	shift := bucket>>bucketBits - 1
	return (bucketsPerOctave | bucket&(bucketsPerOctave-1)) << shift
}

// lower and width hold each bucket's lower bound and width in tokens.
var lower, width = bounds()

func bounds() (lows, widths [buckets + 1]float64) {
	for b := range lows {
		lows[b] = float64(lowerOf(b))
		widths[b] = float64(lowerOf(b+1) - lowerOf(b))
	}
	return lows, widths
}

// curve is the learned distribution of answer lengths.
type curve struct {
	// survival is the probability that an answer is longer than each bucket's lower bound.
	survival [buckets + 1]float64
	// beyond is the integral of survival from each bucket's lower bound: the expected number of
	// tokens after it.
	beyond [buckets + 1]float64
}

// minSurvival keeps conditional probabilities finite in the tail.
const minSurvival = 1e-9

// newCurve builds a curve from the hazard of each bucket: the probability that an answer that
// reaches the bucket ends within it.
func newCurve(hazard *[buckets]float32) *curve {
	c := &curve{}
	c.survival[0] = 1
	for b := range buckets {
		c.survival[b+1] = max(c.survival[b]*(1-float64(hazard[b])), minSurvival)
	}
	for b := buckets - 1; b >= 0; b-- {
		c.beyond[b] = c.beyond[b+1] + width[b]*(c.survival[b]+c.survival[b+1])/2
	}
	return c
}

// survivalAt returns the probability that an answer is longer than a number of tokens.
func (c *curve) survivalAt(tokens int) float64 {
	b := bucketOf(tokens)
	fraction := min((float64(tokens)-lower[b])/width[b], 1)
	return c.survival[b] + fraction*(c.survival[b+1]-c.survival[b])
}

// integralFrom returns the integral of survival from a length in tokens.
func (c *curve) integralFrom(tokens int) float64 {
	b := bucketOf(tokens)
	fraction := min((float64(tokens)-lower[b])/width[b], 1)
	return c.beyond[b] + fraction*(c.beyond[b+1]-c.beyond[b])
}

// remaining returns the expected number of further tokens of an answer, given its current and
// its maximum length.
func (c *curve) remaining(tokens, maxTokens int) float64 {
	if tokens >= maxTokens {
		return 0
	}
	return (c.integralFrom(tokens) - c.integralFrom(maxTokens)) / c.survivalAt(tokens)
}
