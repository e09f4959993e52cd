package hosting

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// bareWriter writes a response without a length or chunks, which ends with its connection. The connection is
// closed in order, also where the response is broken off: the kernel does the same for a process that is killed
// while it has read all that it was sent.
type bareWriter struct {
	http.ResponseWriter
	conn net.Conn
	buf  *bufio.ReadWriter
}

// bare takes over the connection of a response; nil if that is not possible.
func bare(rw http.ResponseWriter) *bareWriter {
	c, buf, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return nil
	}
	return &bareWriter{ResponseWriter: rw, conn: c, buf: buf}
}

// begin writes the head of a response with status 200.
func (b *bareWriter) begin() {
	_, _ = fmt.Fprint(b.buf, "HTTP/1.1 200 OK\r\n") // an error means that the caller has disconnected
	_ = b.Header().Write(b.buf)                     // as above
	_, _ = fmt.Fprint(b.buf, "\r\n")                // as above
}

// Write implements io.Writer.
func (b *bareWriter) Write(p []byte) (int, error) { return b.buf.Write(p) }

// FlushError is used by http.ResponseController.
func (b *bareWriter) FlushError() error { return b.buf.Flush() }

// SetWriteDeadline is used by http.ResponseController.
func (b *bareWriter) SetWriteDeadline(t time.Time) error { return b.conn.SetWriteDeadline(t) }

// Hijack is used by http.ResponseController.
func (b *bareWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) { return b.conn, b.buf, nil }
