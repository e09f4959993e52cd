package mechanism

import (
	"slices"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	s, err := Parse([]string{"moves", "homes", "moves"})
	if err != nil || !s.Has(Moves) || !s.Has(Homes) || s.Has(Near) {
		t.Errorf("%v, %v", s, err)
	}
	if got := s.String(); got != "homes,moves" {
		t.Errorf("names %q", got)
	}
	if s != Of(Homes, Moves) {
		t.Errorf("%v", Of(Homes, Moves))
	}
}

func TestAnUnknownNameIsRefused(t *testing.T) {
	_, err := Parse([]string{"moves", "move"})
	if err == nil || !strings.Contains(err.Error(), `"move" is unknown`) || !strings.Contains(err.Error(), "homes, moves, move_order") {
		t.Errorf("%v", err)
	}
}

func TestEachMechanismHasItsOwnName(t *testing.T) {
	var seen []string
	for _, m := range All() {
		if m.String() == "" || slices.Contains(seen, m.String()) {
			t.Errorf("mechanism %d is named %q", m, m)
		}
		seen = append(seen, m.String())
	}
}

func TestWaysComeBackAsWritten(t *testing.T) {
	for _, item := range Decisions() {
		w, err := ParseWays([]string{item})
		if err != nil {
			t.Errorf("%s: %v", item, err)
		}
		if got := w.String(); got != item && w != 0 {
			t.Errorf("%s comes back as %q", item, got)
		}
	}
	w, err := ParseWays([]string{"choice=memory", "directory=mixed", "choice=cost"})
	if err != nil || w != WaysOf(DirectoryMixed) {
		t.Errorf("the default does not undo another way: %v, %v", w, err)
	}
}

func TestUnknownWaysAreRefused(t *testing.T) {
	for item, want := range map[string]string{
		"choices=memory": `decision "choices" is unknown; there are choice=cost, choice=memory`,
		"choice=m":       `decision "choice" has no way "m"; there are cost, memory`,
		"choice":         `decision "choice" has no way ""`,
		"=":              `decision "" is unknown`,
		"choice=memory,": `has no way "memory,"`,
	} {
		if _, err := ParseWays([]string{item}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %s", item, err, want)
		}
	}
}
