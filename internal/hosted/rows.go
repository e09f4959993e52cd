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
	// joinBackoff is the mean delay after the first failed access to the instances' rows in the
	// store. It doubles up to maxJoinDoublings times and is randomised, so that instances that
	// start at the same time do not retry at the same time.
	joinBackoff      = 500 * time.Millisecond
	maxJoinDoublings = 3
	// rowsInterval is the interval between reads of the rows by a relay. rowsDelayAlone is the
	// mean time without live peers after which any instance reads the rows.
	rowsInterval   = 2 * time.Minute
	rowsDelayAlone = 8 * time.Second
)

// joinByStore reads the members from the store, since no seed has responded, and retries until
// that succeeds.
func (f *peers) joinByStore(ctx context.Context) {
	for tries := 0; ctx.Err() == nil; tries++ {
		err := f.tryRegister(ctx)
		f.markJoined("store") // also after an error, because there is no other source of the members
		if err == nil {
			return
		}
		f.metrics.Count("store_failures_total", "join")
		f.log.Warn("join_failed", "step", "join", "try", tries+1, "error", err)
		backoff := joinBackoff << min(tries, maxJoinDoublings)
		sleep(ctx, backoff/2+rand.N(backoff))
	}
}

// rowSchedule schedules reads of the instances' rows and writes of this instance's own row.
type rowSchedule struct {
	// lastRead is the time of the last access to the rows, or zero if there was none. aloneSince
	// is the time since which no peer is alive, counted anew after each access, or zero if a
	// peer is alive.
	lastRead   time.Time
	aloneSince time.Time
	// era is the store's era at the last access: the row may be missing in a copy from which the store has come
	// back.
	era int64
	// aloneTimeout is the time without live peers after which the rows are read.
	aloneTimeout time.Duration
}

// due reports whether an access to the rows is due, and records it if so.
func (k *rowSchedule) due(now time.Time, f *peers) bool {
	alone, mustRegister := false, false
	s := f.sources(false)
	f.with(func(now time.Time, v *fleet.Fleet) { alone, mustRegister = len(v.Live()) == 0, v.MustRegister(now, s) })
	if !alone {
		k.aloneSince = time.Time{}
	} else if k.aloneSince.IsZero() {
		k.aloneSince, k.aloneTimeout = now, rowsDelayAlone/2+rand.N(rowsDelayAlone)
	}
	timedOut := alone && now.Sub(k.aloneSince) >= k.aloneTimeout
	era := f.era()
	if !timedOut && (!mustRegister || !k.lastRead.IsZero() && now.Sub(k.lastRead) < rowsInterval && era == k.era) {
		return false
	}
	k.lastRead, k.aloneSince, k.era = now, time.Time{}, era
	return true
}

// register writes this instance's row if it is missing, adds the instances in the other rows, and
// logs a failure.
func (f *peers) register(ctx context.Context) {
	if err := f.tryRegister(ctx); err != nil && ctx.Err() == nil {
		f.metrics.Count("store_failures_total", "register")
		f.log.Info("register_failed", "error", err)
	}
}

// tryRegister reads the rows and adds the instances in them. If this instance's row is missing,
// it writes the row and reads again, so that of two instances that register concurrently at
// least one sees the other.
func (f *peers) tryRegister(ctx context.Context) error {
	known, err := f.readRows(ctx)
	if err != nil {
		return err
	}
	f.addRows(known)
	self := f.self()
	if slices.ContainsFunc(known, func(r fleet.Row) bool { return sameRow(r.Heartbeat, self) }) {
		return nil
	}
	if err := f.store.Join(ctx, self); err != nil {
		return err
	}
	if known, err = f.readRows(ctx); err != nil {
		return err
	}
	f.addRows(known)
	return nil
}

// readRows reads the rows of the instances. It counts and logs the invalid ones, which another program may write.
func (f *peers) readRows(ctx context.Context) ([]fleet.Row, error) {
	read, err := f.store.Members(ctx)
	if err != nil {
		return nil, err
	}
	for range read.Unreadable {
		f.metrics.Count("instance_rows_total", "unreadable")
	}
	if n := len(read.Unreadable); n > 0 {
		f.log.Warn("instance_rows_unreadable", "unreadable", n, "rows", len(read.Rows), "first", read.Unreadable[0])
	}
	return read.Rows, nil
}

// addRows adds the instances in the rows and asks some of them for their members.
func (f *peers) addRows(rows []fleet.Row) {
	list := make([]msg.Heartbeat, 0, len(rows))
	for _, r := range rows {
		list = append(list, r.Heartbeat)
	}
	f.addMembers("store", list, (*fleet.Fleet).Learn)
	req := f.joinRequest()
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	for _, b := range list[:min(len(list), maxIntroducers)] {
		if b.Name != req.Sender.Name {
			f.send(b, req)
		}
	}
}

// sameRow reports whether a row equals the row that the instance itself would write.
func sameRow(row, self msg.Heartbeat) bool {
	return row.Name == self.Name && row.DataCentre == self.DataCentre &&
		row.CallerAddress == self.CallerAddress && row.PeerAddress == self.PeerAddress
}

// sweep periodically removes the rows of dead instances. Only the first reader of the store does
// this, for all instances.
func (f *peers) sweep(ctx context.Context) error {
	var s fleet.Sweep
	for sleep(ctx, fleet.SweepInterval); ctx.Err() == nil; sleep(ctx, fleet.SweepInterval) {
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
	rows, err := f.readRows(ctx)
	if err != nil {
		return err
	}
	var dead []fleet.Row
	f.with(func(now time.Time, v *fleet.Fleet) {
		dead = s.DeadRows(now, rows, func(name string) bool { return name == v.Self().Name || v.IsAlive(now, name) })
	})
	if len(dead) == 0 {
		return nil
	}
	f.log.Info("instances_swept", "rows", len(rows), "dead", len(dead), "first", dead[0].Name)
	return f.store.Remove(ctx, dead)
}
