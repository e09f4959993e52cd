package msg

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrylug.example/mulberrylug/internal/core/route"
)

// largeConfig returns a configuration with random names of the kind that customers use.
func largeConfig(routes int) *route.Config {
	rng := rand.New(rand.NewPCG(1, 2))
	word := func(n int) string {
		b := make([]byte, n)
		for k := range b {
			b[k] = "abcdefghijklmnopqrstuvwxyz0123456789"[rng.IntN(36)]
		}
		return string(b)
	}
	c := &route.Config{Version: 9, Services: []route.Service{{Name: word(7)}, {Name: word(7)}}}
	for range 24 {
		c.Organisations = append(c.Organisations, route.Organisation{Name: word(8), Keys: []string{word(40), word(40)}})
	}
	for range routes {
		c.Routes = append(c.Routes, route.Route{
			Name: "r-" + word(7), Host: word(6) + ".example", Prefix: "/" + word(8) + "/", Kind: route.Idempotent,
			Timeout: 6 * time.Second, Target: 1500 * time.Millisecond, Rank: rng.IntN(3), MaxAttempts: 2,
			Targets: []route.Target{{Service: c.Services[rng.IntN(2)].Name, Weight: 1}},
		})
	}
	return c
}

func TestPackAndUnpackPreserveAConfiguration(t *testing.T) {
	for _, routes := range []int{0, 1, 1900} {
		want := largeConfig(routes)
		p, err := PackConfig(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := p.Unpack()
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%d routes: Unpack of the packed configuration: error = %v, want none and an equal configuration", routes, err)
		}
	}
}

// An uncompressed large configuration occupies the link of a small machine for a second per
// receiver: the heartbeats of the instance there are delayed, and its peers consider it dead.
func TestALargeConfigurationIsCompressed(t *testing.T) {
	c := largeConfig(1900)
	var plain bytes.Buffer
	enc := msgpack.NewEncoder(&plain)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(c); err != nil {
		t.Fatal(err)
	}
	p, err := PackConfig(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("routes=1900 plain_bytes=%d packed_bytes=%d", plain.Len(), len(p))
	if len(p) > 70_000 {
		t.Errorf("packed configuration has %d bytes, want at most 70,000", len(p))
	}
}

func TestUnpackRejectsInvalidData(t *testing.T) {
	good, err := PackConfig(largeConfig(100))
	if err != nil {
		t.Fatal(err)
	}
	small, err := PackConfig(largeConfig(0))
	if err != nil {
		t.Fatal(err)
	}
	tooLarge := bytes.NewBuffer([]byte{packedDeflate})
	w, err := flate.NewWriter(tooLarge, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(make([]byte, maxConfigBytes+1)); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	for name, p := range map[string]PackedConfig{
		"empty": {}, "truncated": good[:len(good)/2], "truncated without compression": small[:len(small)/2], "unknown encoding": []byte("no configuration"), "too large": tooLarge.Bytes(),
	} {
		c, err := p.Unpack()
		if err == nil {
			t.Errorf("%s: Unpack returned version %d, want an error", name, c.Version)
		}
		if name == "too large" && !errors.Is(err, ErrConfigTooLarge) {
			t.Errorf("%s: error = %v, want ErrConfigTooLarge", name, err)
		}
	}
}

func BenchmarkPackConfig(b *testing.B) {
	for _, routes := range []int{50, 1900} {
		c := largeConfig(routes)
		p, err := PackConfig(c)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("pack-", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := PackConfig(c); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(p)), "bytes")
		})
		b.Run(fmt.Sprint("unpack-", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := p.Unpack(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
