package conn

import (
	"errors"
	"fmt"
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
