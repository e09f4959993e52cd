package core_test

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/memtable"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/booking"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/membership"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/table"
)

// simTick is the interval between two ticks of the instances.
const simTick = 50 * time.Millisecond

// simKey is the API key of the organisation in simConfig.
const simKey = "depot-key"

// simConfig is the configuration, with placeholders for the hash of simKey and the spend limit.
const simConfig = `deployment:
  name: test
  regions: {kerala-south: [kochi-a]}
  stream_key: a-test-key-that-is-long-enough-to-sign
  entry_ttl: 2s
organisations:
  - name: depot
    key_sha256: [%s]
    services: [assistant, order-desk]
    limits: {spend: %s, requests_per_second: 100000, concurrent: 512, max_output_tokens: 1000}
models:
  - {name: dispatch-7b, prompt_price: 0.10, output_price: 0.40}
services:
  - {name: assistant, kind: engine, model: dispatch-7b}
  - {name: order-desk, kind: plain, call_price: 0.01, timeout: 3s}
upstreams:
  - {name: engine-1, service: assistant, data_centre: kochi-a}
  - {name: engine-2, service: assistant, data_centre: kochi-a}
  - {name: desk-1, service: order-desk, data_centre: kochi-a}
`

// simulation drives instances in virtual time, with a simulated table and booking service
// whose faults the test controls.
type simulation struct {
	now       time.Time
	instances []*simInstance
	hash      string
	object    []byte
	// trace receives a line for each action.
	trace io.Writer
	table *memtable.Table
	// tableDown makes every call to the table fail without effect.
	tableDown bool
	// slowDebits makes commits of debits wait for resolveCall, as those of bookings always do.
	slowDebits bool
	// commits and reads count the calls to the table.
	commits int
	// exitCount counts the instances that exited after a drain. cutOff lists the requests that
	// these instances left unfinished.
	exitCount int
	cutOff    []string
	// resets counts connections that were reset because the peer did not reply.
	resets int
	reads  int
	// heldCalls are the calls that wait for resolveCall.
	heldCalls []heldCall
	// lateTxs are transactions that the table applies after it reported their result as unknown.
	lateTxs []table.Tx

	// executions are the executions at the booking service. The maps below are
	// keyed by request id.
	executions  []execution
	requests    map[string]core.CallerRequest
	submittedAt map[string]time.Time
	finishes    map[string][]core.Finish
	// lastEventIDs maps requests to the id of the last event that their caller received.
	lastEventIDs map[string]string
	endedAt      map[string]time.Time
}

// simInstance is an instance in the simulation. inbox queues its events while it is frozen.
type simInstance struct {
	name   string
	inst   *core.Instance
	frozen bool
	dead   bool
	inbox  []core.Event
}

// heldCall is a call that the simulation has received and not yet answered; resolveCall answers
// it. commit is set for the commit of a booking or debit, dispatch for a call to an upstream.
type heldCall struct {
	owner    *simInstance
	commit   core.Commit
	dispatch *core.Dispatch
}

// execution is one execution of a call at the booking service.
type execution struct {
	request, key, body string
	at                 time.Time
}

// newSimulation returns a simulation of a number of instances and an organisation with a spend limit.
func newSimulation(instances int, spend string) *simulation {
	sim := &simulation{
		trace: io.Discard,
		now:   time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC), table: memtable.New(), requests: map[string]core.CallerRequest{},
		submittedAt: map[string]time.Time{}, finishes: map[string][]core.Finish{}, lastEventIDs: map[string]string{}, endedAt: map[string]time.Time{},
	}
	for n := range instances {
		name := fmt.Sprintf("entry-%d", n+1)
		sim.instances = append(sim.instances, &simInstance{name: name, inst: core.New(core.Options{Self: sim.member(name), Boot: "b", Seed: 1})})
	}
	cfg, err := config.Parse([]config.File{{Name: "c.yaml", Data: fmt.Appendf(nil, simConfig, config.HashKey(simKey), spend)}})
	if err != nil {
		panic(err)
	}
	object, hash, err := cfg.Encode()
	if err != nil {
		panic(err)
	}
	pointer, _ := json.Marshal(core.ConfigPointer{Number: 1, Hash: hash})
	sim.table.Write(table.Write{Key: core.ConfigRow, Value: pointer})
	sim.hash, sim.object = hash, object
	for _, n := range sim.instances {
		sim.startInstance(n)
	}
	sim.warmUp()
	return sim
}

