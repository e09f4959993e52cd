package core

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// configQuery is a pending query for the version in force. to is the name of the instance that is
// queried, or empty if the query is a read of the table.
type configQuery struct {
	to     string
	sentAt time.Time
}

// configReply is the last reply of a polled instance: when its query was sent, and whether that
// instance cannot reach the table either.
type configReply struct {
	queriedAt time.Time
	tableDown bool
}

// readers lists the instances that read ConfigRow for a data centre, in rendezvous order.
func (i *Instance) readers(now time.Time, dataCentre string) []string {
	var out []string
	for _, name := range i.view.Homes(now, "config/"+dataCentre, configReaders, func(dc string) int {
		if dc == dataCentre {
			return 0
		}
		return 1
	}) {
		if m, _ := i.view.Member(name); m.DataCentre == dataCentre {
			out = append(out, name)
		}
	}
	if len(out) == 0 { // this instance is draining and is the only one in its data centre
		return []string{i.self}
	}
	return out
}

// pollAllDataCentres polls the readers of every data centre.
func (i *Instance) pollAllDataCentres(now time.Time) {
	polled := map[string]bool{i.self: true}
	seen := map[string]bool{}
	for _, name := range i.view.LiveInstances() {
		m, _ := i.view.Member(name)
		if seen[m.DataCentre] {
			continue
		}
		seen[m.DataCentre] = true
		for _, reader := range i.otherReaders(now, m.DataCentre) {
			if !polled[reader] {
				polled[reader] = true
				i.pollReader(now, reader)
			}
		}
	}
}

// otherReaders lists the readers of a data centre without this instance. If this instance is a
// reader, the next instance in rendezvous order takes its place.
func (i *Instance) otherReaders(now time.Time, dataCentre string) []string {
	var out []string
	for _, name := range i.view.Homes(now, "config/"+dataCentre, configReaders+1, func(dc string) int {
		if dc == dataCentre {
			return 0
		}
		return 1
	}) {
		if m, _ := i.view.Member(name); m.DataCentre == dataCentre && name != i.self {
			out = append(out, name)
		}
	}
	return out[:min(len(out), configReaders)]
}

// startQuery registers a query and returns its number.
func (i *Instance) startQuery(now time.Time, to string) int64 {
	s := &i.configs
	s.lastQuery++
	s.queries[s.lastQuery] = configQuery{to: to, sentAt: now}
	return s.lastQuery
}

func (i *Instance) readConfigRow(now time.Time) {
	i.configs.lastRead = now
	n := i.startQuery(now, "")
	i.emit(Read{Op: opConfig + strconv.FormatInt(n, 10), Keys: []string{ConfigRow}})
}

func (i *Instance) pollReader(now time.Time, reader string) {
	n := i.startQuery(now, reader)
	i.send(reader, msg.ConfigRequest{Number: n, Address: i.selfMember().PeerAddress})
}

// expireQueries removes queries that timed out and replies that are too old. A reader that did
// not reply is marked as silent, which lets another instance take its place as a reader and resets the
// connection, as the old connection may stay silent.
func (i *Instance) expireQueries(now time.Time) {
	for _, n := range slices.Sorted(maps.Keys(i.configs.queries)) {
		q := i.configs.queries[n]
		if now.Sub(q.sentAt) < pollTimeout {
			continue
		}
		if q.to != "" {
			delete(i.configs.queries, n)
			i.count("config_asks_lost_total", q.to)
			i.markSilent(now, q.to)
		} else if now.Sub(q.sentAt) > confirmTTL {
			delete(i.configs.queries, n)
		}
	}
	recent := map[string]bool{}
	for name, a := range i.configs.replies {
		if m, _ := i.view.Member(name); now.Sub(a.queriedAt) <= staleAfter {
			recent[m.DataCentre] = true
		}
		if now.Sub(a.queriedAt) > confirmTTL {
			delete(i.configs.replies, name)
		}
	}
	maps.DeleteFunc(i.configs.respondingSince, func(dc string, _ time.Time) bool { return !recent[dc] })
}

// takeQuery removes the pending query with number n and returns its send time. ok is false if there
// is no such query, or if it was not sent to the instance from.
func (s *configSync) takeQuery(n int64, from string) (at time.Time, ok bool) {
	q, ok := s.queries[n]
	if !ok || q.to != from {
		return time.Time{}, false
	}
	delete(s.queries, n)
	return q.sentAt, true
}
