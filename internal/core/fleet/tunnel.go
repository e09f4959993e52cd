package fleet

import (
	"cmp"
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// fullLoad is the stated load in percent from which an instance is asked for a tunnel after all others.
// Instances without a path to upstreams state it.
const fullLoad = 100

// TunnelPeers lists instances that may open a tunnel to an upstream of a data centre, in the order in which
// they are asked. Those that have a path and room come first, and of these the ones of this data centre and
// of the upstream's: a tunnel through them crosses data centres no more often than a direct connection.
// Instances that are alike are shuffled, so that those that have lost their paths spread over the others; of
// the first two the one with fewer of this instance's open tunnels is asked first.
func (f *Fleet) TunnelPeers(now time.Time, dataCentre string, shuffle func(n int, swap func(i, j int)), open map[string]int) []msg.Heartbeat {
	if f.without.Has(mechanism.Tunnels) {
		return nil
	}
	var out []msg.Heartbeat
	for _, m := range f.othersServing() {
		if m.OpensTunnels() {
			out = append(out, m.Heartbeat)
		}
	}
	shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	rank := func(b msg.Heartbeat) (rank int) {
		if b.DataCentre != f.self.DataCentre && b.DataCentre != dataCentre {
			rank = 1
		}
		if r := f.rooms[b.Name]; r != nil && r.boot == b.Boot && r.load(now) >= fullLoad {
			rank += 2
		}
		return rank
	}
	slices.SortStableFunc(out, func(a, b msg.Heartbeat) int { return cmp.Compare(rank(a), rank(b)) })
	if len(out) > 1 && rank(out[0]) == rank(out[1]) && open[out[1].Name] < open[out[0].Name] {
		out[0], out[1] = out[1], out[0]
	}
	return out
}
