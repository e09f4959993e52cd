package conn

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"mulberrylug.example/mulberrylug/internal/response"
	"mulberrylug.example/mulberrylug/internal/standin"
)

// soundHeads are responses to a request, which a strict check must not refuse, with their bodies.
var soundHeads = map[string]string{
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody":                                                  "body",
	"HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody":                                                     "body",
	"HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody":                                                    "body",
	"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody":                                                  "body",
	"HTTP/1.0 200 OK\r\n\r\nbody":                                                                       "body",
	"HTTP/1.1 200 OK\nContent-Length: 4\n\nbody":                                                        "body",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 None\r\n\r\n": "",
	"HTTP/1.1 599 Own\r\nx-a!#$%&'*+-.^_`|~0: \t é\r\nX-B:\r\nContent-Length:4 \r\n\r\nbody":            "body",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n":       "body",
	"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n":                                            "",
	"HTTP/1.1 200 OK\r\nX-Filler: " + strings.Repeat("x", 20<<10) + "\r\nContent-Length: 4\r\n\r\nbody": "body",
}

// A check that is too strict would turn the responses of sound upstreams into failures.
func TestSoundResponsesAreRead(t *testing.T) {
	for text, want := range soundHeads {
		c := respondWith(t, strings.NewReader(text), noAccount{})
		c.written.Store(true)
		c.lastWriteBegun.Store(true)
		c.writeReturned.Store(true)
		resp, err := c.ReadResponse(http.MethodGet)
		if err != nil {
			t.Errorf("%.80q: %v", text, err)
			continue
		}
		if got, err := io.ReadAll(resp.Body); err != nil || string(got) != want {
			t.Errorf("%.80q: body %q, error %v, want %q", text, got, err, want)
		}
	}
}

// checkRejected checks that none of some invalid responses is read.
func checkRejected(t *testing.T, list []standin.RawResponse) {
	t.Helper()
	for _, raw := range list {
		c := respondWith(t, strings.NewReader(raw.Text), noAccount{})
		if resp, err := c.ReadResponse(http.MethodGet); err == nil {
			t.Errorf("%q: read as a response with status %d and header %v", raw.Name, resp.StatusCode, resp.Header)
		}
	}
}

// A connection ends within the head of a response. The response must not be read as one with an empty body.
func TestTruncatedHeadsAreRejected(t *testing.T) {
	checkRejected(t, standin.TruncatedHeads("X-A: b\r\n"))
}

// Statuses that are invalid must neither be passed on nor be skipped: what follows would be read as the response.
func TestInvalidStatusesAreRejected(t *testing.T) {
	checkRejected(t, standin.InvalidStatuses("", "the body"))
	c := respondWith(t, strings.NewReader("HTTP/1.1 000 Trouble\r\n\r\n"), noAccount{})
	if _, err := c.ReadResponse(http.MethodGet); !errors.Is(err, response.ErrInvalid) {
		t.Errorf("error %v, want response.ErrInvalid", err)
	}
}

// The name of a field contains whitespace, or the framing of the body is stated twice. A parser that ignores the field
// would read another body than the one that was sent.
func TestInvalidFieldsAreRejected(t *testing.T) {
	checkRejected(t, standin.InvalidFields("", "the body"))
	checkRejected(t, standin.InvalidFields("X-Filler: "+strings.Repeat("x", 20<<10)+"\r\n", "the body")) // more than the buffer of a connection
}
