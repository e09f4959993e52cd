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

// upload returns a booking whose body takes longer to send than an instance buffers.
func upload(id string, k int) call {
	c := booking(id)
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
	f.countUploads(&whole) // an instance can't prove the end of the first response of a service without a length
	for _, size := range []int{700, 100 << 10} {
		text := signedOK + "\r\n" + strings.Repeat("p", size)
		for _, openFor := range []time.Duration{0, 20 * time.Millisecond} {
			for _, reset := range []bool{true, false} {
				kind := standin.RawResponse{Name: fmt.Sprintf("%d-%v-%v", size, openFor, reset), ReadFirst: 4 << 10, Text: text, OpenFor: openFor, Reset: reset}
				if n := f.countUploads(&kind); n > 0 {
					t.Errorf("%d bytes, reset %v after %v: %d of %d callers got a part of the body as a complete response, want none", size, reset, openFor, n, uploads)
				}
			}
		}
	}
	if n := f.countUploads(&whole); n < uploads {
		t.Errorf("%d of %d callers got the response that follows the upload, want all", n, uploads)
	}
}

// uploads is the number of uploads that are sent to one kind of response.
const uploads = 24

// countUploads sends uploads to upstreams that respond in one way, and returns how many of the callers got a complete
// success.
func (f *fixture) countUploads(kind *standin.RawResponse) (complete int) {
	setRaw(f.desk, kind)
	defer setRaw(f.desk, nil)
	results := make([]result, uploads)
	var all sync.WaitGroup
	for k := range uploads {
		all.Go(func() {
			results[k] = f.do(f.machines[k%hostedInstanceCount], upload(fmt.Sprintf("%s-%d", kind.Name, k), k))
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
