package core

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// configCall is a request in progress; to is empty for the table.
type configCall struct {
	to string
	at time.Time
}

type configAnswer struct {
	asked time.Time
	down  bool
}

// readers lists the instances that read the row for a data centre, in rendezvous order.
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
	if len(out) == 0 { // this instance leaves, and no other is there
		return []string{i.self}
	}
	return out
}

func (i *Instance) askEveryDataCentre(now time.Time) {
	asked := map[string]bool{i.self: true}
	seen := map[string]bool{}
	for _, name := range i.view.Entries() {
		m, _ := i.view.Member(name)
		if seen[m.DataCentre] {
			continue
		}
		seen[m.DataCentre] = true
		for _, reader := range i.otherReaders(now, m.DataCentre) {
			if !asked[reader] {
				asked[reader] = true
				i.askConfig(now, reader)
			}
		}
	}
}

// otherReaders lists the readers to ask in a data centre, with a substitute for this instance
// if it is one.
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

func (i *Instance) call(now time.Time, to string) int64 {
	f := &i.follow
	f.calls++
	f.sent[f.calls] = configCall{to: to, at: now}
	return f.calls
}

func (i *Instance) readConfigRow(now time.Time) {
	i.follow.read = now
	n := i.call(now, "")
	i.emit(Read{Op: opConfig + strconv.FormatInt(n, 10), Keys: []string{ConfigRow}})
}

func (i *Instance) askConfig(now time.Time, reader string) {
	n := i.call(now, reader)
	i.send(reader, msg.ConfigAsk{Ask: n, Address: i.selfMember().PeerAddress})
}

// dropLostCalls drops requests that timed out. A reader that did not answer is skipped, on a
// new connection: the old one may stay silent.
func (i *Instance) dropLostCalls(now time.Time) {
	for _, n := range slices.Sorted(maps.Keys(i.follow.sent)) {
		c := i.follow.sent[n]
		if now.Sub(c.at) < pollTimeout {
			continue
		}
		if c.to != "" {
			delete(i.follow.sent, n)
			i.count("config_asks_lost_total", c.to)
			i.giveUpOn(now, c.to)
		} else if now.Sub(c.at) > confirmTTL {
			delete(i.follow.sent, n)
		}
	}
	recent := map[string]bool{}
	for name, a := range i.follow.answers {
		if m, _ := i.view.Member(name); now.Sub(a.asked) <= unsureAfter {
			recent[m.DataCentre] = true
		}
		if now.Sub(a.asked) > confirmTTL {
			delete(i.follow.answers, name)
		}
	}
	maps.DeleteFunc(i.follow.heard, func(dc string, _ time.Time) bool { return !recent[dc] })
}

// answered removes a request and returns when it was sent.
func (f *follower) answered(n int64, from string) (at time.Time, ok bool) {
	c, ok := f.sent[n]
	if !ok || c.to != from {
		return time.Time{}, false
	}
	delete(f.sent, n)
	return c.at, true
}
