package hosted

import (
	"expvar"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/origin"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/metrics"
)

const (
	// storedTimeout is how long the first event of a stream waits until another instance has the record of where
	// the stream began. Streams go on without it, and the record is sent again.
	storedTimeout = 50 * time.Millisecond
	// maxOriginsPerMessage bounds the records in one message.
	maxOriginsPerMessage = 500
	// shareInterval is the interval between checks for records that other instances have come to need.
	shareInterval = 100 * time.Millisecond
)

// origins keeps the records of where streams began, gives them to other instances and asks those for theirs.
type origins struct {
	server  *server
	metrics *metrics.Metrics
	log     hclog.Logger
	// holders lists the instances to which the record of a stream is given, witnesses those that are asked for it.
	// complete is false if others may have it that can't be asked.
	holders   func(stream string) []string
	witnesses func(stream string) (names []string, complete bool)
	send      func(to string, m msg.Message)

	// mu guards the records, the number of the last message, and where responses are awaited, by number.
	mu         sync.Mutex
	records    *origin.Records
	lastNumber int64
	stored     map[int64]chan struct{}
	responses  map[int64]chan originResponse
}

// originResponse is a response and the instance that sent it.
type originResponse struct {
	from string
	msg.OriginResponse
}

func newOrigins(s *server, m *metrics.Metrics, log hclog.Logger) *origins {
	o := &origins{
		server: s, metrics: m, log: log, records: origin.NewRecords(origin.MaxRecords),
		stored: map[int64]chan struct{}{}, responses: map[int64]chan originResponse{},
	}
	m.Set("stream_origins", expvar.Func(func() any {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.records.Len()
	}))
	return o
}

// streamName is the name of a stream from which its holders are computed.
func streamName(k origin.Key) string { return k.Organisation + "/" + k.Request }

// originMessage returns a record as it is sent to other instances.
func originMessage(now time.Time, r origin.Record) msg.StreamOrigin {
	return msg.StreamOrigin{
		Organisation: r.Key.Organisation, Request: r.Key.Request, Service: r.Origin.Service, Software: r.Origin.Software,
		Upstream: r.Origin.Run.ID, Born: r.Origin.Run.Born, Age: now.Sub(r.At), Keep: r.ExpiresAt.Sub(now),
	}
}

// originRecord returns a record that another instance sent.
func originRecord(now time.Time, m msg.StreamOrigin) origin.Record {
	return origin.Record{
		Key:    origin.Key{Organisation: m.Organisation, Request: m.Request},
		Origin: roster.Origin{Service: m.Service, Software: m.Software, Run: roster.Run{ID: m.Upstream, Born: m.Born}},
		At:     now.Add(-m.Age), ExpiresAt: now.Add(m.Keep), Shared: true,
	}
}

// streamKey returns the key of a call's stream: that of the try that brought the first event.
func streamKey(c *forward.Call) origin.Key {
	k := origin.Key{Organisation: c.Organisation, Request: c.ID}
	if c.TakesUp() {
		k.Request = c.Resumes
	}
	return k
}

// originOf returns the record of where a call's stream begins; ok is false if its caller cannot take it up. Its
// Shared states whether other instances need it now.
func (x *exchange) originOf(now time.Time, g *forward.Gate) (rec origin.Record, ok bool) {
	keep, a := x.call.ReturnTime(), x.call.Current()
	rec.Key = streamKey(x.call)
	if keep == 0 || a == nil || rec.Key.Request == "" {
		return rec, false
	}
	if rec.Origin, ok = x.call.Origin(); !ok {
		rec.Origin = a.Entry.Origin()
	}
	service, window := x.call.ReturnWindow()
	rec.Own, rec.At, rec.ExpiresAt, rec.Window = true, now, now.Add(keep), window
	rec.Shared = service == "" || x.server.leaving || g.NeedsRecord(now, service, window)
	return rec, true
}

// recordOrigin records where a stream begins, before its first event leaves for the caller: the caller may come
// back to any instance immediately. Other instances get the record unless they know where all streams of the
// service began; the first event then waits until one of them has it.
func (x *exchange) recordOrigin() {
	o := x.server.origins
	var rec origin.Record
	ok := false
	x.server.decide(func(now time.Time, g *forward.Gate) { rec, ok = x.originOf(now, g) })
	if !ok {
		return
	}
	needed := rec.Shared
	rec.Shared = false // until a holder has confirmed it: shareUnproven sends a lost one again
	o.add(rec)
	if !needed {
		return
	}
	stored, done := o.give([]origin.Record{rec})
	defer done()
	if stored == nil {
		return // there is no other instance
	}
	timeout := time.NewTimer(storedTimeout)
	defer timeout.Stop()
	select {
	case <-stored:
		o.markShared(rec.Key)
		o.metrics.Count("stream_origins_total", "stored")
	case <-timeout.C:
		o.metrics.Count("stream_origins_total", "not_stored")
		o.log.Info("origin_not_stored", "request", x.call.ID, "holders", len(o.holders(streamName(rec.Key))))
	case <-x.ctx.Done():
	}
}

