package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// listBytes is the size in bytes of an answer, and brokenAfter how much of one a worker sends that breaks it off.
	listBytes   = 200 << 10
	brokenAfter = 120 << 10
	// chunkBytes is the size in bytes of the chunks in which answers are sent.
	chunkBytes = 8 << 10
	// readers is the number of clients that send requests one after the other, for readFor. One of three workers
	// breaks off breakShare of its answers for breakFor, once in breakEvery.
	readers    = 8
	readFor    = 42 * time.Second
	breakShare = 0.018
	breakEvery = 14 * time.Second
	breakFor   = 6 * time.Second
)

// stockList is the answer of a worker to a request. Each line names the worker.
func stockList(id, worker string) string {
	line := fmt.Sprintf("stock list for %s by %s\n", id, worker)
	return strings.Repeat(line, listBytes/len(line)+1)[:listBytes]
}

// large runs the case of a worker that breaks off some of its long answers to requests that may be repeated.
func large(f *fleet, out *record, trouble bool) (broken bool, err error) {
	var mu sync.Mutex
	answers := map[string][]string{} // what workers answered, by request
	var began time.Time
	handle := func(w *worker, c net.Conn, r *http.Request, _ string) bool {
		id, name := r.Header.Get("Attempt-Id"), w.currentID()
		body, breaks := stockList(id, name), false
		mu.Lock()
		if trouble && w.name == "desk0" && time.Since(began)%breakEvery > breakEvery-breakFor {
			breaks = rand.Float64() < breakShare
		}
		answers[id] = append(answers[id], body)
		mu.Unlock()
		out.note("runs", "id", id, "worker", name, "breaks_off", breaks)
		time.Sleep(workTime / 2)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", id, seal(r)); err != nil {
			return false
		}
		if breaks {
			sendChunks(c, body[:brokenAfter])
			time.Sleep(20 * time.Millisecond) // what was sent has arrived
			_ = c.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
			return false                      // the connection is reset
		}
		return sendChunks(c, body) && sendEnd(c)
	}
	for k := range 3 {
		if _, err := startWorker(f.table, fmt.Sprintf("desk%d", k), handle); err != nil {
			return false, err
		}
	}
	f.configure()
	if err := f.start(3); err != nil {
		return false, err
	}
	mu.Lock()
	began = time.Now()
	mu.Unlock()
	whole, failed, mixed := 0, 0, 0
	end := time.Now().Add(readFor)
	var all sync.WaitGroup
	for k := range readers {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := k; time.Now().Before(end); n += readers {
				id := fmt.Sprintf("c0%014x", n)
				i := f.list[n%len(f.list)]
				got := send(i, http.MethodGet, pathLookUp+"list?n="+id, id, key, "", 3*time.Second)
				body := "whole"
				mu.Lock()
				switch {
				case got.err != nil || got.status != http.StatusOK:
					body = "none"
					failed++
				case slices.Contains(answers[id], got.body):
					whole++
				default:
					body = "of no worker"
					mixed++
				}
				delete(answers, id)
				mu.Unlock()
				out.note("answered", "id", id, "by", i.name, "status", got.status, "seal", got.seal, "bytes", len(got.body), "body", body,
					"lines_of", authors(got.body), "error", fmt.Sprint(got.err))
			}
		}()
	}
	all.Wait()
	out.note("verdict", "whole", whole, "failed", failed, "complete_answers_that_no_worker_gave", mixed)
	fmt.Printf("%d answers were whole, %d failed, %d looked complete and are the answer of no worker\n", whole, failed, mixed)
	return mixed > 0, nil
}

// sendChunks sends a part of a body in chunks and reports whether that succeeded.
func sendChunks(c net.Conn, body string) bool {
	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", n, body[:n]); err != nil {
			return false
		}
		body = body[n:]
	}
	return true
}

// sendEnd sends the end of a body in chunks and reports whether that succeeded.
func sendEnd(c net.Conn) bool {
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}

// authors lists the workers that the lines of a body name, in order.
func authors(body string) (by []string) {
	for line := range strings.Lines(body) {
		_, worker, ok := strings.Cut(line, " by ")
		if worker = strings.TrimSpace(worker); ok && (len(by) == 0 || by[len(by)-1] != worker) {
			by = append(by, worker)
		}
	}
	return by
}
