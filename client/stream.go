package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Completion is a request for a generation.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
}

// Result describes a generation that has ended, completely or early.
type Result struct {
	RequestID string
	// Tokens is the number of tokens received, Text their text.
	Tokens int
	Text   string
	// Resumes is the number of times that the stream was resumed after an
	// interruption.
	Resumes int
	// Sends is the number of requests sent for this generation that may have
	// begun to run. It is above 1 only if a connection broke after the request
	// was sent and before the first token arrived; the earlier request may be
	// charged as well.
	Sends int
}

const (
	// resumeTries is the maximum number of consecutive retries without
	// progress, i.e. without a new token, after connections that broke.
	resumeTries = 6
	// sendsMax is the maximum number of times that a request is sent if each
	// connection breaks before the first token. It is low since each of the
	// requests may have begun to run.
	sendsMax = 2
	// baseBackoff and maxBackoff limit the backoff, which has full jitter.
	baseBackoff = 100 * time.Millisecond
	maxBackoff  = 2 * time.Second
	// reasonLost is the reason for a request whose connection broke and that
	// could not be completed on another.
	reasonLost = "connection_lost"
)

// Stream runs a generation and calls token with the text of each token, exactly
// once and in order. It returns a *Problem for every outcome but Done. After a
// refusal it retries only a request that did not run, after the RetryAfter of
// the refusal. The instances retry everything else that is safe to retry.
func (c *Client) Stream(ctx context.Context, req Completion, token func(text string)) (Result, error) {
	req.Stream = true
	body, err := json.Marshal(req)
	if err != nil {
		return Result{}, fmt.Errorf("encode completion: %w", err)
	}
	for try := 0; ; try++ {
		s := &stream{c: c, token: token}
		err = s.run(ctx, body)
		var p *Problem
		if !errors.As(err, &p) || p.Outcome != NotRun || p.RetryAfter == 0 || try >= c.opts.Retries {
			return s.result, err
		}
		if err := pause(ctx, p.RetryAfter); err != nil {
			return s.result, err
		}
	}
}

// stream is one generation in progress.
type stream struct {
	c     *Client
	token func(string)
	// lastID is the event id of the last token, empty before the first token.
	lastID string
	result Result
	text   strings.Builder
}

var (
	// errInterrupted means that the connection ended before the last event, or
	// that an event was incomplete or out of order.
	errInterrupted = errors.New("stream interrupted")
	// errNotSent means that no connection was established, so that the request
	// was not sent.
	errNotSent = errors.New("could not connect")
)

// run sends the request, and resumes or resends it after interruptions, until
// it ends or the limits on retries are reached.
func (s *stream) run(ctx context.Context, body []byte) error {
	failures := 0
	for {
		before := s.result.Tokens
		err := s.connect(ctx, body)
		s.result.Text = s.text.String()
		if err = s.reconcile(err); err == nil || !errors.Is(err, errInterrupted) {
			return err
		}
		if s.result.Tokens > before {
			failures = 0
		}
		failures++
		if ctx.Err() != nil || failures > resumeTries || s.lastID == "" && s.result.Sends >= sendsMax {
			return s.connectionLost()
		}
		if s.lastID != "" {
			s.result.Resumes++
		}
		if err := pause(ctx, backoff(failures)); err != nil {
			return s.connectionLost()
		}
	}
}

// reconcile changes the outcome of a refusal to take into account earlier
// requests, which may have run. A refusal reports only on the last HTTP request,
// not on the generation.
func (s *stream) reconcile(err error) error {
	var p *Problem
	if !errors.As(err, &p) || p.Outcome != NotRun && p.Outcome != Unknown {
		return err
	}
	if s.lastID != "" {
		return resumeRefused(p)
	}
	if s.result.Sends > 0 {
		p.Outcome = Unknown // an earlier request was interrupted and may have run
	}
	return p
}

// resumeRefused returns the error for a refused resume: errInterrupted, after
// which the resume is retried, if the refusal has a RetryAfter, otherwise a
// Partial outcome. The request is not sent as a new one, since that would mix
// the tokens of two generations.
func resumeRefused(p *Problem) error {
	if p.RetryAfter > 0 {
		return fmt.Errorf("%w: %w", errInterrupted, p)
	}
	p.Outcome = Partial
	return p
}

