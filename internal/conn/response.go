package conn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// This file decides what counts as a response. net/http reads more than RFC 9110 and RFC 9112 allow, and an upstream that
// fails may send anything. What is not certain to be the response to a request must not reach the caller of that request.

const (
	// maxStatus is the largest status that RFC 9110, section 15, defines a class for.
	maxStatus = 599
	// httpMajor is the major version of the responses to requests of HTTP/1.1.
	httpMajor = 1
)

// ErrNoResponse reports that what a peer sent is not a response.
var ErrNoResponse = errors.New("not a valid HTTP response")

// checkStatus returns an error if a response does not have the version, or the status, of one to a request of HTTP/1.1.
// net/http accepts all versions, and each status of three characters that parse as a number of at least 0.
func checkStatus(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != httpMajor:
		return fmt.Errorf("%w: version %q", ErrNoResponse, resp.Proto)
	case resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus:
		return fmt.Errorf("%w: status %q", ErrNoResponse, resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %q, which no request asks for", ErrNoResponse, resp.Status)
	case isInformational(resp) && (len(resp.TransferEncoding) > 0 || resp.Header.Get("Content-Length") != ""):
		// The body would be read as the final response.
		return fmt.Errorf("%w: status %q with a body", ErrNoResponse, resp.Status)
	}
	return nil
}

// isInformational reports whether another response follows to the same request.
func isInformational(resp *http.Response) bool {
	return resp.StatusCode/100 == 1
}

// headCheck checks the lines of a head that net/http does not report: it joins a line that begins with a blank to the one
// before, accepts names with blanks, and drops Transfer-Encoding from a response of HTTP/1.0 and the length beside it from
// others. With such a line, what frames the body is not certain.
type headCheck struct {
	lines int
	// http10 is set for a response of HTTP/1.0, and length and coding if it states a length or a transfer coding.
	http10, length, coding bool
}

// add checks the next line, without its end, and reports whether it ends the head.
func (h *headCheck) add(line []byte) (end bool, err error) {
	h.lines++
	name, _, isField := bytes.Cut(line, []byte(":"))
	switch {
	case h.lines == 1:
		h.http10 = bytes.HasPrefix(line, []byte("HTTP/1.0 "))
		if !bytes.HasPrefix(line, []byte("HTTP/")) {
			return false, fmt.Errorf("%w: first line %.40q", ErrNoResponse, line)
		}
	case len(line) == 0:
		return true, h.checkFraming()
	case !isField || bytes.ContainsAny(name, " \t"):
		return false, fmt.Errorf("%w: line %.40q of its head", ErrNoResponse, line)
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.length = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.coding = true
	}
	return false, nil
}

// checkFraming returns an error if the head states the end of the body in two ways, or in one that its version does not
// have (RFC 9112, section 6.1).
func (h *headCheck) checkFraming() error {
	switch {
	case h.coding && h.length:
		return fmt.Errorf("%w: both a length and a transfer coding", ErrNoResponse)
	case h.coding && h.http10:
		return fmt.Errorf("%w: a transfer coding in HTTP/1.0", ErrNoResponse)
	}
	return nil
}

// checkHead waits for the next head and checks its lines. It leaves the head in the buffer, which grows to hold it.
func (c *Conn) checkHead() error {
	var head headCheck
	for checked := 0; ; {
		buffered, _ := c.r.Peek(c.r.Buffered()) // never fails
		for n := bytes.IndexByte(buffered[checked:], '\n'); n >= 0; n = bytes.IndexByte(buffered[checked:], '\n') {
			line := bytes.TrimSuffix(buffered[checked:checked+n], []byte("\r"))
			if end, err := head.add(line); end || err != nil {
				return err
			}
			checked += n + 1
		}
		if len(buffered) == c.r.Size() {
			c.growBuffer(buffered)
		}
		if _, err := c.r.Peek(len(buffered) + 1); errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		} else if err != nil {
			return err
		}
	}
}

// growBuffer doubles the buffer of the connection, which is full. The limit of heads bounds its size.
func (c *Conn) growBuffer(buffered []byte) {
	c.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), &c.in), 2*c.r.Size())
}

// shrinkBuffer restores the buffer of a connection without an exchange, in which nothing is buffered.
func (c *Conn) shrinkBuffer() {
	if c.r.Size() > readBufferSize {
		c.r = bufio.NewReaderSize(&c.in, readBufferSize)
	}
}
