package proctest

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// invalidValues returns rows of other types, very deeply nested ones, and values that are not JSON.
func invalidValues() map[string]string {
	rows := map[string]string{"null": "null", "text": `"odd"`, "number": "1e400", "empty": "", "no JSON": "\xff\x00{", "unfinished": `{"service":`}
	for _, depth := range []int{9_000, 9_999, 10_001, 40_000} {
		rows[fmt.Sprintf("lists-%d", depth)] = strings.Repeat("[", depth) + strings.Repeat("]", depth)
		rows[fmt.Sprintf("objects-%d", depth)] = strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth)
	}
	return rows
}

// withInvalidFields adds rows with one invalid field each. sound holds the texts of a valid row's fields, odd the invalid
// texts of each field.
func withInvalidFields(rows, sound map[string]string, odd map[string][]string) map[string]string {
	for field, texts := range odd {
		for k, text := range texts {
			row := maps.Clone(sound)
			row[field] = text
			var parts []string
			for _, name := range slices.Sorted(maps.Keys(row)) {
				parts = append(parts, fmt.Sprintf("%q:%s", name, row[name]))
			}
			rows[fmt.Sprintf("%s-%d", field, k)] = "{" + strings.Join(parts, ",") + "}"
		}
	}
	return rows
}

// invalidAddresses are addresses at which no connection can be made.
var invalidAddresses = []string{`"127.0.0.1:99999"`, `"127.0.0.1:-1"`, `"127.0.0.1:0"`, `"127.0.0.1:http"`, `"127.0.0.1"`, `":80"`, `"no host:80"`, `"::1:80"`, "80", `"\u0000:1"`, `""`}

// putInvalidRows writes invalid rows among those of the upstreams and the instances.
func putInvalidRows(w *hosting.World) {
	for _, service := range []string{hosting.Desk, hosting.Pool} {
		sound := map[string]string{"service": fmt.Sprintf("%q", service), "address": `"127.0.0.1:9"`, "version": `"v1"`, "slots": "24", "state": `"ready"`, "born": "1700000000000"}
		for name, value := range withInvalidFields(invalidValues(), sound, map[string][]string{
			"address": invalidAddresses, "slots": {"1e400", "1e30", "9223372036854775807", "-1", "1.5", "{}"}, "cold_remaining_ms": {"1e400", "1e308", "-1e308", "9e18", `"1"`},
			"born": {"1e400", "9223372036854775807", "-1", "1.5"}, "state": {`"odd"`, "7", "null"},
		}) {
			w.Table.Put("servers", "odd-"+service+"-"+name, []byte(value))
		}
	}
	sound := map[string]string{"data_centre": fmt.Sprintf("%q", hosting.DefaultZone), "caller_address": `"127.0.0.1:9"`, "peer_address": `"127.0.0.1:9"`, "class": "1"}
	for name, value := range withInvalidFields(invalidValues(), sound, map[string][]string{
		"data_centre": {"7", "null"}, "caller_address": invalidAddresses, "peer_address": invalidAddresses, "class": {"300", "-1", "1e400", "{}"},
	}) {
		w.Table.Put("instances", "odd-"+name, []byte(value))
	}
}

// checkFollowsRows checks that all instances use a new upstream and that no request fails.
func checkFollowsRows(t *testing.T, f *fixture, id string) {
	t.Helper()
	added := f.addUpstream(t, id, hosting.Desk, func(*hosting.Worker) {})
	for k, m := range f.machines {
		n := 0
		testkit.Eventually(t, waitTimeout, m.Name+" uses "+id, func() bool {
			n++
			r := f.do(m, lookUp(fmt.Sprintf("%s-%d-%d", id, k, n)))
			if r.status != http.StatusOK {
				t.Errorf("%s: a look-up ended with %+v, want a success", m.Name, r)
			}
			return r.body == hosting.Body(fmt.Sprintf("%s-%d-%d", id, k, n), added.ID)
		})
		for n := range 4 {
			if r := f.do(m, booking(fmt.Sprintf("booking-%s-%d-%d", id, k, n))); r.status != http.StatusOK {
				t.Errorf("%s: a booking ended with %+v, want a success", m.Name, r)
			}
		}
		draft := fmt.Sprintf("draft-%s-%d", id, k)
		r := f.do(m, generation(draft))
		checkComplete(t, draft, r, f.Arrivals()[draft])
	}
	for _, p := range f.procs {
		if p.hasEnded() {
			t.Errorf("%s has ended", p.name)
		}
		if strings.Contains(p.output(), "event=join_failed") {
			t.Errorf("%s could not read the rows of the other instances", p.name)
		}
	}
}

// Another program writes invalid rows among those of the upstreams and the instances: very deeply nested, with numbers that
// are too large, with ports out of range, or with fields of other types. An instance must neither end, nor stop following
// the other rows, nor send requests to such an upstream, whether the rows are there as it starts or appear later.
func TestHostedInvalidRowsAreIgnored(t *testing.T) {
	t.Parallel()
	f := newFixtureWith(t, "", putInvalidRows, func(*hosting.Worker) {})
	checkFollowsRows(t, f, "added-beside-odd-rows")
	putInvalidRows(f.World)
	checkFollowsRows(t, f, "added-after-odd-rows")
	f.procs[0].kill()
	f.procs[0] = f.startInstance(t, f.machines[0])
	f.waitReady(t)
	checkFollowsRows(t, f, "added-after-a-restart")
}
