package standin

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// ReadAll is the RawResponse.ReadFirst of a response that follows the whole request.
const ReadAll = -1

// RawResponse is a response of which every byte is chosen, for what net/http does not send.
type RawResponse struct {
	Name string
	// ReadFirst is the number of bytes of the request's body that are read before the response is sent, or ReadAll.
	ReadFirst int64
	// Text is what is sent; @ stands for the id of the request.
	Text string
	// OpenFor is for how long the connection stays open after that. It is then closed, or with Reset reset. The
	// kernel also resets a connection that is closed before all that arrived on it was read.
	OpenFor time.Duration
	Reset   bool
}

// Send sends the response to a request with an id and ends the connection.
func (a *RawResponse) Send(rw http.ResponseWriter, r *http.Request, id string) {
	var err error
	if a.ReadFirst == ReadAll {
		_, err = io.Copy(io.Discard, r.Body)
	} else {
		_, err = io.CopyN(io.Discard, r.Body, a.ReadFirst)
	}
	if err != nil {
		panic(http.ErrAbortHandler) // the request has ended early
	}
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	_, _ = io.WriteString(c, strings.ReplaceAll(a.Text, "@", id)) // an error means that the caller has disconnected
	time.Sleep(a.OpenFor)
	if l, ok := c.(*linkConn); ok && a.Reset {
		_ = l.tcp.SetLinger(0) // fails only on a closed connection
	}
}
