package hosted

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// homeOf returns the current home of a pool, in the pool's data centre if an instance is alive
// there.
func (i *Instance) homeOf(name string) (home string) {
	dataCentre := roster.ParseGroup(name).DataCentre
	i.peers.with(func(now time.Time, v *fleet.Fleet) { home = v.Home(now, "pool/"+name, dataCentre) })
	return home
}

// limitHomeOf returns the current home of an upstream's rate limit, in the upstream's data centre if
// an instance is alive there. Two homes of a limit at the same time exceed it, so that an instance
// that responds late stays the home until it counts as dead.
func (i *Instance) limitHomeOf(upstream string) (home string) {
	dataCentre := ""
	i.server.decide(func(_ time.Time, g *forward.Gate) { dataCentre = g.DataCentreOf(upstream) })
	i.peers.with(func(_ time.Time, v *fleet.Fleet) { home = v.LimitHome(upstream, dataCentre) })
	return home
}

// suspectHome keeps an instance that did not respond from being chosen as a home for a few
// seconds.
func (i *Instance) suspectHome(name string) {
	i.peers.with(func(now time.Time, v *fleet.Fleet) { v.Suspect(now, name) })
}

// understandsLoad reports whether an instance understands the messages about urgency, the speed of
// upstreams and the load of instances.
func (i *Instance) understandsLoad(name string) (ok bool) {
	i.peers.with(func(_ time.Time, v *fleet.Fleet) { ok = v.UnderstandsLoad(name) })
	return ok
}

// understandsSoftware reports whether an instance understands the messages about the software of upstreams.
func (i *Instance) understandsSoftware(name string) bool {
	return name == i.settings.Name || i.peers.understandsSoftware(name)
}

// originHolders lists the instances to which the record of a stream is given.
func (i *Instance) originHolders(stream string) (names []string) {
	i.peers.with(func(_ time.Time, v *fleet.Fleet) { names = v.OriginHolders(stream) })
	return names
}

// originWitnesses lists the instances that are asked for the record of a stream. complete is false if others may have it.
func (i *Instance) originWitnesses(stream string) (names []string, complete bool) {
	i.peers.with(func(now time.Time, v *fleet.Fleet) { names, complete = v.OriginWitnesses(now, stream) })
	return names, complete
}

// sendAny sends a message to any instance, including this one.
func (i *Instance) sendAny(to string, m msg.Message) {
	if to == i.settings.Name {
		i.onPeer(to, m)
		return
	}
	i.peers.sendTo(to, m)
}

// broadcast sends a message to all other live instances.
func (i *Instance) broadcast(m msg.Message) {
	var live []string
	i.peers.with(func(_ time.Time, v *fleet.Fleet) { live = v.Live() })
	for _, name := range live {
		i.peers.sendTo(name, m)
	}
}

// announce sends what an upstream has stated to all other live instances whose release understands
// that.
func (i *Instance) announce(m msg.Message) {
	var live []string
	i.peers.with(func(_ time.Time, v *fleet.Fleet) {
		for _, name := range v.Live() {
			if v.DividesLimits(name) {
				live = append(live, name)
			}
		}
	})
	for _, name := range live {
		i.peers.sendTo(name, m)
	}
}

// announceSound tells all other live instances that understand it of parts that are sound.
func (i *Instance) announceSound(m msg.PartsSound) { i.sendByRelease(m, nil) }

// announceCrash tells all other live instances of a crash.
func (i *Instance) announceCrash(m msg.CrashEvidence) { i.sendByRelease(m, m.Strike) }

// sendByRelease sends a message about parts of prompts to all other live instances that understand it, and
// another one, unless it is nil, to those of an earlier release.
func (i *Instance) sendByRelease(m, earlier msg.Message) {
	understands := map[string]bool{}
	i.peers.with(func(_ time.Time, v *fleet.Fleet) {
		for _, name := range v.Live() {
			other := v.Find(name)
			understands[name] = other != nil && other.UnderstandsParts()
		}
	})
	for name, ok := range understands {
		switch {
		case ok:
			i.peers.sendTo(name, m)
		case earlier != nil:
			i.peers.sendTo(name, earlier)
		}
	}
}

// onPeer handles a message from another instance.
func (i *Instance) onPeer(from string, m msg.Message) {
	if w, ok := m.(msg.WithSoftware); ok {
		if m = w.Message(); m == nil {
			return // a later release carries other messages, too
		}
	}
	if i.homes.handle(from, m) || i.permits.handle(from, m) {
		return
	}
	switch m := m.(type) {
	case msg.PermitResponse:
		i.server.onPermitResponse(m)
	case msg.UpstreamLeaving:
		i.server.learnLeaving(m, from)
	case msg.RateStatement:
		i.server.learnLimit(m, from)
		if i.limitHomeOf(m.Upstream) == i.settings.Name {
			i.permits.onStatement(from, m)
		}
	case msg.GrantResponse:
		i.server.onGrantResponse(m)
	case msg.Strike:
		i.server.onStrike(m)
	case msg.CrashEvidence:
		i.server.onCrashEvidence(m)
	case msg.PartsSound:
		i.server.onPartsSound(from, m)
	case msg.UpstreamFailing:
		i.server.onFailing(from, m)
	case msg.MoveOrder:
		i.server.onMoveOrder(from, m)
	case msg.StreamOrigins:
		i.server.origins.onOrigins(from, m)
	case msg.OriginsStored:
		i.server.origins.onStored(m)
	case msg.OriginRequest:
		i.server.origins.onRequest(from, m)
	case msg.OriginResponse:
		i.server.origins.onResponse(from, m)
	case msg.Heartbeat:
		i.peers.onHeartbeat(m)
	case msg.InstanceLoad:
		i.onInstanceLoad(m)
	case msg.Presences:
		i.peers.onPresences(from, m)
	case msg.PresenceRequest:
		i.peers.onPresenceRequest(from, m)
	case msg.JoinRequest:
		i.peers.onJoinRequest(m)
	case msg.JoinResponse:
		i.peers.onJoinResponse(from, m)
	case msg.SyncRequest:
		i.relay.handlePoll(from, m)
	case msg.SyncResponse:
		select {
		case i.poller.responses <- syncResponse{from: from, SyncResponse: m}:
		default: // the queue is full, as the requester no longer waits for this response
		}
	default:
		i.log.Warn("peer_message_unknown", "peer", from, "kind", m.Kind())
	}
}
