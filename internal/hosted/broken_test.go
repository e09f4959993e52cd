package hosted_test

import (
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// An engine loses the connection of a stream in its middle, or before its first event, and works on. The stream must be stopped there before it goes
// on at another engine: two engines would work on it at once, and one that may not be repeated would be lost.
func TestABrokenStreamIsStoppedBeforeItGoesOn(t *testing.T) {
	t.Parallel()
	for _, path := range []string{hosting.PathBrief, hosting.PathDraft} {
		for _, fault := range []hosting.Fault{hosting.WorksOn, hosting.WorksOnUnseen} {
			t.Run(path+string(fault), func(t *testing.T) {
				t.Parallel()
				r := newRig(t, 2, nil)
				for _, k := range r.engines {
					k.EventEvery = 4 * time.Millisecond
					k.SetFault(fault)
				}
				c := r.send(t, head("POST", path, "broken", "Content-Length: 2\r\n")+"{}")
				if body, err := readSlowly(c, 100_000_000); err != nil || body != whole("broken") {
					t.Errorf("%d bytes, error %v; want the whole stream", len(body), err)
				}
				time.Sleep(slowEvents * 4 * time.Millisecond)
				produced := 0
				for _, a := range r.Arrivals()["broken"] {
					produced += a.Events
				}
				if produced > slowEvents*11/10 {
					t.Errorf("engines produced %d events of a stream of %d", produced, slowEvents)
				}
			})
		}
	}
}
