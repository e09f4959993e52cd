package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/metrics"
	"mulberrylug.example/mulberrylug/internal/peer"
)

// memberStore is a store that supports only reads and writes of instances' rows. writes counts
// the written rows.
type memberStore struct {
	Store
	list   []fleet.Row
	writes int
}

func (s *memberStore) Members(context.Context) (MembersResponse, error) {
	return MembersResponse{Rows: s.list}, nil
}

func (s *memberStore) Join(_ context.Context, self msg.Heartbeat) error {
	s.writes++
	s.list = append(s.list, fleet.Row{Heartbeat: self, Version: int64(len(s.list) + 1)})
	return nil
}

// testRow returns the row of an instance that cannot be reached.
func testRow(name string) fleet.Row {
	return fleet.Row{Heartbeat: msg.Heartbeat{Name: name, DataCentre: "dc", CallerAddress: name + ":80", PeerAddress: "127.0.0.1:1"}, Version: 1}
}

// newTestPeers returns the peers of an instance named "self".
func newTestPeers(t *testing.T, store *memberStore) *peers {
	t.Helper()
	transport, err := peer.Listen("127.0.0.1:0", "self", func(string, msg.Message) {}, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	self := testRow("self").Heartbeat
	return &peers{
		store: store, transport: transport, metrics: metrics.NewMetrics(), log: hclog.NewNullLogger(), onPeerLost: func() {},
		state: func() (bool, bool, bool) { return true, false, true }, fleet: fleet.New(boottime.Now(), self, nil, 0), heartbeatsSentAt: map[string]time.Time{}, joinDone: make(chan struct{}), joinResponses: make(chan msg.JoinResponse, 1),
		statements: func() []msg.Message { return nil }, evidence: func() []msg.Message { return nil }, informed: map[string]string{},
	}
}

// If a partition between data centres lasts for minutes, or an instance is suspended for that
// long, both sides remove each other from their members. After the partition, no instance would
// send the first heartbeat and each side would remain a separate fleet forever. The rows in the
// store, which still name all instances, must restore the members.
func TestRemovedMembersAreRestoredFromTheStore(t *testing.T) {
	f := newTestPeers(t, &memberStore{list: []fleet.Row{testRow("self"), testRow("other")}})
	if err := f.tryRegister(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.with(func(now time.Time, v *fleet.Fleet) {
		v.OnHeartbeat(now, testRow("other").Heartbeat)
		v.Tick(now.Add(2 * fleet.ForgetAfter))
		if v.Find("other") != nil {
			t.Fatal("the instance \"other\" is still a member after ForgetAfter; the test requires that it was removed")
		}
	})
	if err := f.tryRegister(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.with(func(_ time.Time, v *fleet.Fleet) {
		if v.Find("other") == nil {
			t.Error("the instance \"other\" is not a member after its row was read again, want it added")
		}
	})
}

// After a power failure all instances start at the same time, and their rows are unchanged. If
// every instance wrote its row again, the writes to the table would take the store seconds, and
// repeated attempts of failed writes would delay all others. A row must be written only if it is
// missing or differs.
func TestARowIsWrittenOnlyIfItIsMissing(t *testing.T) {
	store := &memberStore{list: []fleet.Row{testRow("self")}}
	if err := newTestPeers(t, store).tryRegister(t.Context()); err != nil || store.writes != 0 {
		t.Errorf("tryRegister with an up-to-date row: error %v, %d writes, want no error and no write", err, store.writes)
	}
	changed := testRow("self")
	changed.CallerAddress = "elsewhere:80"
	for _, list := range [][]fleet.Row{nil, {changed}, {testRow("other")}} {
		store := &memberStore{list: list}
		if err := newTestPeers(t, store).tryRegister(t.Context()); err != nil || store.writes != 1 {
			t.Errorf("tryRegister without an up-to-date row: error %v, %d writes, want no error and 1 write", err, store.writes)
		}
	}
}

// An instance that starts has received no response yet: without the statements of the others it would
// send to rate-limited and leaving upstreams as if they were not. It must get them once in each of
// its runs, and an earlier release, which closes the connection on such messages, never.
func TestAStartingInstanceLearnsWhatUpstreamsHaveStated(t *testing.T) {
	received := make(chan msg.Message, 16)
	joiner, err := peer.Listen("127.0.0.1:0", "joiner", func(_ string, m msg.Message) { received <- m }, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	f := newTestPeers(t, &memberStore{})
	for _, transport := range []*peer.Transport{f.transport, joiner} {
		go func() {
			if err := transport.Serve(t.Context()); t.Context().Err() == nil {
				t.Error(err)
			}
		}()
	}
	f.statements = func() []msg.Message {
		return []msg.Message{msg.RateStatement{Upstream: "limited", Boot: "1", Stated: true, PerSecond: 2}, msg.UpstreamLeaving{Upstream: "leaving", Boot: "1"}}
	}
	asks := func(boot string, class uint16) (statements int) {
		sender := testRow("joiner").Heartbeat
		sender.PeerAddress, sender.Boot, sender.Class = joiner.Address(), boot, class
		f.onJoinRequest(msg.JoinRequest{Sender: sender})
		f.send(sender, msg.Leaving{}) // the last message
		for {
			select {
			case m := <-received:
				switch m.(type) {
				case msg.RateStatement, msg.UpstreamLeaving:
					statements++
				case msg.Leaving:
					return statements
				}
			case <-time.After(5 * time.Second):
				t.Fatal("the messages have not arrived")
			}
		}
	}
	for _, c := range []struct {
		name, boot string
		class      uint16
		want       int
	}{
		{"starts", "a", msg.ClassOfRelease(0), 2},
		{"asks again", "a", msg.ClassOfRelease(0), 0},
		{"restarts", "b", msg.ClassOfRelease(0), 2},
		{"restarts with an earlier release", "c", 0, 0},
	} {
		if got := asks(c.boot, c.class); got != c.want {
			t.Errorf("an instance that %s got %d statements, want %d", c.name, got, c.want)
		}
	}
}
