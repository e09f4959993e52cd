package forward

import "testing"

// An event that comes twice, that leaves others out, or that nothing places must not count as the next one.
func TestOrderOfEvents(t *testing.T) {
	for _, c := range []struct {
		name string
		call Call
		id   string
		want EventOrder
	}{
		{"first of a stream", Call{}, "7", InOrder},
		{"first without an id", Call{}, "", InOrder},
		{"next", Call{Events: 2, LastEvent: "8"}, "9", InOrder},
		{"the same again", Call{Events: 2, LastEvent: "8"}, "8", Repeated},
		{"from the beginning", Call{Events: 2, LastEvent: "8"}, "1", Repeated},
		{"with events left out", Call{Events: 2, LastEvent: "8"}, "10", Gap},
		{"without an id", Call{Events: 2, LastEvent: "8"}, "", Unnumbered},
		{"after an event without an id", Call{Events: 2}, "9", Unnumbered},
		{"next of a stream that is taken up", Call{Request: Request{AfterEvent: "8"}}, "9", InOrder},
		{"a stream that is taken up, from the beginning", Call{Request: Request{AfterEvent: "8"}}, "1", Repeated},
		{"a stream that is taken up after no number", Call{Request: Request{AfterEvent: "x"}}, "1", Unnumbered},
	} {
		if got := c.call.OrderOf(c.id); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
