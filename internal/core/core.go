// Package core makes every decision of an instance. An Instance takes typed
// events and returns typed actions; it does no I/O, starts no goroutine and
// reads no clock. The same seed and events give the same actions.
//
// Each file holds one concern:
//
//   - Requests at their entry: entry.go accepts them, reserve.go reserves budget,
//     place.go obtains a grant for an upstream, run.go runs the attempts, resume.go
//     resumes generations after a lost connection, failure.go retries.
//   - Calls that may not be repeated: book.go claims and records them, bookwait.go
//     answers repeats of their keys, writeback.go retries writes of their rows in the
//     background, sweep.go deletes expired rows, tablehealth.go detects an outage of
//     the table.
//   - Roles for other instances: poolhome.go and orghome.go are the homes of pools and
//     organisations. guard.go, verdict.go and strikes.go stop requests that crash
//     upstreams, avoid.go avoids upstreams that fail every request, limits.go, leaving.go and
//     pauses.go obey what upstreams state in responses, orphans.go cancels generations that no entry follows,
//     orders.go sends upstreams their orders.
//   - The instance itself: configsync.go, configpoll.go and configadopt.go keep the
//     configuration current, cordons.go applies cordons, drain.go leaves without
//     cutting off a request, explain.go records decisions.
package core

import (
	"maps"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/budget"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/retry"
	"mulberrylug.example/mulberrylug/internal/core/suspect"
)

// Options are the parameters of an instance.
type Options struct {
	Self membership.Member
	// Boot identifies this run of the instance's process.
	Boot string
	// Seed initialises the jitter of retries.
	Seed uint64
	// Without lists disabled mechanisms.
	Without mechanism.Set
}

// Instance is one instance of the system. It is not safe for concurrent use.
type Instance struct {
	self string
	boot string
	view *membership.View
	// without lists disabled mechanisms.
	without mechanism.Set

	version *config.Version
	// cordons are the cordons of the configuration version in force.
	cordons cordon.Set
	configs configSync

	requests map[string]*request
	timers   timers
	retries  *retry.Budgets

	pools map[string]*poolHome
	// poolNames lists the pools in a fixed order.
	poolNames   []string
	lengths     *placement.Lengths
	orgs        *budget.Home
	suspects    *suspect.List
	strikes     strikeSync
	ring        ring
	drain       drainer
	announcer   announcer
	tableHealth tableHealth
	writeBacks  writeBacks
	sweep       sweeper
	// leavingRuns holds the runs of upstreams that have notified this instance of their leaving.
	leavingRuns leavingRuns
	pauses      upstreamPauses
	// budgetsChecked is the time of the last check of the budget accounts.
	budgetsChecked time.Time

	// actions collects the actions of the current event. localMessages collects the messages that
	// this instance sends to itself.
	actions       []Action
	localMessages []msg.Message
}

// New returns an instance without any state.
func New(o Options) *Instance {
	return &Instance{
		self: o.Self.Name, boot: o.Boot, without: o.Without,
		view:     membership.NewView(o.Self),
		configs:  newConfigSync(o.Boot),
		requests: map[string]*request{},
		retries:  retry.NewBudgets(o.Seed),
		pools:    map[string]*poolHome{},
		lengths:  placement.NewLengths(),
		orgs:     budget.NewHome(o.Self.Name + "-" + o.Boot),
		suspects: suspect.NewList(strikeTTL),

		leavingRuns: leavingRuns{}, pauses: upstreamPauses{},
	}
}

// Handle processes one event and returns the resulting actions.
func (i *Instance) Handle(now time.Time, ev Event) []Action {
	i.handle(now, ev)
	for len(i.localMessages) > 0 {
		m := i.localMessages[0]
		i.localMessages = i.localMessages[1:]
		i.onPeer(now, i.self, m)
	}
	out := i.actions
	i.actions = nil
	return out
}

