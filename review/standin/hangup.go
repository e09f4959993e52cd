package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Times of the case. The work is the longest of the kind of request.
const (
	longWork     = 450 * time.Millisecond
	bookings     = 12
	beforeTerm   = 150 * time.Millisecond
	beforeHangup = 100 * time.Millisecond
)

// playHangup stops a process, and tells it a moment later that its settings file has changed. It checks that
// no request is lost that the process has passed on to a server.
func playHangup(t *trial) (int, error) {
	s, err := startStore(t.network + ".1")
	if err != nil {
		return notRun, err
	}
	defer s.server.Close()
	s.put("op", "config", config())
	var desk []*worker
	for k := range 3 {
		w, err := startWorker(s, t.network+".2", fmt.Sprintf("i-desk-%d", k+1), "order-desk", zone, longWork)
		if err != nil {
			return notRun, err
		}
		defer w.exit()
		desk = append(desk, w)
	}
	if t.fleet, err = startFleet(t.dir, s.address, t.network, 3); err != nil {
		return notRun, err
	}
	t.say("3 processes of the system are ready; 3 servers of order-desk")
	time.Sleep(5 * time.Second)
	stopped := t.fleet[0]
	var mu sync.Mutex
	var seen []outcome
	var done sync.WaitGroup
	for k := range bookings {
		done.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
			o := send(client, stopped.callers, fmt.Sprintf("%016x", 0x5a000000+k), false)
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, o)
		})
	}
	t.say("%d bookings are sent to %s", bookings, stopped.name)
	time.Sleep(beforeTerm)
	if err := stopped.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return notRun, err
	}
	terminated := time.Now()
	t.say("%s gets SIGTERM", stopped.name)
	if t.trouble {
		time.Sleep(beforeHangup)
		if err := addSetting(stopped.settings); err != nil {
			return notRun, err
		}
		if err := stopped.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return notRun, err
		}
		t.say("the settings file of %s has a new field; it gets SIGHUP", stopped.name)
	}
	err = stopped.cmd.Wait()
	t.say("%s ended %s after SIGTERM: %v", stopped.name, round(time.Since(terminated)), stopped.cmd.ProcessState)
	done.Wait()
	time.Sleep(time.Second)
	return t.judgeHangup(desk, seen), nil
}

// addSetting adds a field to a settings file that processes ignore.
func addSetting(path string) error {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.WriteString("later_field: 1\n")
	return err
}

func (t *trial) judgeHangup(desk []*worker, seen []outcome) int {
	t.list(seen, desk)
	ran := map[string]arrival{}
	for _, w := range desk {
		for _, a := range w.list() {
			ran[a.id] = a
		}
	}
	lost := 0
	for _, o := range seen {
		a, passedOn := ran[o.id]
		t.say("%s sent at %s: passed on to %q, ran: %v; the client got %d (%v) at %s", o.id, t.at(o.sent), a.server, a.ran, o.status, o.err, t.at(o.ended))
		if passedOn && o.status == 0 {
			lost++
		}
	}
	t.say("%d of %d requests were passed on to a server, and their connections ended without an answer", lost, len(seen))
	if lost > 0 {
		return broken
	}
	return held
}
