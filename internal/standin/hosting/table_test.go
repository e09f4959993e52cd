package hosting

import (
	"net/http"
	"testing"
)

// The fault of the store for one instance has no effect, so that tests with it pass whatever the
// instance does. It must apply to that instance's address of the store, and to no other.
func TestAFaultForOneInstanceAppliesToItsCallsOnly(t *testing.T) {
	w := NewWorld(t.TempDir())
	t.Cleanup(w.Close)
	for _, name := range []string{"entry-0", "entry-1"} {
		if _, err := w.Machine(name); err != nil {
			t.Fatal(err)
		}
	}
	w.Table.SetFor("entry-1", Busy)
	for k, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		resp, err := http.Get("http://" + w.stores[k].Address() + "/v1/rows-get?table=op")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("store responds to entry-%d with status %d, want %d", k, resp.StatusCode, want)
		}
	}
}
