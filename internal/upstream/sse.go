package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"mulberrylug.example/mulberrylug/internal/core"
)

// maxLine is the maximum size of a line of a stream, in bytes.
const maxLine = 1 << 20

// errTruncated means that the stream stopped before its final event.
var errTruncated = errors.New("stream truncated: no final event received")

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// streamEvent holds the fields used here of an event in an engine's stream.
type streamEvent struct {
	Index   int `json:"index"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// readStream reports the stream's tokens and its end to the core. It returns errTruncated if the
// stream stops before its final event.
func (c *call) readStream(body io.Reader) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		line := sc.Bytes()
		if bytes.HasPrefix(line, []byte(":")) {
			c.sink(core.UpstreamAlive{Request: c.d.Request, Attempt: c.d.Attempt, Link: c.d.Link})
			continue
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok || bytes.Equal(data, doneMarker) {
			continue
		}
		ended, err := c.onData(data)
		if ended || err != nil {
			return err
		}
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("read stream of %s: %w", c.d.Upstream, err)
	}
	return errTruncated
}

// onData reports the token or the end that an event's data contains. ended is true for the final
// event.
func (c *call) onData(data []byte) (ended bool, err error) {
	var ev streamEvent
	if err := json.Unmarshal(data, &ev); err != nil || len(ev.Choices) == 0 {
		return false, fmt.Errorf("decode stream of %s: %q: %w", c.d.Upstream, data, err)
	}
	ch := ev.Choices[0]
	if ch.FinishReason != "" && ev.Usage != nil {
		c.sink(core.UpstreamEnd{
			Request: c.d.Request, Attempt: c.d.Attempt, Link: c.d.Link, Boot: c.boot, Tokens: ev.Usage.CompletionTokens, Reason: ch.FinishReason,
		})
		return true, nil
	}
	c.sink(core.UpstreamToken{
		Request: c.d.Request, Attempt: c.d.Attempt, Link: c.d.Link, Boot: c.boot, Index: ev.Index, Text: ch.Text + ch.Delta.Content,
	})
	return false, nil
}
