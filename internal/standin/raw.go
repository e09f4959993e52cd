package standin

import (
	"fmt"
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

// InvalidStatuses returns responses with invalid statuses and versions. fields are the lines of the head of a valid response,
// and body is its body.
func InvalidStatuses(fields, body string) (list []RawResponse) {
	sound := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	for _, line := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 +20 Trouble", "HTTP/1.1 -00 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "",
	} {
		list = append(list,
			RawResponse{Name: line + ", with a body", Text: fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", line, fields, len(body), body)},
			RawResponse{Name: line + ", a response as its body", Text: fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", line, fields, len(sound), sound)},
			RawResponse{Name: line + ", without a length", Text: fmt.Sprintf("%s\r\n%s\r\n%s", line, fields, sound)},
		)
	}
	for _, framing := range []string{fmt.Sprintf("Content-Length: %d\r\n", len(sound)), "Transfer-Encoding: chunked\r\n"} {
		list = append(list, RawResponse{Name: "an informational response with " + framing, Text: "HTTP/1.1 199 Trouble\r\n" + fields + framing + "\r\n" + sound})
	}
	return list
}

// TruncatedHeads returns responses that end after each byte of their heads, with each framing of the body. fields are the
// lines of the head of a valid response.
func TruncatedHeads(fields string) (list []RawResponse) {
	for _, framing := range []string{"Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\n" + fields + framing + "\r\n"
		for n := range len(head) {
			list = append(list, RawResponse{Name: fmt.Sprintf("%d bytes of %q", n, head), Text: head[:n]})
		}
	}
	return list
}

// InvalidFields returns responses with an invalid line in their head, or with several framings. fields are the lines of the
// head of a valid response, and body is its body.
func InvalidFields(fields, body string) (list []RawResponse) {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	for _, name := range []string{
		"X Trouble", "X-Trouble ", " X-Trouble", "\tX-Trouble", "X\tTrouble", "X-Trouble\t", "X\x00Trouble", "X\x01Trouble", "X\rTrouble", "X\x7fTrouble", "X\x80Trouble", "", " ",
		"X(Trouble", "X\"Trouble", "X/Trouble", "X\vTrouble", "\rX-Trouble",
	} {
		list = append(
			list,
			RawResponse{Name: fmt.Sprintf("field %q first", name), Text: "HTTP/1.1 200 OK\r\n" + name + ": 1\r\n" + fields + length + "\r\n" + body},
			RawResponse{Name: fmt.Sprintf("field %q last", name), Text: "HTTP/1.1 200 OK\r\n" + fields + length + name + ": 1\r\n\r\n" + body},
		)
	}
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	for _, line := range []string{"Content-Length : 50", "Content Length: 50", " Content-Length: 50", "\tContent-Length: 50", "Content-Length\t: 50", "Content-Length"} {
		list = append(list, RawResponse{Name: fmt.Sprintf("%q", line), Text: "HTTP/1.1 200 OK\r\n" + fields + line + "\r\n\r\n" + body})
	}
	for _, line := range []string{"Transfer-Encoding : chunked", "Transfer Encoding: chunked", " Transfer-Encoding: chunked", fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d", len(chunked))} {
		list = append(list, RawResponse{Name: fmt.Sprintf("%q", line), Text: "HTTP/1.1 200 OK\r\n" + fields + line + "\r\n\r\n" + chunked})
	}
	for _, line := range []string{"Transfer-Encoding: chunked\r\n", fmt.Sprintf("transfer-encoding: chunked\r\nContent-Length: %d\r\n", len(chunked))} {
		list = append(list, RawResponse{Name: "HTTP/1.0 with " + line, Text: "HTTP/1.0 200 OK\r\n" + fields + line + "\r\n" + chunked})
	}
	return append(
		list,
		RawResponse{Name: "two lengths", Text: "HTTP/1.1 200 OK\r\n" + fields + length + "Content-Length: 5\r\n\r\n" + body},
		RawResponse{Name: "a control byte in a value", Text: "HTTP/1.1 200 OK\r\n" + fields + length + "X-Trouble: \x01\r\n\r\n" + body},
		RawResponse{Name: "a blank in a name of an informational response", Text: "HTTP/1.1 103 Early Hints\r\nX Trouble: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + length + "\r\n" + body},
	)
}
