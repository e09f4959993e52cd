package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// result is what a client has got.
type result struct {
	status     int
	seal       string
	body       string
	retryAfter string
	err        error
}

// send sends one client attempt on a new connection. The client waits for its deadline and half a second more.
func send(i *instance, method, path, id, apiKey, body string, deadline time.Duration) result {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	var payload io.Reader
	if body != "" {
		payload = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.callers+path, payload)
	if err != nil {
		return result{err: err}
	}
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if apiKey != "" {
		req.Header.Set("Credential", apiKey)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, seal: resp.Header.Get("Response-Seal"), retryAfter: resp.Header.Get("Retry-After"), body: string(raw), err: err}
}
