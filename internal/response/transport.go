package response

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is an http.RoundTripper that rejects invalid responses by the rules of this package. A body that ends with its
// connection ends with io.ErrUnexpectedEOF: the kernel also closes the connections of a process that crashes, and it may
// report a reset only to the write of the request.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport that makes requests by base. It takes over base, whose DialContext must be set. With
// HTTPS, only what net/http reports of a head is checked.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headConn{Conn: c}, nil
	}
	return &Transport{base: base}
}

// DefaultClient is http.DefaultClient with a Transport.
var DefaultClient = &http.Client{Transport: NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// RoundTrip implements http.RoundTripper. The error wraps ErrInvalid if the server sent what is not a response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*headConn); ok {
			c.expectHead()
		}
	}}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		resp.Body.Close()
		return nil, fmt.Errorf("response of %s: %w", r.URL.Host, err)
	}
	// A body that net/http has decompressed has the end of its compressed data.
	if FramingOf(resp) == FramedByClose && !resp.Uncompressed {
		resp.Body = unprovedBody{resp.Body}
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses. http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// unprovedBody is a body whose end proves nothing.
type unprovedBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b unprovedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = fmt.Errorf("body without a length: %w", io.ErrUnexpectedEOF)
	}
	return n, err
}

// maxLine is the maximum size of a line of a head in bytes. The beginning of a line is kept, and checked again with what
// arrives of the rest.
const maxLine = 32 << 10

// headConn checks the heads of the responses on a connection that carries one request at a time, before net/http parses
// them. net/http limits the size of a whole head. With HTTPS no head is expected here, as the bytes are encrypted.
type headConn struct {
	net.Conn

	mu   sync.Mutex
	head Head
	// part is the beginning of a line of the head whose rest has not arrived.
	part []byte
	// expected is set from a request to the end of the head of its response, and used since the first request. unasked is
	// set if something arrived before that.
	expected, used, unasked bool
	// invalid is why nothing more is read: net/http may take what it has of a line for the whole line after an error.
	invalid error
}

// expectHead begins the head of the response to the next request.
func (c *headConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unasked {
		c.invalid = fmt.Errorf("%w: sent before the request", ErrInvalid)
	}
	c.head, c.part, c.expected, c.used = Head{}, nil, true, true
}

// Read implements net.Conn. It returns nothing of a head that is found to be invalid.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if invalid := c.check(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// check checks what has arrived, as far as it belongs to heads.
func (c *headConn) check(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expected || c.invalid != nil {
		c.unasked = c.unasked || !c.used && len(b) > 0
		return c.invalid
	}
	if len(c.part) > 0 {
		b = append(c.part, b...)
	}
	for {
		n, end, err := c.head.Check(b)
		b = b[n:]
		switch {
		case err != nil:
			c.invalid = err
			return err
		case !end && len(b) > maxLine:
			c.invalid = fmt.Errorf("%w: a line of its head exceeds %d bytes", ErrInvalid, maxLine)
			return c.invalid
		case !end:
			c.part = bytes.Clone(b)
			return nil
		case !c.head.informational:
			c.part, c.expected = nil, false
			return nil
		}
		c.head = Head{}
	}
}
