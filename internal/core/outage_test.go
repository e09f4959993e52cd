package core_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/core/booking"
	"mulberrylug.example/mulberrylug/internal/core/membership"
)

// generate sends a request for a generation to an instance and returns the request id.
func (sim *simulation) generate(n *simInstance, stream bool) string {
	id := fmt.Sprintf("%s:b:g%d", n.name, len(sim.submittedAt)+1)
	sim.submittedAt[id] = sim.now
	sim.handle(n, core.CallerRequest{
		ID: id, APIKey: simKey, Model: "dispatch-7b", Method: "POST", Path: "/v1/completions",
		Stream: stream, Prompt: 10, MaxTokens: 100,
	})
	return id
}

// warmUpEngines makes the home of the engines' pool poll them, as warmUp does for the
// booking service.
func (sim *simulation) warmUpEngines() {
	for _, n := range sim.instances {
		sim.generate(n, true)
	}
	sim.advance(simTick)
	for len(sim.heldCalls) > 0 {
		h := sim.heldCalls[0]
		if h.dispatch == nil || !h.dispatch.Engine {
			sim.resolveCall(0, callSucceeds)
			continue
		}
		sim.heldCalls = sim.heldCalls[1:]
		sim.produce(h.owner, h.dispatch, 0, 1, true)
	}
}

// takeDispatch removes and returns the held dispatch of a request, nil if there is none.
func (sim *simulation) takeDispatch(id string) *core.Dispatch {
	for index, h := range sim.heldCalls {
		if h.dispatch != nil && h.dispatch.Request == id {
			sim.heldCalls = append(sim.heldCalls[:index:index], sim.heldCalls[index+1:]...)
			return h.dispatch
		}
	}
	return nil
}

// produce delivers the tokens from index from up to, but not including, index to, and then
// the end of the generation if end is set.
func (sim *simulation) produce(n *simInstance, d *core.Dispatch, from, to int, end bool) {
	for k := from; k < to; k++ {
		sim.handle(n, core.UpstreamToken{Request: d.Request, Attempt: d.Attempt, Link: d.Link, Index: k, Text: "x"})
	}
	if end {
		sim.handle(n, core.UpstreamEnd{Request: d.Request, Attempt: d.Attempt, Link: d.Link, Tokens: to, Reason: "stop"})
	}
}

// finishOf returns how a request ended. The result is zero unless it ended exactly once.
func (sim *simulation) finishOf(id string) core.Finish {
	if ends := sim.finishes[id]; len(ends) == 1 {
		return ends[0]
	}
	return core.Finish{}
}

// Guards the service during an outage of the table, here of ten minutes. The running
// generation must complete, and new generations must run within the chunk that is
// already debited. After two consecutive failed calls to the table, bookings must be
// refused immediately as not_run with a Retry-After, without a call to the table.
// After the outage, bookings must run.
func TestOutageTenMinutes(t *testing.T) {
	sim := newSimulation(2, "1000.00")
	sim.settleAll()
	sim.warmUpEngines()
	n := sim.instances[0]
	running := sim.takeDispatch(sim.generate(n, true))
	sim.produce(n, running, 0, 10, false)
	sim.tableDown = true
	sim.advance(3 * time.Second)
	before := sim.commits
	var booked, generated int
	for minute := range 10 {
		sim.produce(n, running, 10+minute, 11+minute, false)
		for k := range 6 {
			f := sim.finishOf(sim.book(n, fmt.Sprint("outage-", minute, k), "b"))
			if f.Outcome == core.NotRun && f.Reason == core.ReasonStore && f.RetryAfter > 0 {
				booked++
			}
			id := sim.generate(sim.instances[k%2], true)
			sim.advance(100 * time.Millisecond)
			if d := sim.takeDispatch(id); d != nil {
				sim.produce(sim.instances[k%2], d, 0, 5, true)
			}
			if sim.finishOf(id).Outcome == core.Done {
				generated++
			}
			for range 10 {
				sim.handle(n, core.UpstreamAlive{Request: running.Request, Attempt: running.Attempt, Link: running.Link})
				sim.advance(time.Second)
			}
		}
	}
	sim.produce(n, running, 20, 20, true)
	if sim.finishOf(running.Request).Outcome != core.Done {
		t.Errorf("finish of the running generation = %+v, want outcome done", sim.finishOf(running.Request))
	}
	if booked != 60 || generated != 60 {
		t.Errorf("bookings refused immediately = %d, generations done = %d, want 60 and 60", booked, generated)
	}
	if sim.commits != before {
		t.Errorf("writes sent while the table was known to be down = %d, want 0", sim.commits-before)
	}
	sim.tableDown = false
	sim.advance(2 * time.Second)
	sim.warmUp()
	id := sim.book(n, "after", "b")
	sim.settleAll()
	if sim.finishOf(id).Outcome != core.Done {
		t.Errorf("finish of a booking after the outage = %+v, want outcome done", sim.finishOf(id))
	}
}

