package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// tunnelFleet returns the view of one of n instances in three data centres, the others of which are of the
// given class.
func tunnelFleet(self, n int, class uint16) *Fleet {
	named := func(k int) msg.Heartbeat {
		b := heartbeat(k)
		b.Name, b.DataCentre, b.Boot, b.Ready, b.Class = fmt.Sprintf("i%d", k), fmt.Sprintf("dc%d", k%3), "1", true, class
		return b
	}
	f := New(start, named(self), nil, mechanism.Set(0))
	for k := range n {
		f.OnHeartbeat(start, named(k))
	}
	return f
}

// When half of the instances, or all but a third, have lost their paths, those that are left must share the
// tunnels evenly, and instances without a path must not be asked before them.
func TestTunnelsSpreadOverInstancesWithPaths(t *testing.T) {
	for _, n := range []int{13, 100, 390} {
		for _, isolated := range []func(k int) bool{
			func(k int) bool { return k%2 == 0 },
			func(k int) bool { return k%9 < 6 },
		} {
			rng := rand.New(rand.NewPCG(1, uint64(n)))
			asked, served, tunnels := map[string]int{}, 0, 0
			for k := range n {
				if !isolated(k) {
					served++
				}
			}
			for k := 0; k < min(n, 12); k++ {
				if !isolated(k) {
					continue
				}
				f := tunnelFleet(k, n, msg.ClassOfRelease(5))
				for other := range n {
					if isolated(other) {
						f.OnInstanceLoad(start, msg.InstanceLoad{Name: fmt.Sprintf("i%d", other), Boot: "1", Percent: fullLoad})
					}
				}
				open := map[string]int{}
				for u := range n {
					via := f.TunnelPeers(start.Add(time.Second), fmt.Sprintf("dc%d", u%3), rng.Shuffle, open)[0]
					asked[via.Name]++
					open[via.Name]++
					tunnels++
				}
			}
			mean := float64(tunnels) / float64(served)
			for k := range n {
				c := asked[fmt.Sprintf("i%d", k)]
				if isolated(k) && c > 0 {
					t.Errorf("%d instances: i%d, which has no path, was asked first %d times", n, k, c)
				}
				if float64(c) > 2*mean+10 {
					t.Errorf("%d instances: i%d was asked for %d tunnels, want at most twice the mean of %.0f", n, k, c, mean)
				}
			}
		}
	}
}

// An instance of an earlier release closes the connection on which a request for a tunnel arrives.
func TestInstancesOfAnEarlierReleaseAreNotAskedForTunnels(t *testing.T) {
	f := tunnelFleet(0, 5, 250) // all bits that earlier releases know
	if list := f.TunnelPeers(start, "dc0", func(int, func(int, int)) {}, nil); len(list) > 0 {
		t.Errorf("%d instances of an earlier release are asked", len(list))
	}
}
