package hosted

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

// homeOf returns the current home of a pool, in the pool's data centre if that has instances.
func (i *Instance) homeOf(name string) (home string) {
	dataCentre := roster.ParseGroup(name).DataCentre
	i.peers.with(func(now time.Time, v *fleet.Fleet) { home = v.Home(now, "pool/"+name, dataCentre) })
	return home
}

func (i *Instance) homeSilent(name string) {
	i.peers.with(func(now time.Time, v *fleet.Fleet) { v.Suspect(now, name) })
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

// onPeer handles a message from another instance.
func (i *Instance) onPeer(from string, m msg.Message) {
	if i.homes.take(from, m) {
		return
	}
	switch m := m.(type) {
	case msg.GrantAnswer:
		i.server.granted(m)
	case msg.Strike:
		i.server.struck(m)
	case msg.Failing:
		i.server.failing(from, m)
	case msg.MoveOrder:
		i.server.orderMove(from, m)
	case msg.Heartbeat:
		i.peers.heard(m)
	case msg.Presences:
		i.peers.onPresences(from, m)
	case msg.PresenceAsk:
		i.peers.onPresenceAsk(from, m)
	case msg.JoinAsk:
		i.peers.onJoinAsk(m)
	case msg.JoinAnswer:
		i.peers.onJoinAnswer(from, m)
	case msg.SyncAsk:
		i.relay.ask(from, m)
	case msg.SyncAnswer:
		select {
		case i.asker.answers <- syncAnswer{from: from, SyncAnswer: m}:
		default: // nobody waits for it any more
		}
	default:
		i.log.Warn("peer_message_unknown", "peer", from, "kind", m.Kind())
	}
}
