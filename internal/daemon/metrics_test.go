package daemon

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"regexp"
	"testing"

	"mulberrylug.example/mulberrylug/internal/core"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// readMetrics returns an instance's metrics as an operator reads them over HTTP.
func readMetrics(t *testing.T, d *Daemon) map[string]any {
	t.Helper()
	rec := httptest.NewRecorder()
	d.Metrics().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/debug/vars", nil))
	var out map[string]any
	if err := json.Unmarshal(rec.Body.Bytes(), &out); err != nil {
		t.Fatalf("metrics are not valid JSON: %v\n%s", err, rec.Body)
	}
	return out
}

// Each refusal must be counted under its reason, and the name of each metric must end in its
// unit.
func TestMetrics(t *testing.T) {
	d, _ := startDaemon(t, http.NotFoundHandler())
	id, sink := d.Request(core.CallerRequest{Model: "any"})
	<-sink.Ready
	d.Leave(id, sink)
	d.Metrics().Add("peer_lost_messages_total", "entry-2", 3)
	testkit.Eventually(t, testTimeout, "the refusal is counted", func() bool {
		refusals, _ := readMetrics(t, d)["refusals_total"].(map[string]any)
		return refusals[core.ReasonNotReady] == 1.0
	})
	all := readMetrics(t, d)
	if lost, _ := all["peer_lost_messages_total"].(map[string]any); lost["entry-2"] != 3.0 {
		t.Errorf("peer_lost_messages_total = %v, want 3 for entry-2", lost)
	}
	unit := regexp.MustCompile(`(_total|_seconds|_bytes|_events|^open_callers|^goroutines)$`)
	for name := range all {
		if !unit.MatchString(name) {
			t.Errorf("metric %s does not end in its unit, want _total, _seconds, _bytes or _events", name)
		}
	}
}
