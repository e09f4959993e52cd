// Package response decides what counts as a response of HTTP/1.x, and what ends its body. net/http accepts more than RFC
// 9110 and RFC 9112 allow, and a failing server may send anything. A caller must not get what may not be the response to its
// request.
package response

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

const (
	// maxStatus is the largest status that RFC 9110, section 15, defines a class for.
	maxStatus = 599
	// httpMajor is the major version of the responses to requests of HTTP/1.1.
	httpMajor = 1
)

// ErrInvalid reports that what a peer sent is not a response.
var ErrInvalid = errors.New("not a valid HTTP response")

// Check returns an error, which wraps ErrInvalid, if a response that net/http has parsed does not have the version, the
// status or the names of fields of one to a request of HTTP/1.1. net/http accepts all versions, each status of three
// characters that parse as a number of at least 0, and spaces in names.
func Check(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != httpMajor:
		return fmt.Errorf("%w: version %q", ErrInvalid, resp.Proto)
	case resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus:
		return fmt.Errorf("%w: status %q", ErrInvalid, resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %q, which no request asks for", ErrInvalid, resp.Status)
	}
	for name := range resp.Header {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: name %.40q in its head", ErrInvalid, name)
		}
	}
	return nil
}

// IsInformational reports whether another response follows to the same request.
func IsInformational(resp *http.Response) bool {
	return resp.StatusCode/100 == 1
}

// Framing is what ends the body of a response.
type Framing string

// Framings of bodies. Only the first two prove by the body's own bytes that it is complete.
const (
	// FramedByLength: the body has a length. FramedByChunks: it is sent in chunks, with a last one.
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose: the body ends with its connection.
	FramedByClose Framing = "close"
)

// FramingOf returns what ends the body of a response.
func FramingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0, resp.Body == http.NoBody:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByClose
}
