package placement

import "math/bits"

const (
	// memory is the number of answers after which a level's older ones have decayed.
	memory = 2500
	// backOff is the number of answers at which a level weighs as much as the one above.
	backOff = 25
	// firstHazard is the prior probability that an answer ends within a bucket: a wide guess
	// with a heavy tail.
	firstHazard = 0.13
	// firstLength is the length below which the prior expects no answer to end.
	firstLength = 16
	// relearn is the fraction of its memory, as a divisor, that a level collects before its
	// curve is recomputed.
	relearn = 50
	// orgLevels bounds the number of organisations with a level of their own.
	orgLevels = 8192
)

// Lengths learns the distribution of answer lengths: decayed histograms by kind of answer and
// organisation, which back off to the kind and to all answers. It estimates hazards, so that
// truncated answers count as lower bounds.
type Lengths struct {
	first [buckets]float32
	// oneKind ignores the declared maximum.
	oneKind bool
	all     *level
	kinds   map[kind]*level
	orgs    map[orgKey]*level
	// order holds the organisations' keys for eviction, oldest first.
	order []orgKey
}

// kind is a kind of answer: the service and the octave of the declared maximum. One
// organisation may ask for lines and for pages, and the mean of both describes neither.
type kind struct {
	service string
	most    int
}

type orgKey struct {
	kind
	org string
}

// keyOf returns the level that an ask's answer belongs to.
func (l *Lengths) keyOf(service string, ask *Ask) orgKey {
	k := kind{service: service}
	if !l.oneKind {
		k.most = bits.Len(uint(max(ask.MaxOutput, 0)))
	}
	return orgKey{kind: k, org: ask.Org}
}

// level is one histogram: ended counts the answers that ended in each bucket, reached those
// that got there.
type level struct {
	above   *level
	ended   [buckets]float32
	reached [buckets]float32
	hazard  [buckets]float32
	curve   *curve
	// fresh counts the answers since the curve was computed, total all of them.
	fresh, total float32
	// drawn counts the computations of the curve; aboveDrawn is the parent's count at the last
	// one.
	drawn, aboveDrawn int
}

// NewLengths returns an estimator without observations.
func NewLengths() *Lengths {
	l := &Lengths{kinds: map[kind]*level{}, orgs: map[orgKey]*level{}}
	for b := range l.first {
		if lowerOf(b) >= firstLength {
			l.first[b] = firstHazard
		}
	}
	l.all = l.newLevel(nil)
	return l
}

func (l *Lengths) newLevel(above *level) *level {
	v := &level{above: above}
	v.draw(&l.first)
	return v
}

// Observe records an answer. One that was cut off counts as a lower bound only.
func (l *Lengths) Observe(service string, ask *Ask, tokens int, whole bool) {
	own := l.own(l.keyOf(service, ask))
	for v := own; v != nil; v = v.above {
		v.observe(tokens, whole)
	}
}

// own returns an organisation's level, creating it if needed.
func (l *Lengths) own(key orgKey) *level {
	if v := l.orgs[key]; v != nil {
		return v
	}
	k := l.kinds[key.kind]
	if k == nil {
		k = l.newLevel(l.all)
		l.kinds[key.kind] = k
	}
	v := l.newLevel(k)
	l.orgs[key] = v
	l.order = append(l.order, key)
	if len(l.order) > orgLevels {
		delete(l.orgs, l.order[0])
		l.order = l.order[1:]
	}
	return v
}

// curve returns the distribution for an ask's answer.
func (l *Lengths) curve(service string, ask *Ask) *curve {
	v := l.own(l.keyOf(service, ask))
	v.refresh(&l.first)
	return v.curve
}

func (v *level) observe(tokens int, whole bool) {
	const keep = 1 - 1.0/memory
	last := bucketOf(tokens)
	for b := range buckets {
		v.ended[b] *= keep
		v.reached[b] *= keep
		if b <= last {
			v.reached[b]++
		}
	}
	if whole {
		v.ended[last]++
	} else {
		v.reached[last]--
	}
	v.total = min(v.total+1, memory)
	v.fresh++
}

// refresh recomputes the curve once this level or the one above has learned enough.
func (v *level) refresh(first *[buckets]float32) {
	if v.above != nil {
		v.above.refresh(first)
	}
	learnt := v.fresh > 0 && v.fresh*relearn >= v.total
	if learnt || v.above != nil && v.aboveDrawn != v.above.drawn {
		v.draw(first)
	}
}

func (v *level) draw(first *[buckets]float32) {
	prior := first
	if v.above != nil {
		prior = &v.above.hazard
		v.aboveDrawn = v.above.drawn
	}
	for b := range buckets {
		v.hazard[b] = (v.ended[b] + backOff*prior[b]) / (v.reached[b] + backOff)
	}
	v.curve = newCurve(&v.hazard)
	v.fresh = 0
	v.drawn++
}
