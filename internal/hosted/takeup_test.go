package hosted

import (
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
func returningCall(t *testing.T, v *fleet.Fleet, confirmedAt time.Time, others func(msg.OriginRequest) *msg.OriginResponse) *exchange {
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
	o.witnesses = v.OriginWitnesses
	o.hearsAll = func() bool { return v.HearsAll(boottime.Now()) }
	o.send = func(to string, m msg.Message) {
		request := m.(msg.OriginRequest)
		if r := others(request); r != nil {
			r.Number = request.Number
			go o.onResponse(to, *r)
		}
	}
	return &exchange{server: s, call: call, ctx: t.Context()}
}

// fleetOf returns the view of the instance "self" of two others, of which it has heard at some times.
func fleetOf(aHeardAt, bHeardAt time.Time) *fleet.Fleet {
	heartbeat := func(name string) msg.Heartbeat {
		return msg.Heartbeat{Name: name, DataCentre: "dc", PeerAddress: name + ":1", Boot: "b", Ready: true, Class: msg.ClassOfRelease(1)}
	}
	v := fleet.New(aHeardAt, heartbeat("self"), nil, 0)
	v.OnHeartbeat(aHeardAt, heartbeat("a"))
	v.OnHeartbeat(bHeardAt, heartbeat("b"))
	v.Tick(boottime.Now())
	return v
}

// A caller takes a stream up at an instance that has been cut off from the others and the store for a while. An upstream of
// new software may have joined meanwhile and begun the stream. The list from before the cut must not decide where the stream
// continues: it would get events of other software. The same holds if another instance knows of other software.
func TestAnInstanceOutOfStepDoesNotKnowWhereStreamsBegan(t *testing.T) {
	silent := func(msg.OriginRequest) *msg.OriginResponse { return nil }
	same := func(msg.OriginRequest) *msg.OriginResponse { return &msg.OriginResponse{Sole: "v1"} }
	several := func(msg.OriginRequest) *msg.OriginResponse { return &msg.OriginResponse{} }
	const long = 1400 * time.Millisecond // an instance that was not heard for so long counts as dead
	for _, c := range []struct {
		name      string
		a, b      time.Duration // since they were heard
		others    func(msg.OriginRequest) *msg.OriginResponse
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
		x := returningCall(t, fleetOf(now.Add(-c.a), now.Add(-c.b)), now.Add(-c.confirmed), c.others)
		if found := x.findOrigin(); found.source != c.want {
			t.Errorf("%s: source %q, origin %+v, %d of %d responded; want source %q", c.name, found.source, found.origin, found.responded, found.asked, c.want)
		}
	}
}