// Guards against the outcome not_run for a request that an engine has worked on. The
// first attempt reaches an engine and fails; the retry is refused because the budget
// is used up. The request may have run, so the outcome must be unknown.
func TestPromise3RefusalAfterAttemptThatRan(t *testing.T) {
	sim := newSimulation(1, "0.07")
	n := sim.instances[0]
	sim.warmUpEngines()
	id := sim.generate(n, false)
	sim.advance(simTick)
	for try := range 2 {
		d := sim.takeDispatch(id)
		if d == nil {
			break
		}
		sim.handle(n, core.UpstreamFailed{Request: id, Attempt: d.Attempt, Link: d.Link, Sent: try == 0, NotFound: true, Step: "send", Err: "cut"})
		sim.advance(3 * time.Second)
	}
	if f := sim.finishOf(id); f.Outcome != core.Unknown {
		t.Errorf("finish of the request whose retry was refused = %+v, want outcome unknown", f)
	}
}

// Guards against the outcome not_run when a caller resumes a stream and the instance
// rejects the handle or the API key: the generation has run in any case.
func TestPromise3RefusedResume(t *testing.T) {
	sim := newSimulation(1, "1.00")
	for id, key := range map[string]string{"bad handle": simKey, "bad key": "other"} {
		sim.handle(sim.instances[0], core.CallerResume{ID: id, APIKey: key, LastEventID: "x.1"})
		if f := sim.finishOf(id); f.Outcome != core.Unknown {
			t.Errorf("%s: finish of the resume = %+v, want outcome unknown", id, f)
		}
	}
}

// Guards against a resume that fails because the instance list lags. The caller resumes at an
// instance whose list does not contain the engine yet, while the generation still runs. The
// entry must wait for the list and then resume, instead of failing after a few calls to an
// empty address.
func TestPromise1ResumeBeforeInstanceListHasEngine(t *testing.T) {
	sim := newSimulation(2, "1.00")
	sim.warmUpEngines()
	first, second := sim.instances[0], sim.instances[1]
	id := sim.generate(first, true)
	sim.advance(simTick)
	d := sim.takeDispatch(id)
	if d == nil {
		t.Fatal("the generation was not dispatched, want a dispatch")
	}
	sim.produce(first, d, 0, 5, false)
	without := slices.DeleteFunc(sim.members(), func(m membership.Member) bool { return m.Name == d.Upstream })
	sim.handle(second, core.InstanceList{Members: without})
	sim.handle(second, core.CallerResume{ID: "resumed", APIKey: simKey, LastEventID: sim.lastEventIDs[id]})
	sim.advance(simTick)
	if sim.takeDispatch("resumed") != nil {
		t.Error("the resume was dispatched while the upstream's address was unknown, want no dispatch")
	}
	sim.handle(second, core.InstanceList{Members: sim.members()})
	sim.advance(3 * time.Second)
	resumed := sim.takeDispatch("resumed")
	if resumed == nil || resumed.From != 5 || resumed.Address == "" {
		t.Fatalf("dispatch of the resume = %+v, want From = 5 and an address; finish = %+v", resumed, sim.finishOf("resumed"))
	}
	sim.produce(second, resumed, 5, 10, true)
	if f := sim.finishOf("resumed"); f.Outcome != core.Done {
		t.Errorf("finish of the resumed stream = %+v, want outcome done", f)
	}
}

// Guards against a home of an organisation that drains and keeps the unused part of its
// chunk debited. Only the cost of the one booking must stay debited.
func TestBudgetDrainReturnsChunk(t *testing.T) {
	sim := newSimulation(2, "1000.00")
	sim.settleAll()
	sim.warmUp()
	sim.resolveAllCalls()
	row := func() string {
		for key, row := range sim.table.Rows {
			if strings.HasPrefix(key, "budget/") {
				return string(row.Value)
			}
		}
		return ""
	}
	if !strings.Contains(row(), `"debited":20000000,`) {
		t.Errorf("budget row = %s, want a debited chunk of 20.00", row())
	}
	for _, n := range sim.instances {
		sim.handle(n, core.Drain{})
	}
	sim.advance(7 * time.Second)
	if !strings.Contains(row(), `"debited":10000,`) {
		t.Errorf("budget row after the drain = %s, want 0.01 debited", row())
	}
}

