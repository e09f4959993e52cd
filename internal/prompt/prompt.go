// Package prompt parses the parts of a completion request that placement uses:
// the model, the length and the prefix hashes of the prompt, and the maximum
// number of output tokens.
package prompt

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the usual rule of thumb for estimating the length of a
	// prompt in tokens.
	bytesPerToken = 4
	// blockBytes is the size of a block of the prompt in Request.Prefix.
	blockBytes = 64 * bytesPerToken
	// maxBlocks is the maximum number of hashes in Request.Prefix.
	maxBlocks = 32
)

// Errors for an invalid request body.
var (
	ErrNoPrompt  = errors.New("prompt: must be set, or messages")
	ErrNoModel   = errors.New("model: must be set")
	ErrMaxTokens = errors.New("max_tokens: must not be negative")
)

// Request is a parsed completion request.
type Request struct {
	Model string
	// Text is the prompt followed by the messages, each as "role: content".
	Text   string
	Stream bool
	// MaxTokens is the maximum number of output tokens, or 0 if not set.
	MaxTokens int
	// Tokens is the estimated length of Text in tokens.
	Tokens int
	// Prefix holds a hash for each complete block of Text, at most maxBlocks.
	// Each hash covers its block and all blocks before it, so that prompts with
	// the same beginning have the same first hashes.
	Prefix []uint64
}

// wire is the JSON form of a completion request.
type wire struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Parse parses the body of a request to /v1/completions or
// /v1/chat/completions.
func Parse(body []byte) (Request, error) {
	var w wire
	if err := json.Unmarshal(body, &w); err != nil {
		return Request{}, fmt.Errorf("body is not a valid completion request: %w", err)
	}
	text := w.Prompt
	for _, m := range w.Messages {
		text += m.Role + ": " + m.Content + "\n"
	}
	switch {
	case w.Model == "":
		return Request{}, ErrNoModel
	case strings.TrimSpace(text) == "":
		return Request{}, ErrNoPrompt
	case w.MaxTokens < 0:
		return Request{}, ErrMaxTokens
	}
	return Request{
		Model: w.Model, Text: text, Stream: w.Stream, MaxTokens: w.MaxTokens,
		Tokens: (len(text) + bytesPerToken - 1) / bytesPerToken, Prefix: prefixHashes(text),
	}, nil
}

// prefixHashes returns the hashes for Request.Prefix.
func prefixHashes(text string) []uint64 {
	var out []uint64
	d := xxhash.New()
	for len(text) >= blockBytes && len(out) < maxBlocks {
		_, _ = d.WriteString(text[:blockBytes]) // a hash never returns an error
		text = text[blockBytes:]
		out = append(out, d.Sum64())
	}
	return out
}

// ForEngine returns a copy of a request body for the engine, in which streaming
// is enabled and max_tokens is set to maxTokens. Other fields are unchanged.
func ForEngine(body []byte, maxTokens int) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("rewrite body for engine: %w", err)
	}
	fields["stream"] = json.RawMessage("true")
	fields["max_tokens"] = json.RawMessage(fmt.Sprint(maxTokens))
	out, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("rewrite body for engine: %w", err)
	}
	return out, nil
}
