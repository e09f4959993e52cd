package hosted

import (
	"expvar"
	"fmt"
	"net"
	"runtime/metrics"
	"syscall"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/fleet"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// loadInterval is the interval between measurements of this instance's load, and between updates of the
// directory's weights.
const loadInterval = 500 * time.Millisecond

// heapUse is the use of memory according to the runtime.
type heapUse struct {
	// limit is the limit of the heap in bytes; 0 if unknown.
	limit float64
	read  []metrics.Sample
}

// newHeapUse returns the use of memory on a machine with the given memory in bytes.
func newHeapUse(memory int64) *heapUse {
	return &heapUse{limit: heapShare * float64(memory), read: []metrics.Sample{
		{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"},
	}}
}

// share returns the memory that survived the last collection, and the stacks, as a share of the limit.
// Garbage does not count, as the heap may grow to twice its live part before it is collected.
func (m *heapUse) share() float64 {
	if m.limit <= 0 {
		return 0
	}
	metrics.Read(m.read)
	used := uint64(0)
	for _, s := range m.read {
		if s.Value.Kind() == metrics.KindUint64 {
			used += s.Value.Uint64()
		}
	}
	return float64(used) / m.limit
}

// measureLoad measures this instance's load and announces it if that is due.
func (i *Instance) measureLoad() {
	c, err := i.counters()
	if err != nil {
		i.log.Warn("load_not_measured", "error", err) // at most every loadInterval; the last load expires
		return
	}
	i.usageMu.Lock()
	i.usage.Observe(time.Now(), c)
	percent, resource := i.usage.Load()
	i.usageMu.Unlock()
	name := resource.String()
	if i.paths.isolated() {
		percent, name = 100, "paths" // without a path to upstreams it has no room of its own
	}
	var m msg.InstanceLoad
	var to []string
	var step fleet.LevelStep
	i.peers.with(func(now time.Time, v *fleet.Fleet) { m, to, step = v.ObserveOwnLoad(now, percent) })
	if step == fleet.LevelChanged {
		i.log.Info("instance_load", "percent", m.Percent, "measured", percent, "resource", name, "told", len(to))
	}
	for _, name := range to {
		i.peers.sendTo(name, m)
	}
}

// counters reads the counters of this instance's use of resources.
func (i *Instance) counters() (fleet.Counters, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return fleet.Counters{}, fmt.Errorf("read processor time: %w", err)
	}
	c := fleet.Counters{
		Processor: time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		Sent:      i.traffic.Sent.Load(), Received: i.traffic.Received.Load(),
		Memory: max(i.heap.share(), i.server.memory.inUseShare()), Connections: i.connections(),
	}
	if limit := callerConnections(i.settings.MaxDescriptors); limit > 0 {
		c.Calls = float64(i.server.openRequests()) / float64(limit)
	}
	return c, nil
}

// connectionsInUse returns a function for the share of the permitted connections of a listener that
// are open; it returns 0 if they are not limited.
func connectionsInUse(l net.Listener) func() float64 {
	if limited, ok := l.(*limitListener); ok {
		return limited.inUse
	}
	return func() float64 { return 0 }
}

// updateWeights advances the weights of the directory, and logs where the use of another data centre
// began or ended.
func (i *Instance) updateWeights() {
	var changes []fleet.SpillChange
	i.peers.with(func(now time.Time, v *fleet.Fleet) { changes = v.UpdateWeights(now) })
	for _, c := range changes {
		event := "directory_spill_ended"
		if c.Began {
			event = "directory_spill_began"
		}
		i.log.Info(event, "data_centre", c.From, "to", c.To, "load", int(c.Load), "load_there", int(c.LoadAtDest))
	}
}

// onInstanceLoad handles the announcement of an instance's load. The instance itself logs it.
func (i *Instance) onInstanceLoad(m msg.InstanceLoad) {
	i.peers.with(func(now time.Time, v *fleet.Fleet) { v.OnInstanceLoad(now, m) })
}

// loadMetric returns the shares of this instance's resources that are in use.
func (i *Instance) loadMetric() expvar.Var {
	return expvar.Func(func() any {
		i.usageMu.Lock()
		defer i.usageMu.Unlock()
		out := map[string]float64{}
		for r := range fleet.ResourceCount {
			out[r.String()] = i.usage.Share(r)
		}
		return out
	})
}

// weightsMetric returns the weights of instances in directory responses, and the use of other data
// centres.
func (i *Instance) weightsMetric() expvar.Var {
	return expvar.Func(func() any {
		var weights, spills map[string]float64
		i.peers.with(func(_ time.Time, v *fleet.Fleet) { weights, spills = v.Weights() })
		return map[string]any{"instances": weights, "other_data_centres": spills}
	})
}
