package demo

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// readStreams reads several streams concurrently from the address of an instance or an
// engine. It returns the total number of tokens and bytes received.
func (f *Fleet) readStreams(tb testing.TB, address string, streams, round int) (tokens, size int) {
	tb.Helper()
	var total, bytes atomic.Int64
	var wg sync.WaitGroup
	for k := range streams {
		wg.Go(func() {
			body := fmt.Sprintf(`{"model":"dispatch-7b","prompt":"stream %d of round %d","stream":true,"max_tokens":1024}`, k, round)
			req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
			if err != nil {
				tb.Error(err)
				return
			}
			req.Header.Set("Authorization", "Bearer "+APIKey)
			req.Header.Set("X-Request-Id", fmt.Sprintf("%s/%d/%d", address, round, k))
			n, size, err := countEvents(req)
			if err != nil {
				tb.Error(err)
			}
			total.Add(int64(n))
			bytes.Add(int64(size))
		})
	}
	wg.Wait()
	return int(total.Load()), int(bytes.Load())
}

// countEvents sends a request for a stream and returns the number of its token events and
// of its bytes. The last data event carries no token and is not counted.
func countEvents(req *http.Request) (events, size int, err error) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, 0, fmt.Errorf("stream request: status = %d, want 200", resp.StatusCode)
	}
	events = -1
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		size += len(sc.Bytes()) + 1
		if strings.HasPrefix(sc.Text(), "data: {") {
			events++
		}
	}
	return events, size, sc.Err()
}