func (sim *simulation) member(name string) membership.Member {
	return membership.Member{Name: name, Role: membership.RoleEntry, DataCentre: "kochi-a", State: membership.Live}
}

// startInstance sends the instance list and the configuration to an instance.
func (sim *simulation) startInstance(n *simInstance) {
	sim.handle(n, core.InstanceList{Members: sim.members()})
	sim.handle(n, core.Tick{})
	sim.handle(n, core.ObjectResult{Hash: sim.hash, OK: true, Data: sim.object})
}

// warmUp makes the home of the booking service's pool poll its upstreams, so that it has reports.
func (sim *simulation) warmUp() {
	for _, n := range sim.instances {
		if !n.dead {
			sim.book(n, "warm", "warm")
		}
	}
	sim.advance(simTick)
}

func (sim *simulation) members() []membership.Member {
	list := []membership.Member{
		{Name: "desk-1", Role: "order-desk", DataCentre: "kochi-a", Address: "desk", State: membership.Live},
		{Name: "engine-1", Role: "assistant", DataCentre: "kochi-a", Address: "engine", State: membership.Live},
		{Name: "engine-2", Role: "assistant", DataCentre: "kochi-a", Address: "engine", State: membership.Live},
	}
	for _, n := range sim.instances {
		if !n.dead {
			list = append(list, sim.member(n.name))
		}
	}
	return list
}

// handle passes an event to an instance, or queues the event while the instance is frozen.
func (sim *simulation) handle(n *simInstance, ev core.Event) {
	switch {
	case n.dead:
	case n.frozen:
		n.inbox = append(n.inbox, ev)
	default:
		for _, a := range n.inst.Handle(sim.now, ev) {
			sim.perform(n, a)
		}
	}
}

func (sim *simulation) perform(n *simInstance, a core.Action) {
	fmt.Fprintf(sim.trace, "%s %T %+v\n", n.name, a, a)
	switch a := a.(type) {
	case core.Send:
		for _, to := range sim.instances {
			if to.name == a.To {
				sim.handle(to, core.PeerMessage{From: n.name, Msg: a.Msg})
			}
		}
	case core.Commit:
		key := a.Tx.Writes[0].Key
		if (strings.HasPrefix(key, booking.Prefix) || sim.slowDebits && strings.HasPrefix(key, "budget/")) && !sim.tableDown {
			sim.heldCalls = append(sim.heldCalls, heldCall{owner: n, commit: a})
			return
		}
		sim.commit(n, a)
	case core.ResetPeer:
		sim.resets++
	case core.Exit:
		sim.recordExit(n)
	case core.Read:
		sim.read(n, a)
	case core.Scan:
		sim.reads++
		sim.handle(n, core.ScanResult{Op: a.Op, OK: !sim.tableDown, Rows: sim.scan(a)})
	case core.Dispatch:
		sim.heldCalls = append(sim.heldCalls, heldCall{owner: n, dispatch: &a})
	case core.Poll:
		sim.handle(n, core.UpstreamReport{PolledAt: sim.now, Report: placement.Report{Upstream: a.Upstream, Boot: "u", Capacity: 1 << 20, MaxBatch: 512}})
	case core.Deliver:
		sim.lastEventIDs[a.Request] = a.EventID()
	case core.Finish:
		sim.finishes[a.Request] = append(sim.finishes[a.Request], a)
		sim.endedAt[a.Request] = sim.now
	}
}

func (sim *simulation) commit(n *simInstance, a core.Commit) {
	sim.commits++
	res := table.Result{Status: table.Unknown}
	if !sim.tableDown {
		res = sim.table.Apply(a.Tx)
	}
	sim.handle(n, core.CommitResult{Op: a.Op, Result: res})
}

func (sim *simulation) read(n *simInstance, a core.Read) {
	sim.reads++
	if sim.tableDown {
		sim.handle(n, core.ReadResult{Op: a.Op})
		return
	}
	sim.handle(n, core.ReadResult{Op: a.Op, OK: true, Rows: []table.Row{sim.table.Row(a.Keys[0])}})
}

