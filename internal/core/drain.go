package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// leavingInterval is the interval of a draining instance's announcements.
	leavingInterval = 500 * time.Millisecond
	// listLag is how long after the start of a drain instances with a lagging instance list may
	// still name this instance in entry answers. The TTL of these answers comes in addition.
	listLag = 5 * time.Second
)

// drainer is the state of a drain.
type drainer struct {
	since       time.Time
	announcedAt time.Time
	// closed is set once no request is in progress and no valid entry answer names this instance.
	// Later requests are refused as NotRun.
	closed bool
}

// onDrain starts the drain. The instance is no longer named in entry answers, and continues to
// serve while earlier answers are valid.
func (i *Instance) onDrain(now time.Time) {
	if !i.drain.since.IsZero() {
		return
	}
	i.drain.since = now
	i.view.SetSelfState(membership.Leaving)
	i.emit(Log{Event: "draining"})
	i.announceLeaving(now)
}

// announceLeaving announces the drain to all instances, as their instance lists lag.
func (i *Instance) announceLeaving(now time.Time) {
	i.drain.announcedAt = now
	i.broadcast(msg.Leaving{})
}

func (i *Instance) tickDrain(now time.Time) {
	if i.drain.since.IsZero() || i.drain.closed {
		return
	}
	if now.Sub(i.drain.announcedAt) >= leavingInterval {
		i.announceLeaving(now)
	}
	if now.Sub(i.drain.since) < i.entryTTL()+listLag || i.unfinished(now) {
		return
	}
	i.drain.closed = true
	i.emit(Exit{})
}

// unfinished reports whether an exit would lose a request, a pending write of a booking's row or
// the return of a chunk.
func (i *Instance) unfinished(now time.Time) bool {
	return len(i.requests) > 0 || i.hasRecentWriteBacks(now) || i.orgs.TransferInFlight()
}

func (i *Instance) entryTTL() time.Duration {
	if i.version == nil {
		return 0
	}
	return i.version.Config.Deployment.EntryTTL.D()
}

// Leaving reports whether the instance is draining.
func (i *Instance) Leaving() bool { return !i.drain.since.IsZero() }

// Entries is the answer to a caller's query for instances to connect to. TTL is its validity.
type Entries struct {
	Addresses []string
	TTL       time.Duration
}

// Entries lists the addresses for callers of live instances, those of this data centre first.
// Instances that recently did not reply to this instance are omitted unless none would remain.
// Callers of an organisation that is restricted to some regions get only instances in these
// regions and in the region of this instance.
func (i *Instance) Entries(now time.Time, apiKey string) Entries {
	e := Entries{TTL: i.entryTTL()}
	own := i.selfMember().DataCentre
	var far, suspected []string
	for _, name := range i.view.LiveInstances() {
		m, _ := i.view.Member(name)
		switch {
		case !i.mayConnect(apiKey, m.DataCentre):
		case i.view.Suspected(now, name):
			suspected = append(suspected, m.Address)
		case m.DataCentre == own:
			e.Addresses = append(e.Addresses, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	e.Addresses = append(e.Addresses, far...)
	if len(e.Addresses) == 0 {
		e.Addresses = suspected
	}
	return e
}

// mayConnect reports whether callers with an API key may connect to instances in a data centre.
func (i *Instance) mayConnect(apiKey, dataCentre string) bool {
	if i.version == nil || apiKey == "" {
		return true
	}
	org := i.version.OrganisationByKey(apiKey)
	region := i.version.Region(dataCentre)
	return org == nil || org.AllowsRegion(region) || region == i.version.Region(i.selfMember().DataCentre)
}