func (i *Instance) handle(now time.Time, ev Event) {
	switch e := ev.(type) {
	case CallerRequest:
		i.onRequest(now, e)
	case CallerResume:
		i.onResume(now, e)
	case CallerDisconnected:
		i.onCallerDisconnected(now, e.ID)
	case PeerMessage:
		i.view.ClearSuspicion(e.From)
		i.onPeer(now, e.From, e.Msg)
	case UpstreamToken:
		i.onToken(now, e)
	case UpstreamAlive:
		i.onAlive(now, e)
	case UpstreamEnd:
		i.onEnd(now, e)
	case UpstreamResponse:
		i.onUpstreamResponse(now, e)
	case UpstreamFailed:
		i.onFailed(now, e)
	case UpstreamStatement:
		i.onStatement(now, e)
	case UpstreamReport:
		i.onReport(now, e)
	case PollFailed:
		i.onPollFailed(now, e)
	case CommitResult:
		i.onCommit(now, e)
	case ReadResult:
		i.onRead(now, e)
	case ScanResult:
		i.onScan(now, e)
	case ObjectResult:
		i.onObject(now, e)
	case TurnResult:
		i.onTurn(now, e)
	case OrderResult:
		i.onOrderResult(now, e)
	case ConfigApplied:
		i.onConfigApplied(now, e)
	case InstanceList:
		i.view.Update(now, e.Members)
	case Drain:
		i.onDrain(now)
	case Tick:
		i.onTick(now)
	}
}

func (i *Instance) onPeer(now time.Time, from string, m msg.Message) {
	switch m := m.(type) {
	case msg.GrantRequest:
		i.onGrantRequest(now, from, m)
	case msg.GrantResponse:
		i.onGrantResponse(now, from, m)
	case msg.GrantEnd:
		i.onGrantEnd(now, m)
	case msg.Announce:
		i.onAnnounce(now, from, m)
	case msg.ReserveRequest:
		i.onReserveRequest(now, from, m)
	case msg.ReserveResponse:
		i.onReserveResponse(now, from, m)
	case msg.Settle:
		i.onSettle(now, m)
	case msg.UpstreamLeaving:
		i.onUpstreamLeaving(now, m)
	case msg.RateStatement:
		i.onRateStatement(now, from, m)
	case msg.Strike:
		i.onStrike(now, m)
	case msg.StrikesRequest:
		i.onStrikesRequest(now, from)
	case msg.Strikes:
		i.onStrikes(now, m)
	case msg.Adopted:
		i.onAdopted(now, m)
	case msg.FollowRequest:
		i.onFollowRequest(now, from, m)
	case msg.FollowResponse:
		i.onFollowResponse(from, m)
	case msg.ConfigVersion:
		i.onConfigVersion(now, from, m)
	case msg.ConfigRequest:
		i.onConfigRequest(now, from, m)
	case msg.ConfigObjectRequest:
		i.onConfigObjectRequest(from, m)
	case msg.ConfigObjectPart:
		i.onConfigObjectPart(now, from, m)
	case msg.Leaving:
		i.view.MarkLeaving(now, from)
	case msg.ExplainRequest:
		i.onExplainRequest(from, m)
	case msg.ExplainResponse:
		i.emit(ExplainResult{ID: m.ID, Lines: m.Lines})
	}
}

func (i *Instance) onTick(now time.Time) {
	i.timers.fire(now, func(id string) {
		if r := i.requests[id]; r != nil && !r.wake.After(now) {
			i.onWake(now, r)
		}
	})
	i.tickPools(now)
	i.tickStrikes(now)
	i.tickConfig(now)
	i.tickAnnouncements(now)
	i.tickBudgets(now)
	i.tickWriteBacks(now)
	i.tickSweep(now)
	i.tickDrain(now)
}

func (i *Instance) emit(a Action) { i.actions = append(i.actions, a) }

func (i *Instance) count(group, name string) { i.emit(Count{Group: group, Name: name}) }

// send sends a message to an instance by name. Messages to this instance are handled before
// Handle returns.
func (i *Instance) send(to string, m msg.Message) {
	if to == i.self {
		i.localMessages = append(i.localMessages, m)
		return
	}
	if member, ok := i.view.Member(to); ok {
		i.emit(Send{To: to, Address: member.PeerAddress, Msg: m})
	}
}

// broadcast sends a message to all other live instances.
func (i *Instance) broadcast(m msg.Message) {
	for _, name := range i.view.LiveInstances() {
		if name != i.self {
			i.send(name, m)
		}
	}
}

// sortedNames returns a map's keys in ascending order, for deterministic iteration.
func sortedNames[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
