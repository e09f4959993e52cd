// Package peer sends messages between instances over TCP connections. Each frame consists of a
// length, a protocol version and a msgpack body.
package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

const (
	// protocolVersion is the byte after the length in every frame. Instances with different
	// versions reject each other's frames instead of misreading them.
	protocolVersion = 2
	// maxFrame is the maximum size of a frame's body in bytes. It limits how much memory a
	// faulty peer can make this instance allocate.
	maxFrame = 1 << 20
	// headerSize is the size of a frame's header in bytes: a 4-byte big-endian length and a
	// 1-byte version.
	headerSize = 5
)

// Reasons why a frame can't be encoded or decoded.
var (
	ErrTooLarge = errors.New("frame exceeds the maximum size")
	ErrVersion  = errors.New("frame has an unsupported protocol version")
	ErrKind     = errors.New("frame has an unknown message kind")
)

// envelope is the body of a frame. Kind determines the type of the message in Body.
type envelope struct {
	From string
	Kind msg.Kind
	Body msgpack.RawMessage
}

// Encode returns the frame for a message from the instance named from.
func Encode(from string, m msg.Message) ([]byte, error) {
	body, err := marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message kind %d: %w", m.Kind(), err)
	}
	raw, err := marshal(envelope{From: from, Kind: m.Kind(), Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode envelope: %w", err)
	}
	if len(raw) > maxFrame {
		return nil, fmt.Errorf("encode message kind %d of %d bytes: %w", m.Kind(), len(raw), ErrTooLarge)
	}
	frame := make([]byte, headerSize, headerSize+len(raw))
	binary.BigEndian.PutUint32(frame, uint32(len(raw)))
	frame[4] = protocolVersion
	return append(frame, raw...), nil
}

func marshal(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	err := enc.Encode(v)
	return buf.Bytes(), err
}

// Decode reads one frame and returns the sender's name and the message. The error is io.EOF at
// the end of the connection and wraps io.ErrUnexpectedEOF for a truncated frame. After ErrKind the
// next frame can be read.
func Decode(r io.Reader) (from string, m msg.Message, err error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return "", nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxFrame {
		return "", nil, fmt.Errorf("frame of %d bytes: %w", size, ErrTooLarge)
	}
	if head[4] != protocolVersion {
		return "", nil, fmt.Errorf("frame of version %d: %w", head[4], ErrVersion)
	}
	raw := make([]byte, size)
	if _, err := io.ReadFull(r, raw); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return "", nil, fmt.Errorf("read frame: %w", err)
	}
	var env envelope
	if err := msgpack.Unmarshal(raw, &env); err != nil {
		return "", nil, fmt.Errorf("decode envelope: %w", err)
	}
	m, err = decodeBody(env)
	return env.From, m, err
}

func decodeBody(env envelope) (msg.Message, error) {
	decode, ok := decoders[env.Kind]
	if !ok {
		return nil, fmt.Errorf("message kind %d from %s: %w", env.Kind, env.From, ErrKind)
	}
	m, err := decode(env.Body)
	if err != nil {
		return nil, fmt.Errorf("decode message kind %d from %s: %w", env.Kind, env.From, err)
	}
	return m, nil
}

// decoders holds the decoder of each message kind.
var decoders = map[msg.Kind]func([]byte) (msg.Message, error){
	msg.KindGrantRequest:    decodeAs[msg.GrantRequest],
	msg.KindGrantResponse:   decodeAs[msg.GrantResponse],
	msg.KindGrantEnd:        decodeAs[msg.GrantEnd],
	msg.KindReserveRequest:  decodeAs[msg.ReserveRequest],
	msg.KindReserveResponse: decodeAs[msg.ReserveResponse],
	msg.KindSettle:          decodeAs[msg.Settle],
	msg.KindStrike:          decodeAs[msg.Strike],
	msg.KindConfigVersion:   decodeAs[msg.ConfigVersion],
	msg.KindAnnounce:        decodeAs[msg.Announce],
	msg.KindExplainRequest:  decodeAs[msg.ExplainRequest],
	msg.KindExplainResponse: decodeAs[msg.ExplainResponse],
	msg.KindAdopted:         decodeAs[msg.Adopted],
	msg.KindFollowRequest:   decodeAs[msg.FollowRequest],
	msg.KindFollowResponse:  decodeAs[msg.FollowResponse],
	msg.KindStrikesRequest:  decodeAs[msg.StrikesRequest],
	msg.KindStrikes:         decodeAs[msg.Strikes],

	msg.KindConfigRequest:       decodeAs[msg.ConfigRequest],
	msg.KindConfigObjectRequest: decodeAs[msg.ConfigObjectRequest],
	msg.KindConfigObjectPart:    decodeAs[msg.ConfigObjectPart],
	msg.KindLeaving:             decodeAs[msg.Leaving],

	msg.KindHeartbeat:       decodeAs[msg.Heartbeat],
	msg.KindSyncRequest:     decodeAs[msg.SyncRequest],
	msg.KindSyncResponse:    decodeAs[msg.SyncResponse],
	msg.KindMoveOrder:       decodeAs[msg.MoveOrder],
	msg.KindMoveResult:      decodeAs[msg.MoveResult],
	msg.KindUpstreamFailing: decodeAs[msg.UpstreamFailing],
	msg.KindFirstToken:      decodeAs[msg.FirstToken],
	msg.KindJoinRequest:     decodeAs[msg.JoinRequest],
	msg.KindJoinResponse:    decodeAs[msg.JoinResponse],
	msg.KindPresences:       decodeAs[msg.Presences],
	msg.KindPresenceRequest: decodeAs[msg.PresenceRequest],
	msg.KindRateStatement:   decodeAs[msg.RateStatement],
	msg.KindPermitRequest:   decodeAs[msg.PermitRequest],
	msg.KindPermitResponse:  decodeAs[msg.PermitResponse],
	msg.KindPermitCancel:    decodeAs[msg.PermitCancel],
	msg.KindUpstreamLeaving: decodeAs[msg.UpstreamLeaving],
	msg.KindTunnelRequest:   decodeAs[msg.TunnelRequest],
	msg.KindTunnelResponse:  decodeAs[msg.TunnelResponse],
	msg.KindPartsSound:      decodeAs[msg.PartsSound],
	msg.KindCrashEvidence:   decodeAs[msg.CrashEvidence],
	msg.KindWithSoftware:    decodeAs[msg.WithSoftware],
	msg.KindStreamOrigins:   decodeAs[msg.StreamOrigins],
	msg.KindOriginsStored:   decodeAs[msg.OriginsStored],
	msg.KindOriginRequest:   decodeAs[msg.OriginRequest],
	msg.KindOriginResponse:  decodeAs[msg.OriginResponse],

	msg.KindRankedGrantRequest: decodeAs[msg.RankedGrantRequest],
	msg.KindUpstreamSpeed:      decodeAs[msg.UpstreamSpeed],
	msg.KindInstanceLoad:       decodeAs[msg.InstanceLoad],
}

func decodeAs[T msg.Message](b []byte) (msg.Message, error) {
	var m T
	err := msgpack.Unmarshal(b, &m)
	return m, err
}
