package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

var start = time.Unix(1000, 0)

// heartbeat returns the heartbeat of instance k in the data centre "dc".
func heartbeat(k int) msg.Heartbeat {
	return msg.Heartbeat{
		Name: fmt.Sprintf("i%02d", k), DataCentre: "dc", CallerAddress: fmt.Sprintf("10.0.0.%d:80", k),
		PeerAddress: fmt.Sprintf("10.0.0.%d:7200", k), Boot: "b", Ready: true, StoreReachable: true,
	}
}

// fleetOf returns the view of instance self after one heartbeat of each of n instances.
func fleetOf(self, n int) *Fleet {
	f := New(start, heartbeat(self), nil, 0)
	f.SetSelf(start, true, false, true)
	for k := range n {
		f.OnHeartbeat(start, heartbeat(k))
	}
	return f
}

// Callers use a directory response for a second or more and connect to the instances in it. An
// instance that is dead, cut off, leaving or not ready must not be listed.
func TestDirectoryOmitsInstancesThatDoNotServe(t *testing.T) {
	f := fleetOf(0, 5)
	leaving, unready := heartbeat(1), heartbeat(2)
	leaving.Leaving, unready.Ready = true, false
	f.OnHeartbeat(start, leaving)
	f.OnHeartbeat(start, unready)
	now := start.Add(f.deadAfter("dc") + time.Millisecond)
	f.OnHeartbeat(now, heartbeat(4))
	f.Tick(now)
	want := []string{heartbeat(0).CallerAddress, heartbeat(4).CallerAddress}
	if got := f.Addresses(Place{}, 64); !slices.Equal(got, want) {
		t.Errorf("addresses = %v, want %v", got, want)
	}
}

func TestSilentInstancesAreDetectedAndForgotten(t *testing.T) {
	f := fleetOf(0, 3)
	lost := f.Tick(start.Add(2 * f.deadAfter("dc")))
	if !slices.Equal(lost, []string{"i01", "i02"}) || f.Size() != 3 {
		t.Errorf("lost %v, size %d; want i01 and i02 lost, size 3", lost, f.Size())
	}
	if f.OnHeartbeat(start.Add(2*f.deadAfter("dc")), heartbeat(1)) != Regained {
		t.Error("OnHeartbeat does not return Regained for a heartbeat after silence, want Regained")
	}
	f.Tick(start.Add(ForgetAfter + 3*f.deadAfter("dc")))
	if f.Find("i02") != nil {
		t.Error("instance that stayed silent is still known, want it dropped after ForgetAfter")
	}
}

// All instances must choose the same readers of the store, otherwise every instance would
// read it. The loss of one reader must move only its role.
func TestReadersAreAgreedOn(t *testing.T) {
	const n = 13
	want := fleetOf(0, n).Readers(start)
	if len(want) != readerCount {
		t.Fatalf("readers = %v, want two", want)
	}
	for k := range n {
		if got := fleetOf(k, n).Readers(start); !slices.Equal(got, want) {
			t.Errorf("readers according to instance %d = %v, want %v", k, got, want)
		}
	}
}

// A restarted instance sends heartbeats with another Boot value, even if it was never silent. The
// restart must be reported.
func TestARestartIsReported(t *testing.T) {
	f := fleetOf(0, 2)
	restarted := heartbeat(1)
	restarted.Boot = "c"
	if f.OnHeartbeat(start, heartbeat(1)) != Known || f.OnHeartbeat(start, restarted) != Regained {
		t.Error("OnHeartbeat does not return Known for the same Boot value or does not return Regained for another one, want Known and Regained")
	}
}

// Both readers are cut off from the store while other instances reach it. They still respond,
// but their data gets old, until no instance can accept keys. Two other instances must become
// readers.
func TestAReaderThatIsCutOffLosesTheRole(t *testing.T) {
	f := fleetOf(0, 5)
	before := f.Readers(start)
	for k := range 5 {
		if b := heartbeat(k); slices.Contains(before, b.Name) {
			b.StoreReachable = false
			f.OnHeartbeat(start, b)
			if k == 0 {
				f.SetSelf(start, true, false, false)
			}
		}
	}
	after := f.Readers(start)
	if len(after) != readerCount || slices.Contains(after, before[0]) || slices.Contains(after, before[1]) {
		t.Errorf("readers before the outage: %v, after it: %v; want two readers after it, neither of which was a reader before", before, after)
	}
}

// A network device loses track of the connection from one instance to another, which stays
// open but delivers nothing. The receiver counts the sender as dead, while its own heartbeats
// still arrive and report that it receives none. The sender must reset its connection, but
// not after each heartbeat.
func TestASilentConnectionIsReset(t *testing.T) {
	f := fleetOf(0, 2)
	peer := heartbeat(1)
	now := start.Add(f.resetInterval("dc"))
	f.OnHeartbeat(now, peer)
	if !f.MustResetConnection(now, peer) || f.MustResetConnection(now.Add(f.HeartbeatInterval("dc")), peer) {
		t.Error("MustResetConnection reports no reset at the first heartbeat or one at the next, want only the first")
	}
	peer.ReceivesYours = true
	if f.MustResetConnection(now.Add(2*f.resetInterval("dc")), peer) {
		t.Error("reset of the connection to an instance that receives the heartbeats, want none")
	}
	if f.MustResetConnection(start, heartbeat(1)) {
		t.Error("reset of the connection to an instance that has just become known, want none")
	}
}

