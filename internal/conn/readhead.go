package conn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"mulberrylug.example/mulberrylug/internal/response"
)

// readHead reads the next head, that of an informational response included. checkHead has put it into the buffer whole, within
// the limits of headLimiter, so that the parser reads nothing from the connection.
func (c *Conn) readHead(method string) (*http.Response, error) {
	if err := c.checkHead(); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	return resp, response.Check(resp)
}

// checkHead waits for the next head and checks its lines. It leaves the head in the buffer, which grows to hold it.
func (c *Conn) checkHead() error {
	var head response.Head
	for checked := 0; ; {
		buffered, _ := c.r.Peek(c.r.Buffered()) // never fails
		n, end, err := head.Check(buffered[checked:])
		if end || err != nil {
			return err
		}
		checked += n
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
