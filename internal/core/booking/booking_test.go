package booking_test

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/core/booking"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// Callers choose their idempotency keys. If a key could address the row of another organisation
// or service, a caller would get a response of theirs or occupy one of their keys.
func TestPromise4PropertyRowKeysAreDistinct(t *testing.T) {
	p := gopter.NewProperties(testkit.Parameters())
	part := gen.SliceOfN(3, gen.OneConstOf("a", "/", `"`, `\\`, "")).Map(func(s []string) string { return s[0] + s[1] + s[2] })
	triple := gopter.CombineGens(part, part, part)
	p.Property("different bookings have different rows", prop.ForAll(func(x, y []any) bool {
		same := x[0] == y[0] && x[1] == y[1] && x[2] == y[2]
		row := func(v []any) string { return booking.RowKey(v[0].(string), v[1].(string), v[2].(string)) }
		return same == (row(x) == row(y))
	}, triple, triple))
	p.TestingRun(t)
	if booking.RowKey("a/b", "c", "d") == booking.RowKey("a", "b/c", "d") {
		t.Error("organisation \"a/b\", service \"c\" and organisation \"a\", service \"b/c\" share a row, want different rows")
	}
}
