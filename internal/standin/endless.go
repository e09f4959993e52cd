package standin

import (
	"bytes"
	"net/http"
	"strings"
	"time"
)

// Endless is a kind of response that does not end before the caller closes the connection.
type Endless struct {
	Name string
	// Head is sent first; @ stands for the id of the request.
	Head string
	// Unit is repeated after it.
	Unit string
	// Every is the pause between units; without one, they are sent as fast as the caller reads.
	Every time.Duration
	// Signed is set if the response looks like a sound one of which the rest is still to come. Served is set
	// if a whole response precedes the bytes without an end.
	Signed, Served bool
}

// EndlessHeads are kinds of heads without an end.
var EndlessHeads = []Endless{
	{Name: "line of a head", Head: "HTTP/1.1 200 OK\r\nX-Filler: ", Unit: "x"},
	{Name: "no HTTP", Unit: "\x00\xfe"},
	{Name: "fields of a head", Head: "HTTP/1.1 200 OK\r\n", Unit: "X-Filler: 1\r\n"},
	{Name: "short fields of a head", Head: "HTTP/1.1 200 OK\r\n", Unit: "A:\r\nB:\r\n"},
	{Name: "informational responses", Unit: "HTTP/1.1 100 Continue\r\n\r\n"},
	{Name: "empty lines", Unit: "\r\n"},
}

// EndlessBodies are kinds of bodies without an end, of responses that state success.
var EndlessBodies = []Endless{
	{Name: "body", Head: "HTTP/1.1 200 OK\r\n\r\n", Unit: "x"},
	{Name: "text of a body", Head: "HTTP/1.1 200 OK\r\n\r\n\"", Unit: "x"},
	{Name: "chunks", Head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Unit: "400\r\n" + strings.Repeat("[", 0x400) + "\r\n"},
	{Name: "extension of a chunk", Head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", Unit: "x"},
	{Name: "trailers", Head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", Unit: "X-Filler: 1\r\n"},
}

const (
	// endlessBlock is the number of bytes that are sent at once.
	endlessBlock = 32 << 10
	// endlessTime limits a response that the caller neither reads nor closes.
	endlessTime = 10 * time.Second
)

// Send sends the response to a request until the caller closes the connection or most bytes were sent, and
// returns the number of bytes sent.
func (e *Endless) Send(rw http.ResponseWriter, id string, most int64) (sent int64) {
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return 0
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(endlessTime)); err != nil {
		return 0
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		for buf := make([]byte, 1<<10); ; {
			if _, err := c.Read(buf); err != nil {
				return
			}
		}
	}()
	block := []byte(e.Unit)
	if e.Every == 0 {
		block = bytes.Repeat(block, endlessBlock/len(block)+1)
	}
	for next := []byte(strings.ReplaceAll(e.Head, "@", id)); sent < most; next = block {
		n, err := c.Write(next)
		if sent += int64(n); err != nil {
			return sent
		}
		select {
		case <-closed:
			return sent
		case <-time.After(e.Every):
		}
	}
	return sent
}
