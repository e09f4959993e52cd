package hosted

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// collectEvents reads events until the stream ends and returns them with the final error.
func collectEvents(r io.Reader) (events []string, err error) {
	e := newEventReader(r, func(int64) error { return nil })
	for {
		event, err := e.next()
		if err != nil {
			return events, err
		}
		events = append(events, string(event))
	}
}

// The events returned by eventReader must be the bytes of the stream, however the reader splits
// them: an event that was altered or that ends early would reach the caller damaged.
func TestEventReaderPreservesBytes(t *testing.T) {
	for _, c := range []struct {
		name, in string
		want     []string
		err      error
	}{
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []string{"id: 1\r\ndata: a\r\n\r\n"}, io.EOF},
		{"long event", "data: " + strings.Repeat("x", 9000) + "\n\n", []string{"data: " + strings.Repeat("x", 9000) + "\n\n"}, io.EOF},
		{"line as long as the read buffer", "id: 1\ndata: " + strings.Repeat("x", 2042) + "\n\nid: 2\n\n", []string{"id: 1\ndata: " + strings.Repeat("x", 2042) + "\n\n", "id: 2\n\n"}, io.EOF},
		{"stream ends after a line as long as the read buffer", "id: 1\ndata: " + strings.Repeat("x", 2042) + "\n", nil, io.ErrUnexpectedEOF},
		{"stream ends within a line", "id: 1\ndata: a\n\nid: 2\nda", []string{"id: 1\ndata: a\n\n"}, io.ErrUnexpectedEOF},
		{"stream ends before the empty line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		{"empty stream", "", nil, io.EOF},
	} {
		for _, r := range []io.Reader{strings.NewReader(c.in), iotest.OneByteReader(strings.NewReader(c.in))} {
			got, err := collectEvents(r)
			if strings.Join(got, "|") != strings.Join(c.want, "|") || !errors.Is(err, c.err) {
				t.Errorf("%s: events = %q, error = %v; want %q, %v", c.name, got, err, c.want, c.err)
			}
		}
	}
}

// A comment that keeps a connection alive has no id. As an event it would end the stream where that goes on elsewhere.
func TestCommentsAreNoEvents(t *testing.T) {
	for block, want := range map[string]bool{": ping\n\n": true, ":\r\n\r\n": true, ": x\nid: 1\n\n": false, "data: a\n\n": false} {
		if got := isComment([]byte(block)); got != want {
			t.Errorf("isComment(%q) = %v, want %v", block, got, want)
		}
	}
}

func TestEventID(t *testing.T) {
	for in, want := range map[string]string{
		"id: 7\ndata: a\n\n": "7", "version: 2\nid:8\n\n": "8", "data: id: 9\n\n": "", "\n\n": "",
	} {
		if got := eventID([]byte(in)); got != want {
			t.Errorf("eventID(%q) = %q, want %q", in, got, want)
		}
	}
}

// For any stream of an upstream, the complete events that are read must be a prefix of the
// stream, and the full stream if it ends cleanly: no byte is lost, duplicated or changed.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("\n\n\n")
	f.Add("\r\n\r\nid: 1")
	f.Fuzz(func(t *testing.T, in string) {
		events, err := collectEvents(strings.NewReader(in))
		joined := strings.Join(events, "")
		if !strings.HasPrefix(in, joined) {
			t.Fatalf("stream %q: events %q are not a prefix of the stream", in, events)
		}
		if errors.Is(err, io.EOF) && len(joined) != len(in) {
			t.Errorf("stream %q: io.EOF after events of %d bytes, want all %d bytes", in, len(joined), len(in))
		}
	})
}
