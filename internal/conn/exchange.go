package conn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mulberrylug.example/mulberrylug/internal/response"
)

// UnknownLength is the Request.Length of a body of unknown size, which is sent in chunked
// encoding.
const UnknownLength = -1

// ErrNotHTTP means that a request's method, target or host can't be written as HTTP.
var ErrNotHTTP = errors.New("not a valid HTTP message")

// Request is one HTTP request as it is written to a connection.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is nil if the request has no body. Length is the size of the body in bytes, or
	// UnknownLength.
	Body   io.Reader
	Length int64
}

// Write sends the request. The body is read while it is being sent.
func (c *Conn) Write(r *Request) error {
	c.beginExchange()
	defer c.writeReturned.Store(true)
	to := &requestWriter{w: c.traffic.Writer(c.Conn), lastBegun: &c.lastWriteBegun, left: math.MaxInt64}
	w := bufio.NewWriterSize(to, readBufferSize)
	if err := writeHead(w, r); err != nil {
		return fmt.Errorf("send head to %s: %w", c.address, err)
	}
	if r.Body == nil || r.Length != UnknownLength {
		to.left = int64(w.Buffered()) + max(r.Length, 0)
	}
	if err := writeBody(w, r); err != nil {
		return fmt.Errorf("send body to %s: %w", c.address, err)
	}
	to.left = int64(w.Buffered())
	if err := w.Flush(); err != nil {
		return fmt.Errorf("send to %s: %w", c.address, err)
	}
	c.written.Store(true)
	return nil
}

// requestWriter writes a request to a connection, and notes when the write of its last byte begins.
type requestWriter struct {
	w         io.Writer
	lastBegun *atomic.Bool
	// left is the number of bytes of the request that were not passed to w yet.
	left int64
}

// Write implements io.Writer.
func (r *requestWriter) Write(p []byte) (int, error) {
	r.left -= int64(len(p))
	if r.left <= 0 {
		r.lastBegun.Store(true)
	}
	return r.w.Write(p)
}

func writeHead(w *bufio.Writer, r *Request) error {
	if strings.ContainsAny(r.Target, " \r\n") || strings.ContainsAny(r.Method, " \r\n") || strings.ContainsAny(r.Host, " \r\n") {
		return fmt.Errorf("request for target %q has a space or line break in its method, target or host: %w", r.Target, ErrNotHTTP)
	}
	for _, s := range []string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		if _, err := w.WriteString(s); err != nil {
			return err
		}
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	length := ""
	switch {
	case r.Body != nil && r.Length == UnknownLength:
		length = "Transfer-Encoding: chunked\r\n"
	case r.Body != nil || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		length = "Content-Length: " + strconv.FormatInt(max(r.Length, 0), 10) + "\r\n"
	}
	_, err := w.WriteString(length + "\r\n")
	return err
}

func writeBody(w *bufio.Writer, r *Request) error {
	if r.Body == nil {
		return nil
	}
	if r.Length != UnknownLength {
		n, err := io.Copy(w, r.Body)
		if err == nil && n != r.Length {
			err = fmt.Errorf("body length differs: want %d bytes, got %d: %w", r.Length, n, io.ErrUnexpectedEOF)
		}
		return err
	}
	chunked := httputil.NewChunkedWriter(w)
	if _, err := io.Copy(chunked, r.Body); err != nil {
		return err
	}
	if err := chunked.Close(); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// Await waits for the first byte of a response. After an error that is a timeout, waiting can go on.
func (c *Conn) Await() error {
	if _, err := c.r.Peek(1); err != nil {
		return fmt.Errorf("await response of %s: %w", c.address, err)
	}
	return nil
}

// ReadResponse reads the head of the next final response to a request with the given method;
// informational (1xx) responses are skipped. Together they are limited to MaxResponseHead; beyond it, the
// error is a LimitError. It wraps response.ErrInvalid if the peer sent what is not a response.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	c.ended.Store(false)
	c.in.begin()
	defer c.in.end()
	for {
		resp, err := c.readHead(method)
		if err != nil {
			return nil, fmt.Errorf("read response of %s: %w", c.address, err)
		}
		if !response.IsInformational(resp) {
			c.follow(resp)
			return resp, nil
		}
	}
}

// follow notes when the response has been read to its end, and for how long its server keeps the connection.
func (c *Conn) follow(resp *http.Response) {
	framing := response.FramingOf(resp)
	c.keeps = !resp.Close && framing != response.FramedByClose
	c.serverTimeout = KeepAlive(resp.Header)
	if resp.Body == http.NoBody {
		c.ended.Store(true)
		return
	}
	resp.Body = &followedBody{ReadCloser: resp.Body, conn: c, framing: framing}
}

// followedBody notes the end of a body.
type followedBody struct {
	io.ReadCloser
	conn    *Conn
	framing response.Framing
}

// errEndBeforeRequest reports that a response without a length ended before its request was written to its end.
var errEndBeforeRequest = fmt.Errorf("the connection ended before the request was written: %w", io.ErrUnexpectedEOF)

// Read implements io.Reader. A body that ends with its connection is complete only if the request was written before,
// without an error. The kernel reports a reset to one call only: if that is the write, the read that follows returns 0
// bytes, as after an orderly close.
func (b *followedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.framing == response.FramedByClose && !b.conn.awaitWritten() {
		return n, fmt.Errorf("read body of %s: %w", b.conn.address, errEndBeforeRequest)
	}
	b.conn.ended.Store(true)
	return n, err
}

const (
	// writeReturnTimeout is how long the write of a request may take to return once its response has ended. The server may
	// have read the whole request before the goroutine that wrote it runs again.
	writeReturnTimeout = 100 * time.Millisecond
	// writeReturnInterval is the interval between checks for that.
	writeReturnInterval = time.Millisecond
)

// awaitWritten reports whether the request was written to its end without an error: a write that succeeded has taken no
// error of the connection. If the write of its last byte has begun, it waits until that has returned.
func (c *Conn) awaitWritten() bool {
	if !c.lastWriteBegun.Load() {
		return false
	}
	for end := time.Now().Add(writeReturnTimeout); !c.writeReturned.Load() && time.Now().Before(end); {
		time.Sleep(writeReturnInterval)
	}
	return c.written.Load()
}

// reusable reports whether the connection can carry another exchange. It needs proof of both ends of the last one:
// the request was written to its end and the response read to its end, and nothing follows it. Otherwise the rest of
// one message would be taken for the beginning of the next.
func (c *Conn) reusable() bool {
	return c.written.Load() && c.ended.Load() && c.keeps && !c.closed.Load() && c.r.Buffered() == 0
}

// KeepAlive returns how long the server keeps an idle connection, as stated in the Keep-Alive
// header, or 0 if the header states no timeout.
func KeepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
