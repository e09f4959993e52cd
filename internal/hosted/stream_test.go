package hosted_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// streamTry is one try of a caller to read a stream.
type streamTry struct {
	// instance is the number of the instance, path that of the route.
	instance int
	path     string
	// id is the id of the request; after and resumes name where it goes on, "" from the beginning.
	id, after, resumes string
	// key is the API key; "" is that of the configuration.
	key string
	// leaveAfter is the number of events after which the caller closes its connection; 0 never.
	leaveAfter int
}

// streamResult is what a caller got.
type streamResult struct {
	status int
	// reason is the reason of a refusal.
	reason string
	// last is the id of the last event, software the version that each event was made by.
	last     int
	software []string
	// whole is set if the stream ended as complete, gap if an event was missing or came twice.
	whole, gap bool
	took       time.Duration
}

// versions returns the different software versions of a stream's events.
func versions(software []string) map[string]bool {
	out := map[string]bool{}
	for _, v := range software {
		out[v] = true
	}
	return out
}

// read makes one try on a new connection.
func (f *fleetRig) read(s streamTry) (r streamResult) {
	began := time.Now()
	defer func() { r.took = time.Since(began) }()
	if s.id == "" {
		s.id = nextID()
	}
	if s.key == "" {
		s.key = hosting.Key
	}
	c, err := testkit.DialSlow(f.machines[s.instance].Callers)
	if err != nil {
		return r
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second)) // fails only on a closed connection
	if _, err := io.WriteString(c, s.request()); err != nil {
		return r
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return r
	}
	r.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body) // what arrived is compared with the expected reason
		r.reason = string(body)
		return r
	}
	r.last, _ = strconv.Atoi(s.after)
	r.readEvents(bufio.NewReader(resp.Body), c, s.leaveAfter)
	return r
}

func (s streamTry) request() string {
	headers := ""
	if s.after != "" {
		headers += "Last-Event-Id: " + s.after + "\r\n"
	}
	if s.resumes != "" {
		headers += "Resumes: " + s.resumes + "\r\n"
	}
	return "POST " + s.path + "x HTTP/1.1\r\nHost: " + hosting.Host + "\r\nCredential: " + s.key + "\r\nAttempt-Id: " + s.id +
		"\r\nDeadline-Ms: 6000\r\nToken-Counts: 300,400\r\n" + headers + "Content-Length: 18\r\n\r\n" + s.id + "{}"
}

// readEvents reads events until the stream ends or the caller leaves.
func (r *streamResult) readEvents(body *bufio.Reader, c net.Conn, leaveAfter int) {
	mark, events := "", 0
	for {
		line, err := body.ReadString('\n')
		if err != nil {
			r.whole = err == io.EOF && line == ""
			return
		}
		if v, ok := strings.CutPrefix(line, hosting.SoftwareMark); ok {
			mark = strings.TrimSpace(v)
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(id))
			r.gap = r.gap || n != r.last+1
			r.last = n
		}
		if line == "\n" {
			r.software = append(r.software, mark)
			if events++; events == leaveAfter {
				c.Close()
				return
			}
		}
	}
}

// String describes what went wrong with a stream.
func (r streamResult) String() string {
	return fmt.Sprintf("status %d %s, %d events, whole %v, gap %v, software %v, after %v", r.status, strings.TrimSpace(r.reason), len(r.software), r.whole, r.gap, versions(r.software), r.took.Round(time.Millisecond))
}
