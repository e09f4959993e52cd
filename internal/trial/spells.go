package trial

import (
	"math/rand/v2"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/slowdown"
)

// Spells makes each engine slow for short times, which it states.
type Spells struct {
	// Share is the share of its time for which an engine is slow; 0 means never. Factor is how many
	// times longer its steps then take, and Length how long a slow spell lasts.
	Share  float64
	Factor float64
	Length time.Duration
	// Lasting lists factors by which engines are always slower or faster. They are given to the
	// engines in turn and are part of what an engine states; none means 1.
	Lasting []float64
	// Interval is the interval at which entries learn what an engine states, and Age the age of a
	// statement when it reaches the policy. As in production, only statements that differ by a
	// quarter or more from the last one are passed on.
	Interval time.Duration
	Age      time.Duration
	// Unaware makes the policy take statements for new when they arrive.
	Unaware bool
}

// speedObserver is a policy that receives what engines state about their speed.
type speedObserver interface {
	Stated(engine int, factor float64, age time.Duration)
}

// statedChange is the ratio of two factors from which a statement is passed on.
const statedChange = 1.25

// startSpells schedules the slow spells of an engine. Each engine has its own random source, so that
// its spells are the same under every policy.
func (r *Run) startSpells(e *engine) {
	s := r.work.Spells
	if n := len(s.Lasting); n > 0 {
		e.lasting = s.Lasting[e.index%n]
	}
	if s.Interval > 0 {
		r.after(s.Interval, func() { r.observeSpeed(e, 0) })
	}
	if s.Share <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(r.seed, uint64(e.index)))
	pause := float64(s.Length) * (1 - s.Share) / s.Share
	var begin, end func()
	begin = func() {
		e.spell = s.Factor
		r.after(s.Length, end)
	}
	end = func() {
		e.spell = 0
		if !e.dead && r.now < 2*r.work.Length {
			r.after(time.Duration(rng.ExpFloat64()*pause), begin)
		}
	}
	end()
}

// observeSpeed passes what an engine states to the policy if it differs from the last statement that
// was passed on; 0 if there is none.
func (r *Run) observeSpeed(e *engine, last float64) {
	p, ok := r.policy.(speedObserver)
	if !ok || e.dead {
		return
	}
	s, factor := r.work.Spells, e.slowdown()
	if last == 0 || factor >= last*statedChange || factor*statedChange <= last {
		last = factor
		age := s.Age
		if s.Unaware {
			age = 0
		}
		r.after(s.Age, func() { p.Stated(e.index, factor, age) })
	}
	r.after(s.Interval, func() { r.observeSpeed(e, last) })
}

// slowdown returns the factor that the engine states.
func (e *engine) slowdown() float64 {
	factor := slowdown.Usual
	for _, f := range []float64{e.lasting, e.spell} {
		if f > 0 {
			factor *= f
		}
	}
	return factor
}
