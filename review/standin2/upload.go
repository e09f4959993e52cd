package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// journalRecords is the number of records in an upload. All are in one chunk.
	journalRecords = 1200
	// writeEvery is the pause after recordsPerWrite records. An upload takes less than half of the route's time.
	writeEvery      = 400 * time.Microsecond
	recordsPerWrite = 2
	// uploaders is the number of clients that upload journals one after the other, for uploadFor, with pauses of up
	// to maxPause.
	uploaders = 24
	uploadFor = 75 * time.Second
	maxPause  = 400 * time.Millisecond
	// uploadWorkers is the number of workers, of which one crashes every crashEvery and is back after crashFor.
	uploadWorkers = 7
	crashEvery    = 12 * time.Second
	crashFor      = 4500 * time.Millisecond
)

// upload runs the case of workers that crash while clients upload long bodies that hold recorded requests.
func upload(f *fleet, out *record, trouble bool) (broken bool, err error) {
	var mu sync.Mutex
	sent := map[string]bool{}
	crashes, ran, unasked, uploads, failed := 0, 0, 0, 0, 0
	serve := func(w *worker, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil || req.Header.Get("Expect-Instance") != w.currentID() {
				return
			}
			id := req.Header.Get("Attempt-Id")
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			mu.Lock()
			ran++
			known := sent[id]
			if !known {
				unasked++
			}
			mu.Unlock()
			if !known || req.ContentLength < 0 {
				out.note("runs", "id", id, "worker", w.currentID(), "method", req.Method, "path", req.RequestURI, "sent_by_a_client", known)
			}
			time.Sleep(workTime / 4)
			if !answer(c, req, http.StatusOK, seal(req), "done "+id) {
				return
			}
		}
	}
	var workers []*worker
	for k := range uploadWorkers {
		w := &worker{table: f.table, name: fmt.Sprintf("desk%d", k), address: "127.0.0.1:0", serves: serve}
		if err := w.open(); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	f.configure()
	if err := f.start(3); err != nil {
		return false, err
	}
	note := func(id string) {
		mu.Lock()
		defer mu.Unlock()
		sent[id] = true
	}
	end := time.Now().Add(uploadFor)
	var all sync.WaitGroup
	if trouble {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := 0; time.Now().Add(crashEvery).Before(end); n++ {
				time.Sleep(crashEvery)
				w := workers[n%len(workers)]
				out.note("crashes", "worker", w.currentID(), "for_s", crashFor.Seconds())
				w.crash(crashFor)
				crashes++
			}
		}()
	}
	for k := range 4 { // the bookings of other clients
		all.Add(1)
		go func() {
			defer all.Done()
			for n := k; time.Now().Before(end); n += 4 {
				id := fmt.Sprintf("b0%014x", n)
				note(id)
				send(f.list[(n/4)%len(f.list)], http.MethodPost, pathBooking+"b", id, key, "refill order "+id, 3*time.Second)
				time.Sleep(40 * time.Millisecond)
			}
		}()
	}
	for k := range uploaders {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := k; time.Now().Before(end); n += uploaders {
				time.Sleep(rand.N(maxPause))
				id := fmt.Sprintf("e0%014x", n)
				note(id)
				i := f.list[n%len(f.list)]
				status, err := uploadJournal(i, id, n)
				out.note("answered", "id", id, "by", i.name, "status", status, "error", fmt.Sprint(err))
				mu.Lock()
				uploads++
				if status != http.StatusOK {
					failed++
				}
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	out.note("verdict", "crashes", crashes, "uploads", uploads, "uploads_that_failed", failed, "run_by_workers", ran, "run_and_sent_by_no_client", unasked)
	fmt.Printf("%d workers crashed and %d of %d uploads failed; workers ran %d requests, of which no client had sent %d\n", crashes, failed, uploads, ran, unasked)
	return unasked > 0, nil
}

// journalRecord is a record of a journal: a request as the client had written it on an earlier day.
func journalRecord(journal, n int) string {
	return fmt.Sprintf("POST %sb HTTP/1.1\r\nHost: %s\r\nAttempt-Id: 01d%05x%08x\r\nDeadline-Ms: 3000\r\nCredential: %s\r\nContent-Length: 0\r\n\r\n", pathBooking, host, journal, n, key)
}

// uploadJournal sends a journal as the body of one request, record by record, on a new connection. It returns the
// status that it gets, 0 if it gets none.
func uploadJournal(i *instance, id string, journal int) (status int, err error) {
	c, err := net.Dial("tcp", i.callers)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second)) // fails only on a closed connection
	_, err = fmt.Fprintf(c, "POST %sjournal HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nCredential: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n",
		pathBooking, host, id, key, journalRecords*len(journalRecord(journal, 0)))
	for n := 0; n < journalRecords && err == nil; n++ {
		_, err = io.WriteString(c, journalRecord(journal, n))
		if n%recordsPerWrite == 0 {
			time.Sleep(writeEvery)
		}
	}
	if err == nil {
		_, err = io.WriteString(c, "\r\n0\r\n\r\n")
	}
	resp, readErr := http.ReadResponse(bufio.NewReader(c), nil)
	if readErr != nil {
		return 0, errors.Join(err, readErr)
	}
	resp.Body.Close()
	return resp.StatusCode, err
}
