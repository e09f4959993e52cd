package trial

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
)

// Cordoning cordons a data centre once and lifts the cordon later.
type Cordoning struct {
	// First is the time from the start of the run to the cordon; For is the duration of the
	// cordon. If For is 0, there is no cordon.
	First time.Duration
	For   time.Duration
	// Restart replaces the data centre's engines when the cordon is lifted; generations
	// that still run on them are lost.
	Restart bool
}

// cordonObserver is a policy that receives the set of cordons.
type cordonObserver interface {
	Cordon(s cordon.Set)
}

// cordonedDataCentre is the index of the data centre that is cordoned: the data centre of the
// first engine.
const cordonedDataCentre = 0

// cordonDataCentre cordons the data centre and schedules the end of the cordon.
func (r *Run) cordonDataCentre() {
	c := r.work.Cordoning
	p, ok := r.policy.(cordonObserver)
	if !ok {
		return
	}
	p.Cordon(cordon.NewSet(1, []string{dataCentreName(cordonedDataCentre)}))
	r.after(c.For, func() {
		if c.Restart {
			r.restartCordoned()
		}
		p.Cordon(cordon.NewSet(2, nil))
	})
}

// restartCordoned kills the engines of the cordoned data centre. A new engine joins for each
// of them.
func (r *Run) restartCordoned() {
	for _, e := range r.engines {
		if e.dead || e.leaving || e.index%max(r.work.Links.DataCentres, 1) != cordonedDataCentre {
			continue
		}
		e.leaving = true
		e.kill(LostCrash)
		if p, ok := r.policy.(departureObserver); ok {
			p.Leaves(e.index)
		}
		r.after(0, func() { r.join(e.spec) })
	}
}
