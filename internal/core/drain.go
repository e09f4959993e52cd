package core

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// leavingInterval is the interval of a draining instance's announcements.
	leavingInterval = 500 * time.Millisecond
	// leaveLag is how long after the start of a drain lagging instances may still send callers
	// here, in addition to the lifetime of entry answers.
	leaveLag = 5 * time.Second
)

// drainer is the state of a drain.
type drainer struct {
	since time.Time
	told  time.Time
	// closed is set once nothing runs and no valid entry answer names this instance: later
	// callers are refused as not run.
	closed bool
}

// onDrain removes the instance from entry answers. It continues to serve while earlier answers
// are valid.
func (i *Instance) onDrain(now time.Time) {
	if !i.drain.since.IsZero() {
		return
	}
	i.drain.since = now
	i.view.SetSelfState(membership.Leaving)
	i.emit(Log{Event: "draining"})
	i.announceLeaving(now)
}

// announceLeaving announces the drain to all instances, as the list lags.
func (i *Instance) announceLeaving(now time.Time) {
	i.drain.told = now
	i.broadcast(msg.Leaving{})
}

func (i *Instance) tickDrain(now time.Time) {
	if i.drain.since.IsZero() || i.drain.closed {
		return
	}
	if now.Sub(i.drain.told) >= leavingInterval {
		i.announceLeaving(now)
	}
	if now.Sub(i.drain.since) < i.entryTTL()+leaveLag || i.unfinished(now) {
		return
	}
	i.drain.closed = true
	i.emit(Exit{})
}

// unfinished reports whether an exit would lose something: a request, a booking's record, a
// chunk being returned.
func (i *Instance) unfinished(now time.Time) bool {
	return len(i.requests) > 0 || i.writeBacksWait(now) || i.orgs.Moving()
}

func (i *Instance) entryTTL() time.Duration {
	if i.version == nil {
		return 0
	}
	return i.version.Config.Deployment.EntryTTL.D()
}

// Leaving reports whether the instance is draining.
func (i *Instance) Leaving() bool { return !i.drain.since.IsZero() }

// Entries answers a caller that asks where to connect.
type Entries struct {
	Addresses []string
	TTL       time.Duration
}

// Entries lists callers' addresses of live instances, those of this data centre first.
// Instances that do not answer others are omitted unless none would remain. Callers of an
// organisation that is confined to regions get instances in these and in this one's region
// only.
func (i *Instance) Entries(now time.Time, apiKey string) Entries {
	e := Entries{TTL: i.entryTTL()}
	own := i.selfMember().DataCentre
	var far, suspected []string
	for _, name := range i.view.Entries() {
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

// mayConnect reports whether callers with a key may be sent to instances in a data centre.
func (i *Instance) mayConnect(apiKey, dataCentre string) bool {
	if i.version == nil || apiKey == "" {
		return true
	}
	org := i.version.OrganisationByKey(apiKey)
	region := i.version.Region(dataCentre)
	return org == nil || org.AllowsRegion(region) || region == i.version.Region(i.selfMember().DataCentre)
}
