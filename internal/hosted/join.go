package hosted

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// joinTick is the interval of steps while joining.
	joinTick = 10 * time.Millisecond
	// memberTick is that interval after joining.
	memberTick = 500 * time.Millisecond
	// introducers is the number of instances from the store's rows that are asked for members:
	// rows of dead ones remain for a while.
	introducers = 6
	// seedName prefixes the address of a seed whose name is unknown.
	seedName = "seed "
)

// join makes this instance a member of the fleet and keeps it one.
func (f *peers) join(ctx context.Context) error {
	j := fleet.NewJoin(boottime.Now(), len(f.otherSeeds()) > 0)
	for ctx.Err() == nil {
		var step fleet.JoinStep
		f.with(func(now time.Time, _ *fleet.Fleet) { step = j.Next(now) })
		switch step {
		case fleet.JoinAskSeeds:
			f.askSeeds()
		case fleet.JoinByStore:
			f.joinByStore(ctx)
			return f.stay(ctx)
		case fleet.JoinDone:
			f.joined("seeds")
			return f.stay(ctx)
		case fleet.JoinWait:
		}
		f.awaitAnswer(ctx, j)
	}
	return ctx.Err()
}

// awaitAnswer waits briefly for a seed's answer.
func (f *peers) awaitAnswer(ctx context.Context, j *fleet.Join) {
	t := time.NewTimer(joinTick)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case a := <-f.answers:
		f.with(func(_ time.Time, v *fleet.Fleet) { j.Answered(a, v.Size()) })
	}
}

// joined records that the members are known.
func (f *peers) joined(by string) {
	f.learned.Do(func() {
		known := 0
		f.with(func(_ time.Time, v *fleet.Fleet) { known = v.Size() })
		f.log.Info("joined", "by", by, "instances", known)
		close(f.consulted)
	})
}

// hasJoined reports whether joined was called.
func (f *peers) hasJoined() bool {
	select {
	case <-f.consulted:
		return true
	default:
		return false
	}
}

// awaitLearned waits until the members are known, which decide who reads the store.
func (f *peers) awaitLearned(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.consulted:
	}
}

// otherSeeds lists the seeds other than this instance.
func (f *peers) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(f.seeds), func(a string) bool { return a == f.seedAddress })
}

// askSeeds asks the seeds over new connections: an earlier dial to a machine without power
// would hang for longer than its start takes.
func (f *peers) askSeeds() {
	for _, address := range f.otherSeeds() {
		f.transport.Reset(seedName + address)
		f.askSeed(address)
	}
}

func (f *peers) askSeed(address string) {
	ask := f.joinAsk()
	f.send(msg.Heartbeat{Name: seedName + address, PeerAddress: address}, ask)
}

func (f *peers) joinAsk() (ask msg.JoinAsk) {
	ready, leaving, reads := f.state()
	f.with(func(now time.Time, v *fleet.Fleet) {
		v.SetSelf(now, ready, leaving, reads)
		ask = v.JoinAsk()
	})
	return ask
}

// onJoinAsk answers a request for members.
func (f *peers) onJoinAsk(m msg.JoinAsk) {
	m.Sender.Hears = true // it does not say whether it does
	f.heard(m.Sender)
	ready := f.hasJoined()
	var answer msg.JoinAnswer
	f.with(func(_ time.Time, v *fleet.Fleet) { answer = v.JoinAnswer(m, ready) })
	f.send(m.Sender, answer)
}

// onJoinAnswer handles a list of members.
func (f *peers) onJoinAnswer(from string, m msg.JoinAnswer) {
	f.with(func(now time.Time, v *fleet.Fleet) { v.Told(now, m.Size) })
	f.learn("instance "+from, m.Instances, (*fleet.Fleet).Introduce)
	select {
	case f.answers <- m:
	default: // this instance has joined, or has enough of them to read
	}
}

// learn adds known members and asks new ones for a heartbeat.
func (f *peers) learn(source string, known []msg.Heartbeat, take func(*fleet.Fleet, time.Time, msg.Heartbeat) bool) {
	var fresh []msg.Heartbeat
	f.with(func(now time.Time, v *fleet.Fleet) {
		for _, b := range known {
			if take(v, now, b) {
				fresh = append(fresh, b)
			}
		}
		v.Tick(now)
	})
	if len(fresh) == 0 {
		return
	}
	f.log.Info("instances_learned", "source", source, "count", len(known), "new", len(fresh))
	self := f.self()
	self.Answer = true
	for _, b := range fresh {
		if f.sendsHeartbeats(b.DataCentre) {
			f.send(b, self)
		}
	}
}

// sendsHeartbeats reports whether this instance sends heartbeats to a data centre itself.
func (f *peers) sendsHeartbeats(dataCentre string) (ok bool) {
	f.with(func(_ time.Time, v *fleet.Fleet) { ok = v.HeartbeatInterval(dataCentre) > 0 })
	return ok
}

// stay maintains the membership. It periodically compares members with another instance, which
// heals a partition after both sides have expired each other. Relays also keep a row in the
// store and read the others'.
func (f *peers) stay(ctx context.Context) error {
	syncs, nextSync := 0, boottime.Now().Add(fleet.SyncAfter(0))
	var rows rowKeeper
	for ctx.Err() == nil {
		pause(ctx, memberTick)
		now := boottime.Now()
		if !now.Before(nextSync) {
			f.syncMembers()
			syncs++
			nextSync = now.Add(fleet.SyncAfter(syncs))
		}
		if rows.due(now, f) {
			f.register(ctx)
		}
	}
	return ctx.Err()
}

// syncMembers asks another instance for its members: one of its peers, or one of the seeds.
// Relays ask seeds, to find relays of data centres that their own has lost.
func (f *peers) syncMembers() {
	var live []string
	f.with(func(now time.Time, v *fleet.Fleet) {
		if !v.IsRelay(now) {
			live = v.Near()
		}
	})
	seeds := f.otherSeeds()
	if n := rand.IntN(len(live) + len(seeds) + 1); n < len(seeds) || len(live) == 0 {
		if len(seeds) > 0 {
			f.askSeed(seeds[n%len(seeds)])
		}
		return
	}
	f.sendTo(live[rand.IntN(len(live))], f.joinAsk())
}
