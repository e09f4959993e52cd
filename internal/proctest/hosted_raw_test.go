package proctest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// sendRaw writes bytes to a new connection and returns the bytes received within a second.
func sendRaw(t *testing.T, address, bytes string) string {
	t.Helper()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, bytes); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	got, _ := io.ReadAll(c) // the read ends with an error at the deadline or if the connection breaks
	return string(got)
}

// bookingHead returns the head of a booking without the headers that frame its body.
func bookingHead(id string) string {
	return "POST " + hosting.PathBooking + "b HTTP/1.1\r\nHost: " + hosting.Host + "\r\nAttempt-Id: " + id +
		"\r\nDeadline-Ms: 3000\r\nCredential: " + hosting.Key + "\r\n"
}

// Request smuggling: a caller hides a second request in the body of a first one, with framing that
// two parsers can read differently. The upstream may run the first request or none, but never the
// hidden one.
func TestHostedSmuggledRequests(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	hidden := bookingHead("hidden") + "Content-Length: 0\r\n\r\n"
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	for name, bytes := range map[string]string{
		"both lengths":        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked,
		"short length":        fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", len(chunked)+10, chunked),
		"two lengths":         fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n%s", len(hidden), hidden),
		"unknown encoding":    "Transfer-Encoding: xchunked\r\n\r\n" + chunked,
		"space before colon":  "Transfer-Encoding : chunked\r\n\r\n" + chunked,
		"two encodings":       "Transfer-Encoding: identity, chunked\r\n\r\n" + chunked,
		"invalid chunk size":  "Transfer-Encoding: chunked\r\n\r\n0x" + chunked,
		"negative chunk":      "Transfer-Encoding: chunked\r\n\r\n-1\r\n" + hidden,
		"bare newline header": "X-A: b\nContent-Length: 0\n\n",
		"chunk in chunk":      "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x;a=\n%s\r\n0\r\n\r\n", len(hidden), hidden),
	} {
		sendRaw(t, f.machines[0].Callers, bookingHead("outer")+bytes)
		for id, list := range f.Arrivals() {
			if id == "hidden" {
				t.Errorf("%s: the hidden request reached %s, want it on no upstream", name, list[0].Worker)
			}
		}
	}
}

// Requests with and without a body use one persistent connection. Unread bytes or state of one
// request must not affect the next.
func TestHostedKeptConnection(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	c, err := net.Dial("tcp", f.machines[0].Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for k := range 12 {
		id := fmt.Sprintf("kept-%d", k)
		body := strings.Repeat("x", k*100)
		text := bookingHead(id) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		if k%3 == 1 {
			text = bookingHead(id) + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		}
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%s: read response: error = %v, want nil", id, err)
		}
		got, err := io.ReadAll(resp.Body)
		list := f.Arrivals()[id]
		if err != nil || len(list) != 1 || string(got) != hosting.Body(id, list[0].Worker) || list[0].Body != body {
			t.Errorf("%s: body %q, error %v, arrived %d times; want its own response and one arrival", id, got, err, len(list))
		}
	}
}