func (o *origins) add(rec origin.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.Add(boottime.Now(), rec)
}

func (o *origins) markShared(key origin.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.MarkShared(key)
}

// give sends records to their holders. stored is closed once one of the holders has one; it is nil if there is
// none. done ends the wait.
func (o *origins) give(list []origin.Record) (stored chan struct{}, done func()) {
	now := boottime.Now()
	byHolder := map[string][]msg.StreamOrigin{}
	for _, rec := range list {
		for _, name := range o.holders(streamName(rec.Key)) {
			byHolder[name] = append(byHolder[name], originMessage(now, rec))
		}
	}
	if len(byHolder) == 0 {
		return nil, func() {}
	}
	stored = make(chan struct{})
	o.mu.Lock()
	o.lastNumber++
	number := o.lastNumber
	o.stored[number] = stored
	o.mu.Unlock()
	for name, all := range byHolder {
		for len(all) > 0 {
			n := min(len(all), maxOriginsPerMessage)
			o.send(name, msg.StreamOrigins{Number: number, List: all[:n]})
			all = all[n:]
		}
	}
	return stored, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.stored, number)
	}
}

// onOrigins keeps records that another instance sent.
func (o *origins) onOrigins(from string, m msg.StreamOrigins) {
	now := boottime.Now()
	o.mu.Lock()
	for _, r := range m.List {
		o.records.Add(now, originRecord(now, r))
	}
	o.mu.Unlock()
	if m.Number != 0 {
		o.send(from, msg.OriginsStored{Number: m.Number})
	}
}

// onStored handles the response of a holder.
func (o *origins) onStored(m msg.OriginsStored) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if stored := o.stored[m.Number]; stored != nil {
		delete(o.stored, m.Number)
		close(stored)
	}
}

// onRequest responds to an instance to which a caller has come back.
func (o *origins) onRequest(from string, m msg.OriginRequest) {
	now := boottime.Now()
	response := msg.OriginResponse{Number: m.Number}
	if rec, ok := o.find(now, origin.Key{Organisation: m.Organisation, Request: m.Request}); ok {
		found := originMessage(now, rec)
		response.Origin = &found
	}
	if m.Service != "" {
		o.server.decide(func(now time.Time, g *forward.Gate) {
			if software, ok := g.SoleSoftware(now, m.Service, m.Window); ok {
				response.Sole = software
			}
		})
	}
	o.send(from, response)
}

// onResponse passes a response to the request that waits for it.
func (o *origins) onResponse(from string, m msg.OriginResponse) {
	o.mu.Lock()
	waiting := o.responses[m.Number]
	o.mu.Unlock()
	if waiting == nil {
		return // an earlier response was enough, or all were too late
	}
	select {
	case waiting <- originResponse{from: from, OriginResponse: m}:
	default: // more responses than requests
	}
}

func (o *origins) find(now time.Time, key origin.Key) (origin.Record, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.records.Find(now, key)
}

// shareUnproven gives the records to other instances of which they no longer know the origin otherwise: another
// version has appeared, or the list is no longer confirmed.
func (o *origins) shareUnproven() {
	o.mu.Lock()
	now := boottime.Now()
	o.records.Expire(now)
	unshared := o.records.Unshared(now)
	o.mu.Unlock()
	var due []origin.Record
	o.server.decide(func(now time.Time, g *forward.Gate) {
		for _, rec := range unshared {
			if g.NeedsRecord(now, rec.Origin.Service, rec.Window) {
				due = append(due, rec)
			}
		}
	})
	o.share(due)
}

// handOver gives all records to their holders among the other instances, because this one ends.
func (o *origins) handOver() {
	o.mu.Lock()
	all := o.records.All(boottime.Now())
	o.mu.Unlock()
	o.share(all)
}

// share gives records to their holders.
func (o *origins) share(list []origin.Record) {
	if len(list) == 0 {
		return
	}
	_, done := o.give(list)
	done()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, rec := range list {
		o.records.MarkShared(rec.Key)
	}
	o.metrics.Add("stream_origins_total", "shared_later", int64(len(list)))
	o.log.Debug("origins_shared", "records", len(list))
}
