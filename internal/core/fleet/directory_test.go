package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// spread returns a view of instances in data centres, by their numbers.
func spread(in map[string]int) *Fleet {
	regions := map[string]string{"a": "west", "b": "west", "c": "east"}
	var f *Fleet
	for _, dc := range []string{"a", "b", "c"} {
		for k := range in[dc] {
			b := msg.Heartbeat{Name: fmt.Sprintf("%s%03d", dc, k), DataCentre: dc, CallerAddress: fmt.Sprintf("%s%03d", dc, k), Ready: true}
			if f == nil {
				f = New(start, b, regions, 0)
				f.SetSelf(start, true, false, true)
			} else {
				f.Heard(start, b)
			}
		}
	}
	return f
}

// named counts the data centres of an answer's addresses.
func named(addresses []string) string {
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

// The link between two data centres loses packets. A stream that crosses it pauses
// for a quarter of a second at each lost packet, so a caller is sent to instances
// beside it, unless there are too few of them: one alone leaves no second address
// to try, and a few must not carry what the others were built for.
func TestCallersAreSentToNearInstances(t *testing.T) {
	for _, c := range []struct {
		name string
		in   map[string]int
		near Place
		want string
	}{
		{"own data centre", map[string]int{"a": 7, "b": 2, "c": 4}, Place{DataCentre: "b", Region: "west"}, "b2"},
		{"one alone: the region", map[string]int{"a": 7, "b": 1, "c": 4}, Place{DataCentre: "b", Region: "west"}, "a7 b1"},
		{"far below an even share: the region", map[string]int{"a": 40, "b": 3, "c": 20}, Place{DataCentre: "b", Region: "west"}, "a40 b3"},
		{"nobody in the region: all", map[string]int{"a": 4, "b": 3}, Place{DataCentre: "c", Region: "east"}, "a4 b3"},
		{"unknown place: all", map[string]int{"a": 4, "b": 3, "c": 3}, Place{DataCentre: "x", Region: "y"}, "a4 b3 c3"},
		{"no place: all", map[string]int{"a": 4, "b": 3, "c": 3}, Place{}, "a4 b3 c3"},
	} {
		if got := named(spread(c.in).Addresses(c.near, 64)); got != c.want {
			t.Errorf("%s: named %s, want %s", c.name, got, c.want)
		}
	}
}

// An answer has room for 64 addresses, the data centre has 150 instances. If the
// same 64 were named each time, the others would idle while those are full.
func TestALargeDataCentreIsNamedInTurns(t *testing.T) {
	f := spread(map[string]int{"a": 150})
	times := map[string]int{}
	for range 75 {
		answer := f.Addresses(Place{DataCentre: "a"}, 64)
		if len(answer) != 64 || len(slices.Compact(slices.Sorted(slices.Values(answer)))) != 64 {
			t.Fatalf("%d addresses, want 64 different ones", len(answer))
		}
		for _, a := range answer {
			times[a]++
		}
	}
	for name, n := range times {
		if n != 75*64/150 {
			t.Errorf("%s is named %d times, want %d", name, n, 75*64/150)
		}
	}
	if len(times) != 150 {
		t.Errorf("%d instances are named, want all 150", len(times))
	}
}

// A route confines its requests to regions. A caller may be sent to instances there or in its
// own region, and nowhere else: its body would cross a border that the operators have closed.
func TestCallersAreNotSentToOtherRegions(t *testing.T) {
	for _, c := range []struct {
		name string
		in   map[string]int
		near Place
		want string
	}{
		{"its own region first", map[string]int{"a": 4, "b": 3, "c": 3}, Place{DataCentre: "a", Region: "west", Regions: []string{"east"}}, "a4"},
		{"the allowed region if its own has none", map[string]int{"c": 3}, Place{DataCentre: "a", Region: "west", Regions: []string{"east"}}, "c3"},
		{"nowhere else", map[string]int{"c": 3}, Place{DataCentre: "a", Region: "west", Regions: []string{"west"}}, ""},
	} {
		if got := named(spread(c.in).Addresses(c.near, 64)); got != c.want {
			t.Errorf("%s: named %q, want %q", c.name, got, c.want)
		}
	}
}

// A data centre loses power, and with it the instances that its callers ask where to connect.
// A caller must come to a live instance within a few tries by the answer that it has; while
// all is well nearly all of its requests stay near, at the same instances each time.
func TestACallerOutlivesItsDataCentre(t *testing.T) {
	f := spread(map[string]int{"a": 40, "b": 30})
	used := map[string]int{}
	for k := range 200 {
		near := Place{DataCentre: "a", Region: "west", Caller: fmt.Sprintf("100.64.0.%d", k)}
		answer := f.Addresses(near, 64)
		if !slices.Equal(answer, f.Addresses(near, 64)) {
			t.Fatal("another answer to the same caller")
		}
		far, addresses := 0, map[string]bool{}
		for _, a := range answer {
			if a[0] != 'a' {
				far++
			} else {
				addresses[a] = true
				used[a]++
			}
		}
		if far == 0 || 10*far > len(answer) {
			t.Errorf("%d of %d addresses are far, want some, and at most a tenth", far, len(answer))
		}
		if len(addresses) > 4 {
			t.Errorf("%d near addresses must fail before a far one is sure", len(addresses))
		}
	}
	for a, n := range used {
		if most := 4 * nearWeight * nearWeighted * 200 / 40; n > most {
			t.Errorf("%s is named %d times, over four times an even share", a, n)
		}
	}
	if len(used) < 38 {
		t.Errorf("%d of 40 instances are used", len(used))
	}
}
