package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

var start = time.Unix(1000, 0)

func heartbeat(k int) msg.Heartbeat {
	return msg.Heartbeat{
		Name: fmt.Sprintf("i%02d", k), DataCentre: "dc", CallerAddress: fmt.Sprintf("10.0.0.%d:80", k),
		PeerAddress: fmt.Sprintf("10.0.0.%d:7200", k), Boot: "b", Ready: true, Reads: true,
	}
}

func fleetOf(self, n int) *Fleet {
	f := New(start, heartbeat(self), nil, 0)
	f.SetSelf(start, true, false, true)
	for k := range n {
		f.Heard(start, heartbeat(k))
	}
	return f
}

// Callers keep an answer for a second or more and connect to what it names. An
// instance that is dead, leaving or cut off from the rest must not be named.
func TestDirectoryLeavesOutWhoDoesNotServe(t *testing.T) {
	f := fleetOf(0, 5)
	leaving, unready := heartbeat(1), heartbeat(2)
	leaving.Leaving, unready.Ready = true, false
	f.Heard(start, leaving)
	f.Heard(start, unready)
	now := start.Add(f.silentAfter("dc") + time.Millisecond)
	f.Heard(now, heartbeat(4))
	f.Tick(now)
	want := []string{heartbeat(0).CallerAddress, heartbeat(4).CallerAddress}
	if got := f.Addresses(Place{}, 64); !slices.Equal(got, want) {
		t.Errorf("addresses = %v, want %v", got, want)
	}
}

func TestSilenceIsNoticedAndForgotten(t *testing.T) {
	f := fleetOf(0, 3)
	lost := f.Tick(start.Add(2 * f.silentAfter("dc")))
	if !slices.Equal(lost, []string{"i01", "i02"}) || f.Size() != 3 {
		t.Errorf("lost %v, size %d", lost, f.Size())
	}
	if f.Heard(start.Add(2*f.silentAfter("dc")), heartbeat(1)) != Regained {
		t.Error("its return must be noticed")
	}
	f.Tick(start.Add(ForgetAfter + 3*f.silentAfter("dc")))
	if f.Find("i02") != nil {
		t.Error("an instance that was replaced must be forgotten")
	}
}

// All instances must agree on who reads the store, or every one of them would;
// and the loss of one must move that role only.
func TestReadersAreAgreedOn(t *testing.T) {
	const n = 13
	want := fleetOf(0, n).Readers(start)
	if len(want) != readers {
		t.Fatalf("readers = %v", want)
	}
	for k := range n {
		if got := fleetOf(k, n).Readers(start); !slices.Equal(got, want) {
			t.Errorf("instance %d believes %v, others %v", k, got, want)
		}
	}
}

func TestARestartIsNews(t *testing.T) {
	f := fleetOf(0, 2)
	again := heartbeat(1)
	again.Boot = "c"
	if f.Heard(start, heartbeat(1)) != Known || f.Heard(start, again) != Regained {
		t.Error("a heartbeat of the same run is no change, one of another run is")
	}
}

// Both readers are cut off from the store while the others reach it. They go on
// answering, but what they know gets old, and with it every key: the next two
// must take the role over.
func TestAReaderThatIsCutOffLosesTheRole(t *testing.T) {
	f := fleetOf(0, 5)
	before := f.Readers(start)
	for k := range 5 {
		if b := heartbeat(k); slices.Contains(before, b.Name) {
			b.Reads = false
			f.Heard(start, b)
			if k == 0 {
				f.SetSelf(start, true, false, false)
			}
		}
	}
	after := f.Readers(start)
	if len(after) != readers || slices.Contains(after, before[0]) || slices.Contains(after, before[1]) {
		t.Errorf("readers were %v and are %v", before, after)
	}
}

