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

// Head checks the lines of a head that net/http does not report: it joins a line that begins with a blank to the one
// before, accepts names with blanks, and drops Transfer-Encoding from a response of HTTP/1.0 and the length beside it from
// others. With such a line, what frames the body is not certain. The zero value is ready for the first line.
type Head struct {
	lines int
	// http10 is set for a response of HTTP/1.0, and length and coding if it states a length or a transfer coding.
	http10, length, coding bool
}

// Add checks the next line, without its end, and reports whether it ends the head. The error wraps ErrInvalid.
func (h *Head) Add(line []byte) (end bool, err error) {
	h.lines++
	name, _, isField := bytes.Cut(line, []byte(":"))
	switch {
	case h.lines == 1:
		h.http10 = bytes.HasPrefix(line, []byte("HTTP/1.0 "))
		if !bytes.HasPrefix(line, []byte("HTTP/")) {
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

// checkFraming returns an error if the head states the end of the body in two ways, or in one that its version does not
// have (RFC 9112, section 6.1).
func (h *Head) checkFraming() error {
	switch {
	case h.coding && h.length:
		return fmt.Errorf("%w: both a length and a transfer coding", ErrInvalid)
	case h.coding && h.http10:
		return fmt.Errorf("%w: a transfer coding in HTTP/1.0", ErrInvalid)
	}
	return nil
}