// Guards against the outcome not_run for a request that reached an engine. The engine
// crashes before the first token, and the resume fails to connect. That failure proves
// nothing about the first connection, over which the request reached the engine.
func TestPromise3DialFailureOfResumeDoesNotProveNotRun(t *testing.T) {
	sim := newSimulation(1, "0.07")
	n := sim.instances[0]
	sim.warmUpEngines()
	id := sim.generate(n, true)
	sim.advance(simTick)
	for range 4 {
		if d := sim.takeDispatch(id); d != nil {
			sim.handle(n, core.UpstreamFailed{Request: id, Attempt: d.Attempt, Link: d.Link, Sent: !d.Resume, NotFound: d.Resume, Step: "send", Err: "refused"})
		}
		sim.advance(3 * time.Second)
	}
	if f := sim.finishOf(id); f.Outcome != core.Unknown {
		t.Errorf("finish of the request after failed dials of its resume = %+v, want outcome unknown", f)
	}
}

// Guards against booking records that are deleted too early or never. One instance must
// delete them, page by page, and only once they have expired a day after their claim. From
// then on, a repeat of a key runs as a new call.
func TestPromise4RecordsExpire(t *testing.T) {
	sim := newSimulation(2, "1000.00")
	sim.settleAll()
	const bookings = 450
	for k := range bookings {
		sim.book(sim.instances[k%2], fmt.Sprint("k", k), "b")
		sim.resolveAllCalls()
	}
	count := func() (rows int) {
		for key := range sim.table.Rows {
			if len(key) > len(booking.Prefix) && key[:len(booking.Prefix)] == booking.Prefix {
				rows++
			}
		}
		return rows
	}
	sim.now = sim.now.Add(booking.OutcomeTTL - time.Hour)
	sim.advance(30 * time.Second)
	if got := count(); got < bookings {
		t.Errorf("booking rows before their expiry = %d, want %d", got, bookings)
	}
	sim.now = sim.now.Add(2 * time.Hour)
	commits := sim.commits
	sim.advance(30 * time.Second)
	sim.resolveAllCalls()
	sim.advance(time.Second)
	sim.resolveAllCalls()
	if got := count(); got != 0 {
		t.Errorf("booking rows after their expiry = %d, want 0", got)
	}
	t.Logf("swept=%d transactions=%d", bookings, sim.commits-commits)
}

func (sim *simulation) resolveAllCalls() {
	for len(sim.heldCalls) > 0 {
		sim.resolveCall(0, callSucceeds)
	}
}

// Guards the number of calls to the table without faults. A booking takes two writes, its
// claim and its record; a repeat of its key takes one, a claim that conflicts; a generation
// takes none. Debits, one for each fiftieth of the limit, come in addition.
func TestPromise4TableCallsPerBooking(t *testing.T) {
	sim := newSimulation(2, "1000.00")
	sim.settleAll()
	sim.warmUp()
	sim.resolveAllCalls()
	sim.warmUpEngines()
	const calls = 100
	countCalls := func(name string, wantWrites, wantReads int, f func(k int)) {
		commits, reads := sim.commits, sim.reads
		for k := range calls {
			f(k)
			sim.resolveAllCalls()
		}
		t.Logf("%s: writes=%.2f reads=%.2f per call", name, float64(sim.commits-commits)/calls, float64(sim.reads-reads)/calls)
		if sim.commits-commits != wantWrites*calls || sim.reads-reads != wantReads*calls {
			t.Errorf("%s: table writes = %d, reads = %d for %d calls, want wantWrites and wantReads of this case per call", name, sim.commits-commits, sim.reads-reads, calls)
		}
	}
	book := func(k int) { sim.book(sim.instances[0], fmt.Sprint("cost", k), "b") }
	countCalls("first call", 2, 0, book)
	countCalls("repeat", 1, 0, book)
	countCalls("generation", 0, 0, func(int) {
		id := sim.generate(sim.instances[0], true)
		if d := sim.takeDispatch(id); d != nil {
			sim.produce(sim.instances[0], d, 0, 5, true)
		}
	})
}

// Guards against a slow debit that makes the organisation's home look dead. The table
// takes a second for the debit. The home replies that it is waiting. Otherwise entries
// would mark it as silent and no longer use it as the home of other keys, and the next
// home would debit a second chunk. The bookings must run.
func TestBudgetSlowDebitDoesNotMarkHomeSilent(t *testing.T) {
	sim := newSimulation(2, "1000.00")
	sim.settleAll()
	sim.slowDebits = true
	for _, n := range sim.instances {
		n.inst = core.New(core.Options{Self: sim.member(n.name), Boot: "c", Seed: 1})
		sim.startInstance(n)
	}
	var ids []string
	for k, n := range sim.instances {
		ids = append(ids, sim.book(n, fmt.Sprint("slow-", k), "b"))
	}
	sim.advance(time.Second)
	debits := len(sim.heldCalls)
	if debits != 1 || sim.resets != 0 {
		t.Errorf("debits = %d, homes marked as silent = %d, want 1 and 0", debits, sim.resets)
	}
	sim.settleAll()
	for _, id := range ids {
		if sim.finishOf(id).Outcome != core.Done {
			t.Errorf("finish of %s = %+v, want outcome done", id, sim.finishOf(id))
		}
	}
}
