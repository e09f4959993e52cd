package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrylug.example/mulberrylug/internal/core/msg"
)

// Each message kind must be unchanged after encoding and decoding, have a sample and have a name
// for metrics. A kind without a decoder would be rejected by every receiver.
func TestEveryKindRoundTrips(t *testing.T) {
	seen := map[msg.Kind]bool{}
	all := samples()
	for _, s := range all {
		frame, err := Encode("entry-1", s.msg)
		if err != nil {
			t.Fatal(err)
		}
		from, got, err := Decode(bytes.NewReader(frame))
		if err != nil || from != "entry-1" || !reflect.DeepEqual(got, s.msg) {
			t.Errorf("%s: decoded %+v from sender %q, error %v; want %+v from entry-1", s.name, got, from, err, s.msg)
		}
		seen[s.msg.Kind()] = true
	}
	for kind := range decoders {
		if !seen[kind] {
			t.Errorf("message kind %d has no sample in samples()", kind)
		}
		if name := kind.String(); strings.HasPrefix(name, "kind_") {
			t.Errorf("message kind %d has no name for metrics in Kind.String", kind)
		}
	}
}

// frame returns a frame with the given header fields and body, which need not be valid.
func frame(size uint32, version byte, body ...byte) []byte {
	return append(append(binary.BigEndian.AppendUint32(nil, size), version), body...)
}

// A faulty or newer peer sends frames that this instance can't decode. Decode must return the
// error for that kind of frame, so that the connection is closed or the frame skipped. It must not misread a frame,
// wait for ever or allocate as much memory as the length field claims.
func TestDecodeRefusesBadFrames(t *testing.T) {
	good, err := Encode("entry-1", msg.Strike{Fingerprint: 7, Upstream: "engine-1"})
	if err != nil {
		t.Fatal(err)
	}
	otherVersion := bytes.Clone(good)
	otherVersion[4]++
	body, err := marshal(envelope{From: "entry-1", Kind: 200})
	if err != nil {
		t.Fatal(err)
	}
	wrongBody, err := marshal(envelope{From: "entry-1", Kind: msg.KindGrantRequest, Body: []byte{0xc1}})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		raw  []byte
		want error // nil accepts any error
	}{
		{"no bytes", nil, io.EOF},
		{"truncated header", good[:3], io.ErrUnexpectedEOF},
		{"header without body", good[:headerSize], io.ErrUnexpectedEOF},
		{"truncated body", good[:len(good)-1], io.ErrUnexpectedEOF},
		{"one byte too large", frame(maxFrame+1, protocolVersion), ErrTooLarge},
		{"maximum length field", frame(1<<32-1, protocolVersion), ErrTooLarge},
		{"another version", otherVersion, ErrVersion},
		{"unknown kind", frame(uint32(len(body)), protocolVersion, body...), ErrKind},
		{"body of another type", frame(uint32(len(wrongBody)), protocolVersion, wrongBody...), nil},
		{"body is not msgpack", frame(3, protocolVersion, 0xc1, 0xc1, 0xc1), nil},
		{"empty body", frame(0, protocolVersion), nil},
	} {
		_, m, err := Decode(bytes.NewReader(c.raw))
		if err == nil || c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: decoded %+v, error %v, want error %v (nil: any error)", c.name, m, err, c.want)
		}
	}
	if _, err := Encode("entry-1", msg.ExplainResponse{Lines: []string{string(make([]byte, maxFrame))}}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("Encode of a message above the maximum size: error %v, want %v", err, ErrTooLarge)
	}
}

// FuzzDecode checks that Decode does not panic on any input and that every message that it
// accepts can be encoded again.
func FuzzDecode(f *testing.F) {
	for _, s := range samples() {
		raw, err := Encode("entry-1", s.msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
		f.Add(raw[:len(raw)/2])
	}
	f.Add(frame(maxFrame+1, protocolVersion))
	f.Add(frame(3, protocolVersion, 0xc1, 0xc1, 0xc1))
	f.Add(frame(5, protocolVersion, 0x93, 0xa1, 'x', 0x01, 0xdd))
	f.Fuzz(func(t *testing.T, raw []byte) {
		from, m, err := Decode(bytes.NewReader(raw))
		if err != nil {
			return
		}
		if _, err := Encode(from, m); err != nil && !errors.Is(err, ErrTooLarge) {
			t.Errorf("Encode of the decoded message %+v: %v, want no error", m, err)
		}
	})
}

// Earlier releases do not know the ninth bit of a heartbeat's class. They must read the others as before:
// otherwise they would close the connections of newer instances.
func TestEarlierReleasesReadTheLowBitsOfAClass(t *testing.T) {
	var class struct{ Class uint8 }
	raw, err := marshal(struct{ Class uint16 }{msg.ClassOfRelease(5)})
	if err != nil {
		t.Fatal(err)
	}
	if err := msgpack.Unmarshal(raw, &class); err != nil || class.Class != uint8(msg.ClassOfRelease(5)) {
		t.Errorf("class %d, error %v, want the low bits of %d", class.Class, err, msg.ClassOfRelease(5))
	}
}
