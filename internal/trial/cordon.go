package trial

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/cordon"
)

// Cordoning takes a data centre out of service for a while.
type Cordoning struct {
	// First is when, For how long; For 0 means never.
	First time.Duration
	For   time.Duration
	// Restart is set if its engines start anew as the cordon is lifted: what runs there
	// is lost.
	Restart bool
}

// cordoner is a policy that hears of cordons.
type cordoner interface {
	Cordon(s cordon.Set)
}

// cordoned is the data centre that is taken out: that of the first engine.
const cordoned = 0

// cordon takes the data centre out of service, and gives it back later.
func (r *Run) cordon() {
	c := r.work.Cordoning
	p, ok := r.policy.(cordoner)
	if !ok {
		return
	}
	p.Cordon(cordon.NewSet(1, []string{dataCentreName(cordoned)}))
	r.after(c.For, func() {
		if c.Restart {
			r.restart()
		}
		p.Cordon(cordon.NewSet(2, nil))
	})
}

// restart ends the engines of the cordoned data centre, and others join in their place.
func (r *Run) restart() {
	for _, e := range r.engines {
		if e.dead || e.leaving || e.index%max(r.work.Links.DataCentres, 1) != cordoned {
			continue
		}
		e.leaving = true
		e.reclaim(LostCrash)
		if p, ok := r.policy.(leaver); ok {
			p.Leaves(e.index)
		}
		r.after(0, func() { r.join(e.spec) })
	}
}
