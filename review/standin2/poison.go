package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// contact is contact_ms, and maxRetries the retries of a request that has crashed three workers, by the rules.
	contact    = 3 * time.Second
	maxRetries = 3
	// downtime is how long a worker is away after a crash.
	downtime = 2 * time.Second
	// repeatEvery is the interval at which the request comes again, and repeatFor for how long it does.
	repeatEvery = time.Second
	repeatFor   = 98 * time.Second
)

// poison runs the case of a request that crashes each worker that runs it and comes again for a minute and a half.
func poison(f *fleet, out *record, trouble bool) (broken bool, err error) {
	const bad = "refill order that crashes the worker"
	var mu sync.Mutex
	var crashes, reached []time.Time
	lost := 0
	handle := func(w *worker, c net.Conn, r *http.Request, body string) bool {
		id := r.Header.Get("Attempt-Id")
		if body != bad {
			time.Sleep(workTime)
			return answer(c, r, http.StatusOK, seal(r), "order of "+id)
		}
		now := time.Now()
		mu.Lock()
		reached = append(reached, now)
		mu.Unlock()
		if !trouble {
			time.Sleep(workTime)
			out.note("runs", "id", id, "worker", w.currentID())
			return answer(c, r, http.StatusOK, seal(r), "order of "+id)
		}
		time.Sleep(workTime / 3)
		mu.Lock()
		crashes = append(crashes, time.Now())
		n := len(crashes)
		mu.Unlock()
		out.note("crashes", "id", id, "worker", w.currentID(), "crash", n)
		w.crash(downtime)
		return false
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
	end := time.Now().Add(repeatFor)
	var others sync.WaitGroup
	others.Add(1)
	go func() { // the bookings of the other clients
		defer others.Done()
		for n := 0; time.Now().Before(end); n++ {
			id := fmt.Sprintf("%016x", 0xb000+n)
			go func() {
				got := send(f.list[n%len(f.list)], http.MethodPost, pathBooking+"b", id, key, "refill order "+id, 3*time.Second)
				if got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout || got.err != nil {
					mu.Lock()
					lost++
					mu.Unlock()
					out.note("booking_lost", "id", id, "status", got.status)
				}
			}()
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(time.Second)
	}()
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%016x", 0xdead0000+n)
		i := f.list[n%len(f.list)]
		out.note("sent", "id", id, "to", i.name)
		got := send(i, http.MethodPost, pathBooking+"b", id, key, bad, 3*time.Second)
		out.note("answered", "id", id, "status", got.status, "retry_after", got.retryAfter)
		time.Sleep(repeatEvery)
	}
	others.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range reached {
			if at.Sub(crashes[2]) > contact {
				late++
			}
		}
	}
	out.note("verdict", "crashes", len(crashes), "reached_workers_later_than_contact_after_third_crash", late, "allowed", maxRetries, "other_bookings_lost", lost)
	fmt.Printf("crashes %d, arrivals more than %v after the third crash %d (allowed %d), bookings of others lost %d\n", len(crashes), contact, late, maxRetries, lost)
	return late > maxRetries, nil
}
