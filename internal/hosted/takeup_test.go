package hosted

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/cordon"
	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

// returningCall returns an exchange whose caller takes up a stream at the instance "self". All upstreams that it knows
// have the software v1, as the list showed at its last confirmation. others answers for the other instances.
func returningCall(t *testing.T, v *fleet.Fleet, confirmedAt time.Time, others func(name string) *msg.OriginResponse) *exchange {
	t.Helper()
	began, g := confirmedAt.Add(-5*time.Minute), forward.New(forward.Options{})
	g.Adopt(route.NewTable(route.Config{
		Version: 1, Services: []route.Service{{Name: "pool"}},
		Routes: []route.Route{{Host: "h", Prefix: "/", Kind: route.Stream, Resumable: true, Timeout: time.Second, MaxAttempts: 2, Targets: []route.Target{{Service: "pool", Weight: 1}}}},
	}))
	g.SetCordons(began, cordon.NewSet(1, nil))
	g.Roster().Update(began, []roster.Change{{ID: "u0", Version: 1, Valid: true, Entry: roster.Entry{ID: "u0", Service: "pool", Address: "u0:80", Software: "v1", Born: 1}}}, 1)
	for at := began; !at.After(confirmedAt); at = at.Add(time.Second) {
		g.Roster().Confirm(at)
		g.Tick(at)
	}
	call, refusal := g.Admit(boottime.Now(), forward.Request{ID: "r1-again", Host: "h", Path: "/x", Replayable: true, AfterEvent: "3", Resumes: "r1"})
	if refusal != nil {
		t.Fatalf("the request is refused: %+v", refusal)
	}
	s := &server{gate: g, metrics: metrics.NewMetrics(), log: hclog.NewNullLogger()}
	o := newOrigins(s, s.metrics, s.log)
	s.origins = o
	o.witnesses = func(stream string) ([]string, bool) { return v.OriginWitnesses(boottime.Now(), stream) }
	o.send = func(to string, m msg.Message) {
		request := m.(msg.OriginRequest)
		if r := others(to); r != nil {
			r.Number = request.Number
			go o.onResponse(to, *r)
		}
	}
	return &exchange{server: s, call: call, ctx: t.Context()}
}

// fleetOf returns the view of the instance "self" of others in its data centre, of which it has heard at some times.
func fleetOf(heardAt map[string]time.Time) *fleet.Fleet {
	heartbeat := func(name string) msg.Heartbeat {
		return msg.Heartbeat{Name: name, DataCentre: "dc", PeerAddress: name + ":1", Boot: "b", Ready: true, Class: msg.ClassOfRelease(1)}
	}
	v := fleet.New(boottime.Now().Add(-time.Minute), heartbeat("self"), nil, 0)
	for name, at := range heardAt {
		v.OnHeartbeat(at, heartbeat(name))
	}
	v.Tick(boottime.Now())
	return v
}

// A caller takes a stream up at an instance that has been cut off from the others and the store for a while. An upstream of
// new software may have joined meanwhile and begun the stream. The list from before the cut must not decide where the stream
// continues: it would get events of other software. The same holds if another instance knows of other software.
func TestAnInstanceOutOfStepDoesNotKnowWhereStreamsBegan(t *testing.T) {
	silent := func(string) *msg.OriginResponse { return nil }
	same := func(string) *msg.OriginResponse { return &msg.OriginResponse{Sole: "v1"} }
	several := func(string) *msg.OriginResponse { return &msg.OriginResponse{} }
	const long = 1400 * time.Millisecond // an instance that was not heard for so long counts as dead
	for _, c := range []struct {
		name      string
		a, b      time.Duration // since they were heard
		others    func(string) *msg.OriginResponse
		confirmed time.Duration
		want      string
	}{
		{"in step", 0, 0, same, 300 * time.Millisecond, "list"},
		{"the others count as dead", long, long, silent, 1500 * time.Millisecond, ""},
		{"one of the others counts as dead", long, 0, same, 1500 * time.Millisecond, ""},
		{"the others are silent", 0, 0, silent, 1500 * time.Millisecond, ""},
		{"the others know of other software", 0, 0, several, 300 * time.Millisecond, ""},
		{"only the others have a list that is not old", 0, 0, same, 3100 * time.Millisecond, "list"},
		{"the list is confirmed after the caller came", long, long, silent, -100 * time.Millisecond, "list"},
	} {
		now := boottime.Now()
		x := returningCall(t, fleetOf(map[string]time.Time{"a": now.Add(-c.a), "b": now.Add(-c.b)}), now.Add(-c.confirmed), c.others)
		if found := x.findOrigin(); found.source != c.want {
			t.Errorf("%s: source %q, origin %+v, %d of %d responded; want source %q", c.name, found.source, found.origin, found.responded, found.asked, c.want)
		}
	}
}

// An upstream of new software joins, and an instance begins a stream there at once. Its record has reached no holder yet, and
// the lists of the others are older. The caller comes back to another instance: the one that began the stream must be asked,
// as the others agree on the software that they know.
func TestTheInstanceThatBeganAStreamIsAsked(t *testing.T) {
	now, heard := boottime.Now(), map[string]time.Time{}
	for k := range 12 {
		heard[fmt.Sprint("other-", k)] = now
	}
	for began := range heard {
		x := returningCall(t, fleetOf(heard), now.Add(-300*time.Millisecond), func(name string) *msg.OriginResponse {
			if name != began {
				return &msg.OriginResponse{Sole: "v1"}
			}
			return &msg.OriginResponse{Origin: &msg.StreamOrigin{Request: "r1", Service: "pool", Software: "v2", Upstream: "u1", Born: 2, Keep: time.Minute}}
		})
		if found := x.findOrigin(); found.source != began || found.origin.Software != "v2" {
			t.Errorf("source %q, software %s, %d of %d responded; want the record of %s", found.source, found.origin.Software, found.responded, found.asked, began)
		}
	}
}
