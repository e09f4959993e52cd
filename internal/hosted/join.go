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
	// joinStepInterval is the interval between steps while joining.
	joinStepInterval = 10 * time.Millisecond
	// memberCheckInterval is the interval between checks of the membership after joining.
	memberCheckInterval = 500 * time.Millisecond
	// maxIntroducers is the maximum number of instances from the store's rows that are asked for
	// members. It is more than one because rows of dead instances remain for a while.
	maxIntroducers = 6
	// seedNamePrefix is the prefix of the names of seeds whose real names are unknown; the address
	// follows.
	seedNamePrefix = "seed "
)

// join makes this instance a member of the fleet and maintains its membership until the context
// ends.
func (f *peers) join(ctx context.Context) error {
	j := fleet.NewJoin(boottime.Now(), len(f.otherSeeds()) > 0)
	for ctx.Err() == nil {
		var step fleet.JoinStep
		f.with(func(now time.Time, _ *fleet.Fleet) { step = j.Next(now) })
		switch step {
		case fleet.JoinAskSeeds:
			f.querySeeds()
		case fleet.JoinByStore:
			f.joinByStore(ctx)
			return f.maintainMembership(ctx)
		case fleet.JoinDone:
			f.markJoined("seeds")
			return f.maintainMembership(ctx)
		case fleet.JoinWait:
		}
		f.awaitResponse(ctx, j)
	}
	return ctx.Err()
}

// awaitResponse waits for a seed's response, at most until the next step is due.
func (f *peers) awaitResponse(ctx context.Context, j *fleet.Join) {
	t := time.NewTimer(joinStepInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case a := <-f.joinResponses:
		f.with(func(_ time.Time, v *fleet.Fleet) { j.OnResponse(a, v.Size()) })
	}
}

// markJoined records that the members are known, as far as the given source could return them.
func (f *peers) markJoined(by string) {
	f.joinOnce.Do(func() {
		known := 0
		f.with(func(_ time.Time, v *fleet.Fleet) { known = v.Size() })
		f.log.Info("joined", "by", by, "instances", known)
		close(f.joinDone)
	})
}

// hasJoined reports whether the members are known, as far as a source could return them.
func (f *peers) hasJoined() bool {
	select {
	case <-f.joinDone:
		return true
	default:
		return false
	}
}

// awaitJoined waits until the members are known: they determine which instance reads the store.
func (f *peers) awaitJoined(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.joinDone:
	}
}

// otherSeeds lists the seeds other than this instance.
func (f *peers) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(f.seeds), func(a string) bool { return a == f.seedAddress })
}

// querySeeds asks all other seeds for the members that they know. It uses new connections, because
// an earlier dial to a machine without power would hang for longer than the machine takes to start.
func (f *peers) querySeeds() {
	for _, address := range f.otherSeeds() {
		f.transport.Reset(seedNamePrefix + address)
		f.querySeed(address)
	}
}

// querySeed asks one seed for the members that it knows.
func (f *peers) querySeed(address string) {
	req := f.joinRequest()
	f.send(msg.Heartbeat{Name: seedNamePrefix + address, PeerAddress: address}, req)
}

// joinRequest returns the request for the members that another instance knows.
func (f *peers) joinRequest() (req msg.JoinRequest) {
	ready, leaving, reads := f.state()
	f.with(func(now time.Time, v *fleet.Fleet) {
		v.SetSelf(now, ready, leaving, reads)
		req = v.JoinRequest()
	})
	return req
}

// onJoinRequest responds to a request for the members that this instance knows.
func (f *peers) onJoinRequest(m msg.JoinRequest) {
	m.Sender.ReceivesYours = true // a join request does not state whether our heartbeats arrive
	f.onHeartbeat(m.Sender)
	ready := f.hasJoined()
	var response msg.JoinResponse
	f.with(func(_ time.Time, v *fleet.Fleet) { response = v.JoinResponse(m, ready) })
	f.send(m.Sender, response)
	f.sendStatements(m.Sender)
}

// sendStatements tells an instance that has started what upstreams have stated, once.
func (f *peers) sendStatements(to msg.Heartbeat) {
	if !to.DividesLimits() {
		return
	}
	f.mu.Lock()
	done := f.informed[to.Name] == to.Boot
	f.mu.Unlock()
	if done {
		return
	}
	statements := f.statements()
	if to.UnderstandsParts() {
		statements = append(statements, f.evidence()...)
	}
	if len(statements) == 0 {
		return
	}
	f.mu.Lock()
	f.informed[to.Name] = to.Boot
	f.mu.Unlock()
	f.log.Info("statements_sent", "to", to.Name, "boot", to.Boot, "count", len(statements))
	for _, m := range statements {
		f.send(to, m)
	}
}

// onJoinResponse handles a list of members.
func (f *peers) onJoinResponse(from string, m msg.JoinResponse) {
	f.with(func(now time.Time, v *fleet.Fleet) { v.SetSizeHint(now, m.Size) })
	f.addMembers("instance "+from, m.Instances, (*fleet.Fleet).Introduce)
	select {
	case f.joinResponses <- m:
	default: // the queue is full: this instance has joined, or has responses left to process
	}
}

// addMembers adds the members that a source knows, using the given method of Fleet, and asks new
// members for a heartbeat.
func (f *peers) addMembers(source string, known []msg.Heartbeat, add func(*fleet.Fleet, time.Time, msg.Heartbeat) bool) {
	var fresh []msg.Heartbeat
	f.with(func(now time.Time, v *fleet.Fleet) {
		for _, b := range known {
			if add(v, now, b) {
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
	self.WantsResponse = true
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

// maintainMembership periodically compares the list of members with another instance, which
// heals a partition after both sides have expired each other. Relays also keep a row in the
// store and read the rows of others.
func (f *peers) maintainMembership(ctx context.Context) error {
	syncs, nextSync := 0, boottime.Now().Add(fleet.SyncAfter(0))
	var rows rowSchedule
	for ctx.Err() == nil {
		sleep(ctx, memberCheckInterval)
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

// syncMembers asks another instance for the members that it knows: one with which heartbeats are
// exchanged, or a seed. Relays ask only seeds, to find the relays of data centres with which their
// own data centre has lost contact.
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
			f.querySeed(seeds[n%len(seeds)])
		}
		return
	}
	f.sendTo(live[rand.IntN(len(live))], f.joinRequest())
}
