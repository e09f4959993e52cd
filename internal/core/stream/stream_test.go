package stream

import (
	"errors"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mulberrylug.example/mulberrylug/internal/testkit"
)

// Tokens of three generations arrive in any order, with repeats and gaps. Two of the generations
// have the same id but come from different process runs of an engine. The delivered tokens must have
// consecutive indices from 0 and belong to one generation.
func TestPromise1PropertySequencerDeliversOneGeneration(t *testing.T) {
	generations := []Generation{{"a", "1"}, {"a", "2"}, {"b", "1"}}
	props := gopter.NewProperties(testkit.Parameters())
	props.Property("delivered tokens are a prefix of one generation", prop.ForAll(
		func(choices []uint8) bool {
			var s Sequencer
			var delivered Generation
			next := 0
			for _, choice := range choices {
				g, index := generations[choice%3], int(choice/3)%12
				if s.Accept(g, index) != Deliver {
					continue
				}
				if index != next || next > 0 && g != delivered {
					return false
				}
				delivered = g
				next++
			}
			return s.Next() == next && s.Bound() == (next > 0)
		},
		gen.SliceOfN(120, gen.UInt8()),
	))
	props.TestingRun(t)
}

// A handle that was altered in any one character or signed with another key must be refused, and
// so must an event id without a valid index.
func TestPromise2HandleCannotBeAltered(t *testing.T) {
	h := Handle{
		Request: "entry-12:1f2e3d4c:123456", Organisation: "nitrogen-depot", Service: "assistant", Upstream: "engine-12",
		Boot: "0123456789abcdef", Generation: "entry-12:1f2e3d4c:123456/1", BudgetHome: "entry-7",
		Reserved: 500_000, Prompt: 2000, MaxTokens: 4096, Fingerprint: 1 << 63,
	}
	signed, err := h.Sign("key")
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("handle size = %d bytes for names of this length", len(signed))
	if got, err := Open("key", signed); err != nil || got != h {
		t.Errorf("Open = %+v, %v; want %+v", got, err, h)
	}
	if _, err := Open("other", signed); !errors.Is(err, ErrHandle) {
		t.Errorf("Open with another key: error = %v, want ErrHandle", err)
	}
	for n := range signed {
		altered := []byte(signed)
		altered[n] = "AB"[strings.IndexByte("A", altered[n])+1]
		if string(altered) == signed {
			continue
		}
		// The last character contains bits that the decoder ignores.
		if _, err := Open("key", string(altered)); !errors.Is(err, ErrHandle) && n < len(signed)-1 {
			t.Errorf("Open with character %d altered: error = %v, want ErrHandle", n, err)
		}
	}
	for _, id := range []string{"", "x", signed, signed + ".", signed + ".-1", signed + ".1e3"} {
		if _, _, err := ParseEventID(id); !errors.Is(err, ErrHandle) {
			t.Errorf("ParseEventID(%.20q…): error = %v, want ErrHandle", id, err)
		}
	}
}