// Something between two instances loses track of the connection from one to the
// other: it stays open and swallows every heartbeat. The other takes the first for
// dead, while its own heartbeats still arrive. It says that it hears nothing, and the
// first makes a new connection, though not one for each heartbeat.
func TestASilentConnectionIsGivenUp(t *testing.T) {
	f := fleetOf(0, 2)
	deaf := heartbeat(1)
	now := start.Add(f.resetInterval("dc"))
	f.Heard(now, deaf)
	if !f.Unheard(now, deaf) || f.Unheard(now.Add(f.HeartbeatInterval("dc")), deaf) {
		t.Error("want one reset, and no other at the next heartbeat")
	}
	deaf.Hears = true
	if f.Unheard(now.Add(2*f.resetInterval("dc")), deaf) {
		t.Error("an instance that hears needs no new connection")
	}
	if f.Unheard(start, heartbeat(1)) {
		t.Error("one that is just known has not had time to hear")
	}
}

// A fleet of the target's size must not spend its processors on telling each
// other that it lives: heartbeats get rarer as it grows, and silence is borne longer.
func TestBeatsGetRarerInALargeFleet(t *testing.T) {
	for _, c := range []struct {
		size  int
		every time.Duration
	}{{13, 400 * time.Millisecond}, {100, 400 * time.Millisecond}, {390, 1560 * time.Millisecond}} {
		f := fleetOf(0, c.size)
		if f.HeartbeatInterval("dc") != c.every {
			t.Errorf("%d instances: a heartbeat every %v, want %v", c.size, f.HeartbeatInterval("dc"), c.every)
		}
		if arriving := float64(c.size-1) / f.HeartbeatInterval("dc").Seconds(); arriving > 250 {
			t.Errorf("%d instances: %.0f heartbeats a second arrive at each", c.size, arriving)
		}
		f.Tick(start.Add(3 * c.every))
		if len(f.Live()) != c.size-1 {
			t.Errorf("%d instances: after three heartbeats' time %d count as live", c.size, len(f.Live()))
		}
	}
}

// A process is killed; its machine refuses new connections at once. Until it were
// noticed by silence, 1.3 s later, callers would be sent there and homes asked. A
// heartbeat that came after the look was begun is from the next process: it lives.
func TestAnInstanceThatRefusesConnectionsIsGone(t *testing.T) {
	f := fleetOf(0, 3)
	tried := start.Add(50 * time.Millisecond)
	if !f.Gone(tried, tried, "i01") || slices.Contains(f.Live(), "i01") || len(f.Addresses(Place{}, 64)) != 2 {
		t.Errorf("live %v, named %v", f.Live(), f.Addresses(Place{}, 64))
	}
	if f.Gone(tried, tried, "i01") || f.Gone(tried, tried, "i99") {
		t.Error("one that is gone already, or unknown, is no change")
	}
	again := heartbeat(1)
	again.Boot = "c"
	if f.Heard(tried.Add(time.Millisecond), again) != Regained || f.Gone(tried.Add(2*time.Millisecond), tried, "i01") {
		t.Error("the next process lives")
	}
}

// Callers are sent to instances beside them, and homes stand beside their pools. So the
// heartbeats of a large fleet stay in a data centre, silence is noticed there first, and
// all that arrive are no more than an instance can take.
func TestHeartbeatsOfALargeFleetStayInTheDataCentre(t *testing.T) {
	f := sized(0, 300)
	near, far := f.HeartbeatInterval("dc0"), f.HeartbeatInterval("dc1")
	if near != 800*time.Millisecond || far != 0 {
		t.Errorf("heartbeats every %v near, %v far", near, far)
	}
	if arriving := 99 / near.Seconds(); arriving > 125 {
		t.Errorf("%.0f heartbeats a second arrive", arriving)
	}
	now := start.Add(f.silentAfter("dc0") + time.Millisecond)
	f.Tick(now)
	if f.Hears(now, "i003") || !f.Hears(now, "i001") {
		t.Error("a silent instance of the data centre must be noticed, one of another is not late yet")
	}
	if small := sized(0, 13); small.HeartbeatInterval("dc0") != minInterval || small.HeartbeatInterval("dc1") != minInterval {
		t.Error("a small fleet's heartbeats are all alike")
	}
}
