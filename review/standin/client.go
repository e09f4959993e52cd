package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// outcome is what a client saw of a request.
type outcome struct {
	id, kind, to string
	sent, ended  time.Time
	// status is 0 if the connection ended without a whole answer.
	status int
	whole  bool
	err    error
}

// clients send requests at a steady rate until they are stopped.
type clients struct {
	fleet []*instance
	stop  chan struct{}
	done  sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
}

// startClients starts a number of clients, each of which pauses between its requests, for pause on average.
func startClients(fleet []*instance, count int, pause time.Duration) *clients {
	c := &clients{fleet: fleet, stop: make(chan struct{})}
	for n := range count {
		c.done.Add(1)
		go c.run(n, pause)
	}
	return c
}

func (c *clients) run(n int, pause time.Duration) {
	defer c.done.Done()
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var addresses []string
	var resolvedAt time.Time
	for k := 0; ; k++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(pause))):
		}
		if time.Since(resolvedAt) > time.Second {
			if found := c.fleet[n%len(c.fleet)].resolve(); len(found) > 0 {
				addresses, resolvedAt = found, time.Now()
			}
		}
		if len(addresses) == 0 {
			continue
		}
		o := send(client, addresses[rand.IntN(len(addresses))], fmt.Sprintf("%04x%08x", n, k), k%4 == 3)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
	}
}

// send sends one request and reads its answer.
func send(client *http.Client, to, id string, safe bool) (o outcome) {
	o = outcome{id: id, kind: "unsafe", to: to, sent: time.Now()}
	defer func() { o.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	method, path, body := http.MethodPost, pathBook, io.Reader(strings.NewReader("booking "+id))
	if safe {
		o.kind, method, path, body = "safe", http.MethodGet, pathLook, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to+path+id, body)
	if err != nil {
		o.err = err
		return o
	}
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Credential", key)
	req.GetBody = nil // this client never sends a request twice by itself
	resp, err := client.Do(req)
	if err != nil {
		o.err = err
		return o
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		o.err = err
		return o
	}
	o.status, o.whole = resp.StatusCode, string(got) == answerBody(id)
	return o
}

// end stops the clients and returns what they saw.
func (c *clients) end() []outcome {
	close(c.stop)
	c.done.Wait()
	return c.outcomes
}
