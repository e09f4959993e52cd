package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// fleetByDC returns a view of ready instances in the data centres "a", "b" and "c", given the
// number of instances in each. The names and addresses of instances start with their data
// centre.
func fleetByDC(in map[string]int) *Fleet {
	regions := map[string]string{"a": "west", "b": "west", "c": "east"}
	var f *Fleet
	for _, dc := range []string{"a", "b", "c"} {
		for k := range in[dc] {
			b := msg.Heartbeat{Name: fmt.Sprintf("%s%03d", dc, k), DataCentre: dc, CallerAddress: fmt.Sprintf("%s%03d", dc, k), Ready: true}
			if f == nil {
				f = New(start, b, regions, 0)
				f.SetSelf(start, true, false, true)
			} else {
				f.OnHeartbeat(start, b)
			}
		}
	}
	return f
}

// countByDC returns the number of addresses in each data centre, such as "a7 b1".
func countByDC(addresses []string) string {
	count := map[string]int{}
	for _, a := range addresses {
		count[a[:1]]++
	}
	var out []string
	for _, dc := range []string{"a", "b", "c"} {
		if count[dc] > 0 {
			out = append(out, fmt.Sprintf("%s%d", dc, count[dc]))
		}
	}
	return strings.Join(out, " ")
}

// The link between two data centres loses packets, and a stream that crosses it pauses for a
// quarter of a second at each lost packet. A caller must get addresses in its data centre,
// unless there are too few instances: a single one leaves no second address to try, and a few
// must not serve all callers.
func TestCallersGetNearAddresses(t *testing.T) {
	for _, c := range []struct {
		name string
		in   map[string]int
		near Place
		want string
	}{
		{"own data centre", map[string]int{"a": 7, "b": 2, "c": 4}, Place{DataCentre: "b", Region: "west"}, "b2"},
		{"one instance: the region", map[string]int{"a": 7, "b": 1, "c": 4}, Place{DataCentre: "b", Region: "west"}, "a7 b1"},
		{"far below an even share: the region", map[string]int{"a": 40, "b": 3, "c": 20}, Place{DataCentre: "b", Region: "west"}, "a40 b3"},
		{"no instance in the region: all", map[string]int{"a": 4, "b": 3}, Place{DataCentre: "c", Region: "east"}, "a4 b3"},
		{"unknown place: all", map[string]int{"a": 4, "b": 3, "c": 3}, Place{DataCentre: "x", Region: "y"}, "a4 b3 c3"},
		{"no place: all", map[string]int{"a": 4, "b": 3, "c": 3}, Place{}, "a4 b3 c3"},
	} {
		if got := countByDC(fleetByDC(c.in).Addresses(c.near, 64)); got != c.want {
			t.Errorf("%s: addresses in %s, want %s", c.name, got, c.want)
		}
	}
}

// A response has room for 64 addresses, and the data centre has 150 instances. If each
// response had the same 64, the other instances would be idle while these are overloaded.
func TestAddressesRotateInALargeDataCentre(t *testing.T) {
	f := fleetByDC(map[string]int{"a": 150})
	times := map[string]int{}
	for range 75 {
		list := f.Addresses(Place{DataCentre: "a"}, 64)
		if len(list) != 64 || len(slices.Compact(slices.Sorted(slices.Values(list)))) != 64 {
			t.Fatalf("%d addresses, want 64 different ones", len(list))
		}
		for _, a := range list {
			times[a]++
		}
	}
	for name, n := range times {
		if n != 75*64/150 {
			t.Errorf("%s is listed %d times, want %d", name, n, 75*64/150)
		}
	}
	if len(times) != 150 {
		t.Errorf("%d instances are listed, want all 150", len(times))
	}
}

// A route restricts its requests to regions. A caller may get addresses there or in its own
// region only. Otherwise a request body would cross a border that the operators have closed.
func TestCallersGetNoAddressesInOtherRegions(t *testing.T) {
	for _, c := range []struct {
		name string
		in   map[string]int
		near Place
		want string
	}{
		{"own region first", map[string]int{"a": 4, "b": 3, "c": 3}, Place{DataCentre: "a", Region: "west", Regions: []string{"east"}}, "a4"},
		{"allowed region if the own region has no instance", map[string]int{"c": 3}, Place{DataCentre: "a", Region: "west", Regions: []string{"east"}}, "c3"},
		{"no other region", map[string]int{"c": 3}, Place{DataCentre: "a", Region: "west", Regions: []string{"west"}}, ""},
	} {
		if got := countByDC(fleetByDC(c.in).Addresses(c.near, 64)); got != c.want {
			t.Errorf("%s: addresses in %q, want %q", c.name, got, c.want)
		}
	}
}

// A data centre loses power. The instances that its callers could query for other addresses fail
// as well. With the addresses of its last response a caller must reach a live instance within a
// few attempts. In normal operation nearly all requests of a caller must stay in its data centre,
// at the same instances each time.
func TestACallerCanLeaveAFailedDataCentre(t *testing.T) {
	f := fleetByDC(map[string]int{"a": 40, "b": 30})
	used := map[string]int{}
	for k := range 200 {
		near := Place{DataCentre: "a", Region: "west", Caller: fmt.Sprintf("100.64.0.%d", k)}
		list := f.Addresses(near, 64)
		if !slices.Equal(list, f.Addresses(near, 64)) {
			t.Fatal("two different responses to the same caller, want equal ones")
		}
		far, nearAddresses := 0, map[string]bool{}
		for _, a := range list {
			if a[0] != 'a' {
				far++
			} else {
				nearAddresses[a] = true
				used[a]++
			}
		}
		if far == 0 || 10*far > len(list) {
			t.Errorf("%d of %d addresses are in other data centres, want at least one and at most a tenth", far, len(list))
		}
		if len(nearAddresses) > 4 {
			t.Errorf("%d near addresses must fail before the caller tries a far one, want at most 4", len(nearAddresses))
		}
	}
	for a, n := range used {
		if limit := 4 * nearWeight * nearWeighted * 200 / 40; n > limit {
			t.Errorf("%s is listed %d times, want at most 360, which is four times an even share among 40 instances", a, n)
		}
	}
	if len(used) < 38 {
		t.Errorf("%d of 40 instances are listed, want at least 38", len(used))
	}
}
