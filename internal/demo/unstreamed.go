package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"mulberrylug.example/mulberrylug/client"
)

// unstreamedClient opens a new connection for each request, because a pooled connection
// may be dead after a fault.
var unstreamedClient = &http.Client{Transport: &http.Transport{
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true,
}}

// unstreamedTimeout is the maximum duration of one request that is not streamed, with its
// retries. Only this timeout detects a silent connection, because a response that is not
// streamed carries no keep-alives.
const unstreamedTimeout = 12 * time.Second

// generateUnstreamed requests a generation that is not streamed, with a plain HTTP client.
// If a refusal names a time for a retry, it retries at most maxRetries times.
func generateUnstreamed(ctx context.Context, seeds []string, j job) result {
	ctx, cancel := context.WithTimeout(ctx, unstreamedTimeout)
	defer cancel()
	a := result{prompt: promptOf(ample, j)}
	for try := 0; ; try++ {
		wait := requestUnstreamed(ctx, seeds[rand.IntN(len(seeds))], &a)
		if a.outcome != client.NotRun || wait == 0 || try >= maxRetries {
			return a
		}
		select {
		case <-ctx.Done():
			return a
		case <-time.After(wait):
		}
	}
}

// requestUnstreamed sends one request and stores its result in a. It returns the time after
// which a retry is permitted, or 0 if the response names none.
func requestUnstreamed(ctx context.Context, address string, a *result) time.Duration {
	body, err := json.Marshal(client.Completion{Model: model, Prompt: a.prompt})
	if err != nil { // a struct of strings and numbers always encodes
		panic(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil { // the addresses come from the fleet and are valid
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+ample.key)
	resp, err := unstreamedClient.Do(req)
	if err != nil {
		a.outcome, a.reason = client.Unknown, "connection_lost"
		return 0
	}
	defer resp.Body.Close()
	var got struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Reason     string  `json:"reason"`
		RetryAfter float64 `json:"retry_after_seconds"`
	}
	a.outcome, a.request = client.Outcome(resp.Header.Get("X-Outcome")), resp.Header.Get("X-Request-Id")
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		a.outcome, a.reason = client.Unknown, fmt.Sprintf("unreadable_answer: %v", err)
		return 0
	}
	a.reason = got.Reason
	if len(got.Choices) > 0 {
		a.text = got.Choices[0].Text
	}
	return time.Duration(got.RetryAfter * float64(time.Second))
}
