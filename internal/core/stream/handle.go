package stream

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// macSize is the length of the truncated HMAC of a handle, in bytes.
const macSize = 16

// ErrHandle is returned for a handle that is malformed or was altered.
var ErrHandle = errors.New("stream handle is not valid")

// Handle identifies a running generation, so that any instance can resume it without a shared
// table.
type Handle struct {
	// Request is the request whose entry signed the handle. An instance that adopts the
	// generation notifies that entry, which then ends that request.
	Request      string
	Organisation string
	Service      string
	Upstream     string
	// Boot identifies the process run of the upstream that runs the generation.
	Boot       string
	Generation string
	// BudgetHome is the instance that holds the reservation of Reserved millionths of the
	// currency unit.
	BudgetHome string
	Reserved   int64
	// Prompt is the number of prompt tokens, MaxTokens the maximum number of output tokens.
	Prompt      int
	MaxTokens   int
	Fingerprint uint64
}

// Sign encodes the handle with an HMAC under the deployment's stream key. Field names are
// omitted, because each event of a stream carries the handle.
func (h Handle) Sign(key string) (string, error) {
	var body bytes.Buffer
	enc := msgpack.NewEncoder(&body)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(&h); err != nil {
		return "", fmt.Errorf("sign stream handle: %w", err)
	}
	signed := append(mac(key, body.Bytes()), body.Bytes()...)
	return base64.RawURLEncoding.EncodeToString(signed), nil
}

// Open verifies and decodes a signed handle. It returns ErrHandle if the handle was altered.
func Open(key, signed string) (Handle, error) {
	var h Handle
	raw, err := base64.RawURLEncoding.DecodeString(signed)
	if err != nil || len(raw) < macSize {
		return h, ErrHandle
	}
	if !hmac.Equal(raw[:macSize], mac(key, raw[macSize:])) {
		return h, ErrHandle
	}
	if err := msgpack.Unmarshal(raw[macSize:], &h); err != nil {
		return h, ErrHandle
	}
	return h, nil
}

func mac(key string, body []byte) []byte {
	m := hmac.New(sha256.New, []byte(key))
	m.Write(body)
	return m.Sum(nil)[:macSize]
}

// EventID returns the event id that combines a signed handle and a token index.
func EventID(signed string, index int) string { return signed + "." + strconv.Itoa(index) }

// ParseEventID splits an event id. It returns ErrHandle if the index is missing or invalid.
func ParseEventID(id string) (signed string, index int, err error) {
	signed, tail, ok := strings.Cut(id, ".")
	index, err = strconv.Atoi(tail)
	if !ok || err != nil || index < 0 {
		return "", 0, ErrHandle
	}
	return signed, index, nil
}