// Instances of a large fleet must not spend their processor time on heartbeats. The heartbeat
// interval must grow with the fleet, and with it the time without heartbeats after which an
// instance is dead.
func TestHeartbeatIntervalGrowsWithTheFleet(t *testing.T) {
	for _, c := range []struct {
		size     int
		interval time.Duration
	}{{13, 400 * time.Millisecond}, {100, 400 * time.Millisecond}, {390, 1560 * time.Millisecond}} {
		f := fleetOf(0, c.size)
		if f.HeartbeatInterval("dc") != c.interval {
			t.Errorf("%d instances: heartbeat interval %v, want %v", c.size, f.HeartbeatInterval("dc"), c.interval)
		}
		if arriving := float64(c.size-1) / f.HeartbeatInterval("dc").Seconds(); arriving > 250 {
			t.Errorf("%d instances: %.0f heartbeats a second arrive at each, want at most 250", c.size, arriving)
		}
		f.Tick(start.Add(3 * c.interval))
		if len(f.Live()) != c.size-1 {
			t.Errorf("%d instances: %d other live instances after three intervals, want all", c.size, len(f.Live()))
		}
	}
}

// A process is killed, and its machine refuses new connections at once. If only missing
// heartbeats showed this, callers would be sent there and homes queried for another 1.3 s. A
// heartbeat that arrived after the connection attempt is from the next process, which is
// alive.
func TestAnInstanceThatRefusesConnectionsIsDead(t *testing.T) {
	f := fleetOf(0, 3)
	tried := start.Add(50 * time.Millisecond)
	if !f.OnConnectionRefused(tried, tried, "i01") || slices.Contains(f.Live(), "i01") || len(f.Addresses(Place{}, 64)) != 2 {
		t.Errorf("live instances %v, addresses %v; want both lists without i01 and two addresses", f.Live(), f.Addresses(Place{}, 64))
	}
	if f.OnConnectionRefused(tried, tried, "i01") || f.OnConnectionRefused(tried, tried, "i99") {
		t.Error("OnConnectionRefused reports a change for an instance that is dead already or unknown, want none")
	}
	restarted := heartbeat(1)
	restarted.Boot = "c"
	if f.OnHeartbeat(tried.Add(time.Millisecond), restarted) != Regained || f.OnConnectionRefused(tried.Add(2*time.Millisecond), tried, "i01") {
		t.Error("heartbeat of the next process is not reported as Regained, or the process counts as dead after it, want Regained and alive")
	}
}

// Callers use instances of their data centre, and homes are in the data centre of their pool,
// so silent instances must be detected first there. In a large fleet heartbeats are sent only
// within a data centre, and no more of them may arrive than an instance can process.
func TestHeartbeatsOfALargeFleetStayInTheDataCentre(t *testing.T) {
	f := fleetInThreeDCs(0, 300)
	near, far := f.HeartbeatInterval("dc0"), f.HeartbeatInterval("dc1")
	if near != 800*time.Millisecond || far != 0 {
		t.Errorf("heartbeat interval %v within the data centre, %v to another; want 800ms and 0", near, far)
	}
	if arriving := 99 / near.Seconds(); arriving > 125 {
		t.Errorf("%.0f heartbeats a second arrive, want at most 125", arriving)
	}
	now := start.Add(f.deadAfter("dc0") + time.Millisecond)
	f.Tick(now)
	if f.IsAlive(now, "i003") || !f.IsAlive(now, "i001") {
		t.Error("silent instance of this data centre counts as alive or that of another one as dead, want dead and alive")
	}
	if small := fleetInThreeDCs(0, 13); small.HeartbeatInterval("dc0") != minInterval || small.HeartbeatInterval("dc1") != minInterval {
		t.Error("heartbeat interval in a small fleet differs from minInterval to some data centre, want minInterval (400ms) to all")
	}
}

// During an upgrade the home of a limit must be an instance that understands the requests to it.
func TestInstancesOfAnEarlierReleaseAreNoHomesOfLimits(t *testing.T) {
	f := fleetOf(0, 12)
	for k := range 12 {
		b := heartbeat(k)
		if k%3 == 0 {
			b.Class = msg.ClassOfRelease(uint8(b.Class))
		}
		f.OnHeartbeat(start, b)
	}
	for k := range 50 {
		home := f.LimitHome(fmt.Sprintf("u%d", k), "")
		if !f.DividesLimits(home) {
			t.Errorf("%s is the home of a limit, want an instance that divides limits", home)
		}
	}
}