func (sim *simulation) scan(a core.Scan) []table.Row {
	rows := slices.DeleteFunc(sim.table.Scan(a.Prefix), func(row table.Row) bool { return row.Key <= a.After })
	return rows[:min(a.Limit, len(rows))]
}

// advance advances time in steps of simTick, with a tick for each instance that is not frozen.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(simTick)
		for _, n := range sim.instances {
			if !n.frozen {
				sim.handle(n, core.Tick{})
			}
		}
	}
}

// recordExit records the requests that an exiting instance leaves unfinished.
func (sim *simulation) recordExit(n *simInstance) {
	sim.exitCount++
	for id := range sim.submittedAt {
		if sim.instanceOf(id) == n && len(sim.finishes[id]) == 0 {
			sim.cutOff = append(sim.cutOff, id)
		}
	}
	sim.kill(n)
}

func (sim *simulation) unfreeze(n *simInstance) {
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	for _, ev := range inbox {
		sim.handle(n, ev)
	}
}

func (sim *simulation) kill(n *simInstance) {
	n.dead = true
	for _, other := range sim.instances {
		sim.handle(other, core.InstanceList{Members: sim.members()})
	}
}

// book sends a booking to an instance and returns the request id.
func (sim *simulation) book(n *simInstance, key, body string) string {
	id := fmt.Sprintf("%s:b:%d", n.name, len(sim.submittedAt)+1)
	sim.submittedAt[id] = sim.now
	r := core.CallerRequest{
		ID: id, APIKey: simKey, Service: "order-desk", Method: "POST", Path: "/refills",
		Body: []byte(body), BodyHash: body, IdempotencyKey: key, NotRepeatable: true,
	}
	sim.requests[id] = r
	sim.handle(n, r)
	return id
}

// Possible results of a held call.
const (
	callSucceeds = iota
	callReplyLost
	callLost
	callAppliedLate
	// callResults is the number of results.
	callResults
)

// resolveCall ends the held call at an index with a result.
func (sim *simulation) resolveCall(index, result int) {
	h := sim.heldCalls[index]
	sim.heldCalls = slices.Delete(sim.heldCalls, index, index+1)
	if h.dispatch != nil {
		sim.callService(h.owner, *h.dispatch, result)
		return
	}
	sim.commits++
	res := table.Result{Status: table.Unknown}
	switch result {
	case callSucceeds:
		res = sim.table.Apply(h.commit.Tx)
	case callReplyLost:
		sim.table.Apply(h.commit.Tx)
	case callAppliedLate:
		sim.lateTxs = append(sim.lateTxs, h.commit.Tx)
	}
	sim.handle(h.owner, core.CommitResult{Op: h.commit.Op, Result: res})
}

// callService executes a dispatch as the daemon does: it sends the call once, and only before
// the grant has expired.
func (sim *simulation) callService(n *simInstance, d core.Dispatch, result int) {
	if sim.now.After(d.SendBefore) || result == callLost {
		sim.handle(n, core.UpstreamFailed{Request: d.Request, Attempt: d.Attempt, Link: d.Link, Step: "request", Err: "not sent"})
		return
	}
	sim.executions = append(sim.executions, execution{request: d.Request, key: d.Key, body: string(d.Body), at: sim.now})
	if result == callSucceeds {
		sim.handle(n, core.UpstreamResponse{Request: d.Request, Attempt: d.Attempt, Status: 200, Body: []byte("ran " + string(d.Body))})
		return
	}
	sim.handle(n, core.UpstreamFailed{Request: d.Request, Attempt: d.Attempt, Link: d.Link, Sent: true, Step: "read", Err: "cut"})
}

// settleAll applies late transactions, unfreezes all instances, and lets all held calls succeed
// while time advances.
func (sim *simulation) settleAll() {
	for _, tx := range sim.lateTxs {
		sim.table.Apply(tx)
	}
	sim.lateTxs = nil
	for _, n := range sim.instances {
		sim.unfreeze(n)
	}
	for range 12 {
		for len(sim.heldCalls) > 0 {
			sim.resolveCall(0, callSucceeds)
		}
		sim.advance(simTick)
		sim.now = sim.now.Add(2 * time.Second)
	}
}

func (sim *simulation) countRuns(key string) (n int) {
	for _, r := range sim.executions {
		if r.key == key {
			n++
		}
	}
	return n
}
