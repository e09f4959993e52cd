package placement

import "math/bits"

const (
	// historyAnswers is the decay constant of the counts, in answers: the weight of an answer
	// falls to 1/e after that many later answers.
	historyAnswers = 2500
	// priorWeight is the number of answers at which a level's own counts weigh as much as the
	// estimate of its parent.
	priorWeight = 25
	// priorHazard is the prior probability that an answer ends within a bucket: a wide guess
	// with a heavy tail.
	priorHazard = 0.13
	// priorMinLength is the length below which the prior expects no answer to end.
	priorMinLength = 16
	// recomputeDivisor sets when a level's curve is recomputed: once its new answers are one in
	// recomputeDivisor of its total.
	recomputeDivisor = 50
	// maxOrgLevels bounds the number of levels of organisations; the oldest are evicted.
	maxOrgLevels = 8192
)

// Lengths learns the distribution of answer lengths in tokens. It keeps decayed histograms at
// three levels: by organisation and kind of answer, by kind, and for all answers. A level with
// few answers backs off to the level above. Lengths estimates hazards, so that truncated answers
// count as lower bounds.
type Lengths struct {
	// prior holds the hazards that the top level backs off to.
	prior [buckets]float32
	// ignoreMaxOutput is set if the kind of an answer does not depend on the declared maximum.
	ignoreMaxOutput bool
	all             *level
	kinds           map[kind]*level
	orgs            map[orgKey]*level
	// order holds the organisations' keys for eviction, oldest first.
	order []orgKey
}

// kind is a kind of answer: the service and the octave of the declared maximum length. One
// organisation may request short and long answers, and the mean of both describes neither.
type kind struct {
	service         string
	maxOutputOctave int
}

type orgKey struct {
	kind
	org string
}

// keyOf returns the key of the organisation's level for the answer to a request.
func (l *Lengths) keyOf(service string, req *Request) orgKey {
	k := kind{service: service}
	if !l.ignoreMaxOutput {
		k.maxOutputOctave = bits.Len(uint(max(req.MaxOutput, 0)))
	}
	return orgKey{kind: k, org: req.Org}
}

// level is one histogram of answer lengths.
type level struct {
	// parent is the level to back off to; nil at the top.
	parent *level
	// ended counts the answers that ended in each bucket. reached counts the answers that ended in
	// each bucket or later. Both decay.
	ended   [buckets]float32
	reached [buckets]float32
	hazard  [buckets]float32
	curve   *curve
	// newAnswers counts the answers since the curve was computed. total counts all answers, up to
	// historyAnswers.
	newAnswers, total float32
	// revision counts the computations of the curve; parentRevision is the parent's revision at
	// the last one.
	revision, parentRevision int
}

// NewLengths returns an estimator without observations.
func NewLengths() *Lengths {
	l := &Lengths{kinds: map[kind]*level{}, orgs: map[orgKey]*level{}}
	for b := range l.prior {
		if lowerOf(b) >= priorMinLength {
			l.prior[b] = priorHazard
		}
	}
	l.all = l.newLevel(nil)
	return l
}

func (l *Lengths) newLevel(parent *level) *level {
	v := &level{parent: parent}
	v.recompute(&l.prior)
	return v
}

// Observe records the length of an answer. complete is false for an answer that was broken off,
// whose length is a lower bound.
func (l *Lengths) Observe(service string, req *Request, tokens int, complete bool) {
	own := l.orgLevel(l.keyOf(service, req))
	for v := own; v != nil; v = v.parent {
		v.observe(tokens, complete)
	}
}

// orgLevel returns an organisation's level, creating it if needed.
func (l *Lengths) orgLevel(key orgKey) *level {
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
	if len(l.order) > maxOrgLevels {
		delete(l.orgs, l.order[0])
		l.order = l.order[1:]
	}
	return v
}

// curve returns the length distribution of the answer to a request.
func (l *Lengths) curve(service string, req *Request) *curve {
	v := l.orgLevel(l.keyOf(service, req))
	v.refresh(&l.prior)
	return v.curve
}

func (v *level) observe(tokens int, complete bool) {
	const keep = 1 - 1.0/historyAnswers
	last := bucketOf(tokens)
	for b := range buckets {
		v.ended[b] *= keep
		v.reached[b] *= keep
		if b <= last {
			v.reached[b]++
		}
	}
	if complete {
		v.ended[last]++
	} else {
		v.reached[last]--
	}
	v.total = min(v.total+1, historyAnswers)
	v.newAnswers++
}

// refresh recomputes the curve if this level has enough new answers or its parent's curve has
// changed.
func (v *level) refresh(topPrior *[buckets]float32) {
	if v.parent != nil {
		v.parent.refresh(topPrior)
	}
	enoughNew := v.newAnswers > 0 && v.newAnswers*recomputeDivisor >= v.total
	if enoughNew || v.parent != nil && v.parentRevision != v.parent.revision {
		v.recompute(topPrior)
	}
}

// recompute computes the hazards and the curve from the counts and the parent's hazards, or
// topPrior at the top level.
func (v *level) recompute(topPrior *[buckets]float32) {
	prior := topPrior
	if v.parent != nil {
		prior = &v.parent.hazard
		v.parentRevision = v.parent.revision
	}
	for b := range buckets {
		v.hazard[b] = (v.ended[b] + priorWeight*prior[b]) / (v.reached[b] + priorWeight)
	}
	v.curve = newCurve(&v.hazard)
	v.newAnswers = 0
	v.revision++
}
