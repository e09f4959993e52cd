package proctest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/standin"
	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// signedOK begins the head of a success; @ stands for the id of the request.
const signedOK = "HTTP/1.1 200 OK\r\nAttempt-Id: @\r\nResponse-Seal: seal-@\r\n"

// setRaw sets what some upstreams send to all requests of callers.
func setRaw(list []*hosting.Worker, a *standin.RawResponse) {
	for _, k := range list {
		k.SetRaw(a)
	}
}

// upload returns a request whose body is longer than an instance buffers, and takes a while to send.
func upload(c call, k int) call {
	c.body, c.chunked, c.sendOver = strings.Repeat("x", 960<<10), k%2 == 1, 120*time.Millisecond
	return c
}

// Upstreams respond to uploads before they have read them, without a length, and reset the connections within their
// bodies. The callers must not get the part that arrived as a complete response. One that follows the whole upload ends
// with its connection.
func TestHostedEarlyResponsesThatAreReset(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	whole := standin.RawResponse{Name: "whole", ReadFirst: standin.ReadAll, Text: signedOK + "\r\nthe whole body"}
	f.countUploads(&whole, f.desk, booking) // an instance can't prove the end of the first response of a service without a length
	for _, size := range []int{700, 100 << 10} {
		text := signedOK + "\r\n" + strings.Repeat("p", size)
		for _, openFor := range []time.Duration{0, 20 * time.Millisecond} {
			for _, reset := range []bool{true, false} {
				kind := standin.RawResponse{Name: fmt.Sprintf("%d-%v-%v", size, openFor, reset), ReadFirst: 4 << 10, Text: text, OpenFor: openFor, Reset: reset}
				if n := f.countUploads(&kind, f.desk, booking); n > 0 {
					t.Errorf("%d bytes, reset %v after %v: %d of %d callers got a part of the body as a complete response, want none", size, reset, openFor, n, uploads)
				}
			}
		}
	}
	if n := f.countUploads(&whole, f.desk, booking); n < uploads {
		t.Errorf("%d of %d callers got the response that follows the upload, want all", n, uploads)
	}
	kind := standin.RawResponse{Name: "stream", ReadFirst: 4 << 10, Text: signedOK + "\r\n" + hosting.Event("@", 1) + hosting.Event("@", 2), OpenFor: 20 * time.Millisecond, Reset: true}
	if n := f.countUploads(&kind, f.pool, generation); n > 0 {
		t.Errorf("%d of %d callers got a part of a stream as a complete one, want none", n, uploads)
	}
}

// uploads is the number of uploads that are sent to one kind of response.
const uploads = 24

// countUploads sends uploads to upstreams that respond in one way, and returns how many of the callers got a complete
// success.
func (f *fixture) countUploads(kind *standin.RawResponse, to []*hosting.Worker, request func(id string) call) (complete int) {
	setRaw(to, kind)
	defer setRaw(to, nil)
	results := make([]result, uploads)
	var all sync.WaitGroup
	for k := range uploads {
		all.Go(func() {
			results[k] = f.do(f.machines[k%hostedInstanceCount], upload(request(fmt.Sprintf("%s-%d", kind.Name, k)), k))
		})
		time.Sleep(5 * time.Millisecond)
	}
	all.Wait()
	for _, r := range results {
		if r.status == http.StatusOK && !r.truncated {
			complete++
		}
	}
	return complete
}

// signedFields are the lines of the head of a signed response but the first; @ stands for the id of the request.
const signedFields = "Attempt-Id: @\r\nResponse-Seal: seal-@\r\n"

// checkInvalid makes all upstreams, and then one of three, send invalid responses. No caller may get any of them, and
// look-ups must be served by the sound upstreams.
func checkInvalid(t *testing.T, f *fixture, kinds []standin.RawResponse) {
	t.Helper()
	for n, kind := range kinds {
		setRaw(f.desk, &kind)
		setRaw(f.pool, &kind)
		for k, c := range []call{lookUp(fmt.Sprintf("none-%d", n)), generation(fmt.Sprintf("draft-%d", n))} {
			c.timeout = 3 * time.Second
			r := f.do(f.machines[k], c)
			if r.err == nil && (r.status != http.StatusBadGateway || r.header.Get("Response-Seal") != "") {
				t.Errorf("%q: the caller got status %d, %d bytes, header %v; want 502 without the upstream's signature", kind.Name, r.status, len(r.body), r.header)
			}
		}
		setRaw(f.pool, nil)
		setRaw(f.desk[1:], nil)
		for k := range 3 {
			id := fmt.Sprintf("sound-%d-%d", n, k)
			r := f.do(f.machines[k], lookUp(id))
			if r.status != http.StatusOK || r.truncated || !strings.HasPrefix(r.body, hosting.Body(id, "")) {
				t.Errorf("%q: status %d, body %q, error %v; want the response of a sound upstream", kind.Name, r.status, r.body, r.err)
			}
		}
		setRaw(f.desk, nil)
	}
}

// Upstreams send invalid statuses, or 101, which no request asks for. A caller must get neither the status nor, as the
// response to its request, what follows the head.
func TestHostedInvalidStatuses(t *testing.T) {
	t.Parallel()
	checkInvalid(t, newFixture(t), standin.InvalidStatuses(signedFields, hosting.Event("@", 1)))
}

// Upstreams send heads in which the name of a field contains whitespace or a control byte, or which state the framing of the
// body twice. A parser that ignores the field would give the caller another body than the upstream's, or a part of it.
func TestHostedInvalidFields(t *testing.T) {
	t.Parallel()
	checkInvalid(t, newFixture(t), standin.InvalidFields(signedFields, hosting.Event("@", 1)))
}

// Upstreams close their connections within the heads of their responses. A caller must not get a success with an empty body.
func TestHostedTruncatedHeads(t *testing.T) {
	t.Parallel()
	var kinds []standin.RawResponse
	for k, kind := range standin.TruncatedHeads(signedFields) {
		if k%5 == 0 || strings.HasSuffix(kind.Text, "\r\n\r") {
			kinds = append(kinds, kind)
		}
	}
	checkInvalid(t, newFixture(t), kinds)
}
