package mechanism

import (
	"slices"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	s, err := Parse([]string{"moves", "homes", "moves"})
	if err != nil || !s.Has(Moves) || !s.Has(Homes) || s.Has(Near) {
		t.Errorf("Parse = %v, error %v, want homes and moves", s, err)
	}
	if got := s.String(); got != "homes,moves" {
		t.Errorf("String() = %q, want each name once, in a fixed order", got)
	}
	if s != Of(Homes, Moves) {
		t.Errorf("Of(Homes, Moves) = %v, want the parsed set", Of(Homes, Moves))
	}
}

func TestParseRejectsAnUnknownName(t *testing.T) {
	_, err := Parse([]string{"moves", "move"})
	if err == nil || !strings.Contains(err.Error(), `"move" is unknown`) || !strings.Contains(err.Error(), "homes, moves, move_order") {
		t.Errorf("error = %v, want one that quotes the unknown name and lists the known ones", err)
	}
}

func TestMechanismNamesAreUnique(t *testing.T) {
	var seen []string
	for _, m := range All() {
		if m.String() == "" || slices.Contains(seen, m.String()) {
			t.Errorf("mechanism %d has the name %q, want a unique name that is not empty", m, m)
		}
		seen = append(seen, m.String())
	}
}

func TestParsedWaysFormatAsWritten(t *testing.T) {
	for _, item := range Decisions() {
		w, err := ParseWays([]string{item})
		if err != nil {
			t.Errorf("ParseWays(%s): error %v, want none", item, err)
		}
		if got := w.String(); got != item && w != 0 {
			t.Errorf("ParseWays(%s).String() = %q, want the same text", item, got)
		}
	}
	w, err := ParseWays([]string{"choice=memory", "directory=mixed", "choice=cost"})
	if err != nil || w != WaysOf(DirectoryMixed) {
		t.Errorf("ParseWays = %v, error %v, want only directory=mixed: the last item for a decision applies", w, err)
	}
}

func TestParseWaysRejectsUnknownWays(t *testing.T) {
	for item, want := range map[string]string{
		"choices=memory": `decision "choices" is unknown; there are choice=cost, choice=memory`,
		"choice=m":       `decision "choice" has no way "m"; there are cost, memory`,
		"choice":         `decision "choice" has no way ""`,
		"=":              `decision "" is unknown`,
		"choice=memory,": `has no way "memory,"`,
	} {
		if _, err := ParseWays([]string{item}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("ParseWays(%s): error %v, want one that contains %s", item, err, want)
		}
	}
}