// connectionLost returns the problem for a stream whose connection broke and
// that is not resumed again.
func (s *stream) connectionLost() error {
	p := &Problem{Outcome: Unknown, Reason: reasonLost, Step: "stream", RequestID: s.result.RequestID}
	switch {
	case s.result.Tokens > 0:
		p.Outcome = Partial
	case s.result.Sends == 0:
		p.Outcome = NotRun
	}
	return p
}

// backoff returns the pause after n failures: random up to a limit that doubles
// with each failure (exponential backoff with full jitter).
func backoff(n int) time.Duration {
	limit := min(baseBackoff<<min(n, 10), maxBackoff)
	return rand.N(limit) + 1
}

// connect makes one connection to an entry: it sends the request, or resumes
// the stream after the last token received, and reads events until the
// connection or the stream ends.
func (s *stream) connect(ctx context.Context, body []byte) error {
	address, err := s.c.pickEntry(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A connection can stop delivering data for good while new ones work.
	// Keep-alives arrive every second, so a connection without data is closed
	// and the stream resumed on a new one.
	idleTimer := time.AfterFunc(2*idleTimeout, cancel)
	defer idleTimer.Stop()
	resp, err := s.send(ctx, address, body)
	if s.lastID == "" && !errors.Is(err, errNotSent) {
		s.result.Sends++
	}
	if err != nil {
		s.c.avoid(address)
		return fmt.Errorf("%w: %w", errInterrupted, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		p := readProblem(resp)
		if s.lastID == "" && p.Outcome == NotRun {
			s.result.Sends--
		}
		return p
	}
	s.result.RequestID = resp.Header.Get("X-Request-Id")
	err = s.read(resp, func() { idleTimer.Reset(idleTimeout) })
	if errors.Is(err, errInterrupted) {
		s.c.avoid(address)
	}
	return err
}

// send sends the request, or the request to resume if a token was received.
func (s *stream) send(ctx context.Context, address string, body []byte) (*http.Response, error) {
	method, path := http.MethodPost, "/v1/completions"
	if s.lastID != "" {
		method, path, body = http.MethodGet, "/v1/stream", nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // prevents net/http from resending the request
	s.c.authorize(req)
	if s.lastID != "" {
		req.Header.Set("Last-Event-ID", s.lastID)
	}
	resp, err := s.c.http.Do(req)
	if isDialError(err) {
		err = fmt.Errorf("%w: %w", errNotSent, err)
	}
	return resp, err
}

// isDialError reports whether err is a failure to establish a connection.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// read handles events up to the last one, "end". It calls onData for each line,
// keep-alives included.
func (s *stream) read(resp *http.Response, onData func()) error {
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(nil, 1<<20)
	var id, event string
	for sc.Scan() {
		onData()
		line := sc.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "event: "):
			event = line[len("event: "):]
		case strings.HasPrefix(line, "data: "):
			if event == "end" {
				return s.onEnd(line[len("data: "):])
			}
			if err := s.onToken(id, line[len("data: "):]); err != nil {
				return err
			}
		}
	}
	return errInterrupted
}

// onToken handles a token event. It ignores a token that was received before
// and returns errInterrupted if a token is missing before this one.
func (s *stream) onToken(id, data string) error {
	var ev struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &ev) != nil || len(ev.Choices) == 0 {
		return errInterrupted // incomplete line
	}
	index, err := strconv.Atoi(id[strings.LastIndexByte(id, '.')+1:])
	switch {
	case err != nil || index > s.result.Tokens:
		return errInterrupted
	case index < s.result.Tokens:
		return nil
	}
	s.lastID = id
	s.result.Tokens++
	s.text.WriteString(ev.Choices[0].Text)
	if s.token != nil {
		s.token(ev.Choices[0].Text)
	}
	return nil
}

// onEnd handles the last event, which carries the outcome.
func (s *stream) onEnd(data string) error {
	var w wireProblem
	if json.Unmarshal([]byte(data), &w) != nil {
		return errInterrupted
	}
	if w.Outcome == Done {
		return nil
	}
	return w.problem(0)
}
