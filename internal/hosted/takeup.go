package hosted

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/boottime"
	"mulberrylug.example/mulberrylug/internal/core/forward"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/origin"
	"mulberrylug.example/mulberrylug/internal/core/roster"
)

const (
	// originTimeout is how long the other instances have to tell where a stream began.
	originTimeout = 100 * time.Millisecond
	// confirmTimeout is how long a confirmation of the list is awaited that is newer than the request, if not all
	// of them have responded.
	confirmTimeout = 500 * time.Millisecond
	// confirmInterval is the interval between checks for that.
	confirmInterval = 20 * time.Millisecond
)

// foundOrigin is what is known of where a stream began.
type foundOrigin struct {
	origin roster.Origin
	// source is the source of the record: "local", or the name of an instance; "list" if all upstreams that can
	// have begun the stream have the same software, "" if nothing is known.
	source string
	// age is the age of the record.
	age time.Duration
	// asked and responded are the numbers of instances that were asked and that responded.
	asked, responded int
}

// bindStream finds out where a stream began that a caller takes up, and binds the call to that. It returns a
// refusal if this is not known.
func (x *exchange) bindStream() *forward.Refusal {
	s, began := x.server, boottime.Now()
	found := x.findOrigin()
	var refusal *forward.Refusal
	s.decide(func(now time.Time, g *forward.Gate) {
		if found.source == "" {
			refusal = g.RefuseUnbound()
		} else {
			refusal = g.Bind(now, x.call, found.origin)
		}
	})
	s.metrics.Count("streams_taken_up_total", sourceKind(found.source))
	pairs := []any{
		"request", x.call.ID, "resumes", x.call.Resumes, "last_event", x.call.AfterEvent, "route", x.call.Route.Name, "source", found.source,
		"asked", found.asked, "responded", found.responded, "waited", boottime.Now().Sub(began).Round(time.Millisecond),
	}
	if found.source != "" {
		pairs = append(pairs, "service", found.origin.Service, "software", softwareName(found.origin.Software), "began_at", found.origin.Run.ID, "record_age", found.age.Round(time.Millisecond))
	}
	if refusal != nil {
		pairs = append(pairs, "refused", refusal.Reason)
	}
	s.log.Info("stream_taken_up", pairs...)
	return refusal
}

// sourceKind returns the kind of the source of a record, as a metric label.
func sourceKind(source string) string {
	switch source {
	case "":
		return "unknown"
	case "local", "list":
		return source
	}
	return "instance"
}

// findOrigin returns where a stream began that a caller takes up: by a record, or else by the list of upstreams. The list
// counts if it was confirmed after the request arrived, or if all other instances state the same. An instance that was cut
// off or suspended does not know which upstreams have joined meanwhile, and the record may be at an instance that it does
// not reach.
func (x *exchange) findOrigin() foundOrigin {
	o, arrived := x.server.origins, boottime.Now()
	key := streamKey(x.call)
	if rec, ok := o.find(arrived, key); ok && key.Request != "" {
		return foundOrigin{origin: rec.Origin, source: "local", age: arrived.Sub(rec.At)}
	}
	found, agreed := x.askOthers(key)
	if found.source != "" {
		return found
	}
	if agreed == "" {
		if !x.couldProveOrigin() || !x.awaitConfirmed(arrived) {
			return found
		}
		agreed = ""
	}
	x.server.decide(func(now time.Time, g *forward.Gate) {
		if listed, ok := g.OriginByList(now, x.call, agreed); ok {
			found.origin, found.source = listed, "list"
		}
	})
	return found
}

// askOthers asks the instances that may have the record of a stream. It returns the first record, or, if none has
// one, the sole software that all of them state; "" if they do not agree, or not all could be asked and have responded.
func (x *exchange) askOthers(key origin.Key) (found foundOrigin, agreed string) {
	o := x.server.origins
	asked, complete := o.witnesses(streamName(key))
	responses := make(chan originResponse, len(asked))
	o.mu.Lock()
	o.lastNumber++
	number := o.lastNumber
	o.responses[number] = responses
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.responses, number)
	}()
	m := msg.OriginRequest{Number: number, Organisation: key.Organisation, Request: key.Request}
	m.Service, m.Window = x.call.ReturnWindow()
	for _, name := range asked {
		o.send(name, m)
	}
	found = foundOrigin{asked: len(asked)}
	stated := map[string]bool{}
	timeout := time.NewTimer(originTimeout)
	defer timeout.Stop()
	for found.responded < found.asked {
		select {
		case r := <-responses:
			found.responded++
			if r.Origin != nil && key.Request != "" {
				now := boottime.Now()
				rec := originRecord(now, *r.Origin)
				rec.Key = key
				o.add(rec)
				found.origin, found.source, found.age = rec.Origin, r.from, now.Sub(rec.At)
				return found, ""
			}
			stated[r.Sole] = true
			agreed = r.Sole
		case <-timeout.C:
			return found, ""
		case <-x.ctx.Done():
			return found, ""
		}
	}
	if !complete || len(stated) != 1 {
		return found, ""
	}
	return found, agreed
}

// couldProveOrigin reports whether a confirmation of the list could show where the stream began. If this instance knows of
// several versions already, its caller is refused without a wait.
func (x *exchange) couldProveOrigin() (could bool) {
	x.server.decide(func(now time.Time, g *forward.Gate) { could = g.CouldProveOrigin(now, x.call) })
	return could
}

// awaitConfirmed waits until the list of upstreams is confirmed as of a later time than the given one: an upstream
// that began a stream before that is listed. It reports whether that was the case in time.
func (x *exchange) awaitConfirmed(after time.Time) bool {
	for end := after.Add(confirmTimeout); ; {
		confirmed := false
		x.server.decide(func(_ time.Time, g *forward.Gate) { confirmed = g.Roster().Confirmed().After(after) })
		if confirmed || !boottime.Now().Before(end) {
			return confirmed
		}
		sleep(x.ctx, confirmInterval)
		if x.ctx.Err() != nil {
			return false
		}
	}
}
