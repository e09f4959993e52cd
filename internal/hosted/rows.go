package hosted

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// joinBackoff is the mean delay after the first failed access to the instances' rows. It
	// doubles up to joinDoubles times and is randomized, so that instances that start together
	// do not retry together.
	joinBackoff = 500 * time.Millisecond
	joinDoubles = 3
	// rowsInterval is the interval between reads of the rows, rowsAlone the mean delay for an
	// instance without peers.
	rowsInterval = 2 * time.Minute
	rowsAlone    = 8 * time.Second
)

// joinByStore learns the members from the store, as no seed answered.
func (f *peers) joinByStore(ctx context.Context) {
	for tries := 0; ctx.Err() == nil; tries++ {
		err := f.tryRegister(ctx)
		f.joined("store") // whether it answered or not: nobody else tells
		if err == nil {
			return
		}
		f.metrics.Count("store_failures_total", "join")
		f.log.Warn("join_failed", "step", "join", "try", tries+1, "error", err)
		wait := joinBackoff << min(tries, joinDoubles)
		pause(ctx, wait/2+rand.N(wait))
	}
}

// rowKeeper schedules reads of the rows and writes of this instance's own.
type rowKeeper struct {
	// read is the time of the last access, alone the time since which no peer was heard.
	read  time.Time
	alone time.Time
	// wait is the time without peers after which the rows are read.
	wait time.Duration
}

// due reports whether an access is due.
func (k *rowKeeper) due(now time.Time, f *peers) bool {
	alone, must := false, false
	s := f.sources(false)
	f.with(func(now time.Time, v *fleet.Fleet) { alone, must = len(v.Live()) == 0, v.MustRegister(now, s) })
	if !alone {
		k.alone = time.Time{}
	} else if k.alone.IsZero() {
		k.alone, k.wait = now, rowsAlone/2+rand.N(rowsAlone)
	}
	lonely := alone && now.Sub(k.alone) >= k.wait
	if !lonely && (!must || !k.read.IsZero() && now.Sub(k.read) < rowsInterval) {
		return false
	}
	k.read, k.alone = now, time.Time{}
	return true
}

// register writes the own row if it is missing and learns from the others.
func (f *peers) register(ctx context.Context) {
	if err := f.tryRegister(ctx); err != nil && ctx.Err() == nil {
		f.metrics.Count("store_failures_total", "register")
		f.log.Info("register_failed", "error", err)
	}
}

// tryRegister reads the rows, and writes and reads again if the own one is missing, so that of
// two concurrent instances at least one sees the other.
func (f *peers) tryRegister(ctx context.Context) error {
	known, err := f.store.Members(ctx)
	if err != nil {
		return err
	}
	f.learnRows(known)
	self := f.self()
	if slices.ContainsFunc(known, func(r fleet.Row) bool { return sameRow(r.Heartbeat, self) }) {
		return nil
	}
	if err := f.store.Join(ctx, self); err != nil {
		return err
	}
	if known, err = f.store.Members(ctx); err != nil {
		return err
	}
	f.learnRows(known)
	return nil
}

// learnRows adds the instances in the rows and asks some of them for members.
func (f *peers) learnRows(rows []fleet.Row) {
	list := make([]msg.Heartbeat, 0, len(rows))
	for _, r := range rows {
		list = append(list, r.Heartbeat)
	}
	f.learn("store", list, (*fleet.Fleet).Learn)
	ask := f.joinAsk()
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	for _, b := range list[:min(len(list), introducers)] {
		if b.Name != ask.Sender.Name {
			f.send(b, ask)
		}
	}
}

// sameRow reports whether a row matches what the instance would write.
func sameRow(row, self msg.Heartbeat) bool {
	return row.Name == self.Name && row.DataCentre == self.DataCentre &&
		row.CallerAddress == self.CallerAddress && row.PeerAddress == self.PeerAddress
}

// sweep periodically removes the rows of dead instances. The first reader does it for all.
func (f *peers) sweep(ctx context.Context) error {
	var s fleet.Sweep
	for pause(ctx, fleet.SweepInterval); ctx.Err() == nil; pause(ctx, fleet.SweepInterval) {
		if err := f.sweepOnce(ctx, &s); err != nil {
			f.metrics.Count("store_failures_total", "sweep")
			f.log.Warn("sweep_failed", "error", err)
		}
	}
	return ctx.Err()
}

func (f *peers) sweepOnce(ctx context.Context, s *fleet.Sweep) error {
	first := false
	f.with(func(now time.Time, v *fleet.Fleet) {
		readers := v.Readers(now)
		first = len(readers) > 0 && readers[0] == v.Self().Name
	})
	if !first {
		*s = fleet.Sweep{}
		return nil
	}
	rows, err := f.store.Members(ctx)
	if err != nil {
		return err
	}
	var dead []fleet.Row
	f.with(func(now time.Time, v *fleet.Fleet) {
		dead = s.Look(now, rows, func(name string) bool { return name == v.Self().Name || v.Hears(now, name) })
	})
	if len(dead) == 0 {
		return nil
	}
	f.log.Info("instances_swept", "rows", len(rows), "dead", len(dead), "first", dead[0].Name)
	return f.store.Remove(ctx, dead)
}
