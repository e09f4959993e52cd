package pace

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/testkit"
)

// Callers that start only when Open allows it must never exceed the limit in any window,
// whatever the intervals between them. Open must not deny a start that the limit allows.
func TestPropertyStartsNeverExceedTheLimit(t *testing.T) {
	props := gopter.NewProperties(testkit.Parameters())
	props.Property("starts in any window do not exceed the limit", prop.ForAll(
		func(limit int, intervals []int) string {
			s := Starts{Limit: limit}
			now := time.Unix(1000, 0)
			var started []time.Time
			for _, interval := range intervals {
				now = now.Add(time.Duration(interval) * time.Millisecond)
				if !s.Open(now) {
					if k := len(started) - limit; k < 0 || now.Sub(started[k]) >= Window {
						return "Open denied a start that the limit allows"
					}
					continue
				}
				s.Note(now)
				started = append(started, now)
				if k := len(started) - 1 - limit; k >= 0 && now.Sub(started[k]) < Window {
					return "more starts than the limit within a window"
				}
			}
			return ""
		},
		gen.IntRange(1, 5), gen.SliceOfN(40, gen.IntRange(0, 400)),
	))
	props.TestingRun(t)
}
