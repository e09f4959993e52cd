package fleet

import (
	"math"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// loadTTL is the age from which a statement of an instance's load is ignored. It covers two
	// announcements that are lost.
	loadTTL = 5 * time.Second
	// minLoadWeight is the weight of a fully loaded instance. It is not 0, so that callers whose near
	// instances are all loaded still get near addresses.
	minLoadWeight = 0.1
	// weightRate is the rate, per second, at which a weight changes relative to itself for a difference
	// of 1 from its target. Callers keep a directory response for 5 to 15 s, so that the effect of a
	// change is seen late: closing a third of the difference in each second sent them back and forth
	// between instances, whose loads swung from 50% to 120% at a steady demand of 85%.
	weightRate = 0.1
	// weightPrecision is the difference from which a weight counts as equal to its target.
	weightPrecision = 0.01
	// maxLoadAdvantage limits the weight of an instance relative to the mean of its group. Without it,
	// one idle instance among 30 loaded ones would get a quarter of all callers.
	maxLoadAdvantage = 2
)

// room is what is known of the load of one instance.
type room struct {
	// boot is the process run to which the statement applies.
	boot string
	// percent is the last stated load; statedAt is when the statement arrived.
	percent  int
	statedAt time.Time
	// weight is the effective weight at advancedAt, from minLoadWeight to 1.
	weight     float64
	advancedAt time.Time
}

// load returns the stated load in percent, 0 if there is no valid statement.
func (r *room) load(now time.Time) int {
	if now.Sub(r.statedAt) >= loadTTL {
		return 0
	}
	return r.percent
}

// loadWeight returns the weight of an instance with a load in percent. It falls from 1 at levelBegins
// to minLoadWeight at 100.
func loadWeight(percent int) float64 {
	elevated := float64(min(percent, 100)-levelBegins) / (100 - levelBegins)
	return max(1-(1-minLoadWeight)*max(elevated, 0), minLoadWeight)
}

// advance moves the effective weight towards the weight of the stated load.
func (r *room) advance(now time.Time) {
	target, elapsed := loadWeight(r.load(now)), max(now.Sub(r.advancedAt).Seconds(), 0)
	// The solution of dw/dt = weightRate * w * (target - w).
	r.weight = target / (1 + (target/r.weight-1)*math.Exp(-weightRate*target*elapsed))
	if math.Abs(r.weight-target) < weightPrecision {
		r.weight = target
	}
	r.advancedAt = now
}

// OnInstanceLoad processes a statement of an instance's load. It is ignored if it was made by another
// process run than the known one.
func (f *Fleet) OnInstanceLoad(now time.Time, m msg.InstanceLoad) {
	if f.without.Has(mechanism.RoomWeights) || m.Boot != f.bootOf(m.Name) {
		return
	}
	r := f.rooms[m.Name]
	if r == nil || r.boot != m.Boot {
		if m.Percent == 0 {
			return
		}
		r = &room{boot: m.Boot, weight: 1, advancedAt: now}
		f.rooms[m.Name] = r
	}
	r.advance(now)
	r.percent, r.statedAt = m.Percent, now
}

// bootOf returns the known process run of an instance, "" if there is none.
func (f *Fleet) bootOf(name string) string {
	if name == f.self.Name {
		return f.self.Boot
	}
	if m := f.members[name]; m != nil {
		return m.Boot
	}
	return ""
}

// UpdateWeights advances the effective weights of instances and the use of other data centres. It
// returns where such use began or ended.
func (f *Fleet) UpdateWeights(now time.Time) []SpillChange {
	for name, r := range f.rooms {
		r.advance(now)
		if r.boot != f.bootOf(name) || r.weight == 1 && r.load(now) == 0 {
			delete(f.rooms, name)
		}
	}
	return f.updateSpills(now)
}

// weights returns the weights of the instances of a group, by capacity and load.
func (f *Fleet) weights(list []msg.Heartbeat) []float64 {
	out := capacityWeights(list)
	if len(f.rooms) == 0 {
		return out
	}
	capacity, free := 0.0, 0.0
	for k, b := range list {
		capacity += out[k]
		free += out[k] * f.effectiveWeight(b)
	}
	limit := maxLoadAdvantage * free / capacity
	for k, b := range list {
		out[k] *= min(f.effectiveWeight(b), limit)
	}
	return out
}

// effectiveWeight returns the effective weight of an instance by its load.
func (f *Fleet) effectiveWeight(b msg.Heartbeat) float64 {
	if r := f.rooms[b.Name]; r != nil && r.boot == b.Boot {
		return r.weight
	}
	return 1
}

// Weights returns the weights of the instances that accept callers, relative to the smallest idle machine
// of their data centre, and the share of addresses in another data centre by the caller's.
func (f *Fleet) Weights() (byInstance, spills map[string]float64) {
	byInstance, spills = map[string]float64{}, map[string]float64{}
	byDC := map[string][]msg.Heartbeat{}
	for _, b := range f.allServing() {
		byDC[b.DataCentre] = append(byDC[b.DataCentre], b)
	}
	for _, in := range byDC {
		for k, w := range f.weights(in) {
			byInstance[in[k].Name] = w
		}
	}
	for dc, s := range f.spills {
		spills[dc+" to "+s.to] = s.share
	}
	return byInstance, spills
}
