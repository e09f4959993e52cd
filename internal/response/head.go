package response

import (
	"bytes"
	"fmt"
)

// Fields that frame a body.
const (
	headerLength = "Content-Length"
	headerCoding = "Transfer-Encoding"
)

// Head checks the lines of a head for what net/http accepts and does not report: it joins a line that begins with whitespace
// to the one before, accepts spaces in names, and drops Transfer-Encoding from a response of HTTP/1.0 and Content-Length
// beside it. The framing of the body is then not certain. The zero value is ready for the first line.
type Head struct {
	lines int
	// http10 is set for a response of HTTP/1.0, and informational for one with a status from 100 to 199. length and
	// coding are set if it states a length or a transfer coding.
	http10, informational, length, coding bool
}

// Check checks the complete lines at the beginning of b, up to the end of the head. It returns the number of bytes checked,
// after which the next call continues, and whether the head has ended. The error wraps ErrInvalid.
func (h *Head) Check(b []byte) (n int, end bool, err error) {
	for !end && err == nil {
		length := bytes.IndexByte(b[n:], '\n')
		if length < 0 {
			break
		}
		end, err = h.add(bytes.TrimSuffix(b[n:n+length], []byte("\r")))
		n += length + 1
	}
	return n, end, err
}

// add checks the next line, without its end, and reports whether it ends the head.
func (h *Head) add(line []byte) (end bool, err error) {
	h.lines++
	name, _, isField := bytes.Cut(line, []byte(":"))
	switch {
	case h.lines == 1:
		version, status, _ := bytes.Cut(line, []byte(" "))
		h.http10 = string(version) == "HTTP/1.0"
		h.informational = bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
		if !bytes.HasPrefix(version, []byte("HTTP/")) {
			return false, fmt.Errorf("%w: first line %.40q", ErrInvalid, line)
		}
	case len(line) == 0:
		return true, h.checkFraming()
	case !isField || bytes.ContainsAny(name, " \t"):
		return false, fmt.Errorf("%w: line %.40q of its head", ErrInvalid, line)
	case bytes.EqualFold(name, []byte(headerLength)):
		h.length = true
	case bytes.EqualFold(name, []byte(headerCoding)):
		h.coding = true
	}
	return false, nil
}

// checkFraming returns an error if the head states two framings, or one that its version does not have (RFC 9112, section
// 6.1), or states a framing for an informational response, whose body would be read as the final response.
func (h *Head) checkFraming() error {
	switch {
	case h.informational && (h.coding || h.length):
		return fmt.Errorf("%w: an informational response with a body", ErrInvalid)
	case h.coding && h.length:
		return fmt.Errorf("%w: both a length and a transfer coding", ErrInvalid)
	case h.coding && h.http10:
		return fmt.Errorf("%w: a transfer coding in HTTP/1.0", ErrInvalid)
	}
	return nil
}
