package slowdown

import (
	"encoding/json"
	"fmt"
)

// MinStated and MaxStated bound the factors that upstreams may state.
const (
	MinStated = 0.01
	MaxStated = 100
)

// Stated is the factor in an upstream's report. The zero value states nothing, which means as usual.
type Stated struct {
	// Factor is the stated factor; 0 if there is none.
	Factor float64
	// Unreadable is the reason why the statement is ignored; "" if it is not. A report is used apart
	// from a statement that is unreadable.
	Unreadable string
}

// FactorOrUsual returns the stated factor, or Usual if there is none.
func (s Stated) FactorOrUsual() float64 {
	if s.Factor == 0 {
		return Usual
	}
	return s.Factor
}

// MarshalJSON implements json.Marshaler.
func (s Stated) MarshalJSON() ([]byte, error) { return json.Marshal(s.Factor) }

// UnmarshalJSON implements json.Unmarshaler. It returns no error, as that would discard the report.
func (s *Stated) UnmarshalJSON(raw []byte) error {
	*s = Stated{}
	var f *float64
	switch err := json.Unmarshal(raw, &f); {
	case err != nil:
		s.Unreadable = fmt.Sprintf("decode slowdown: %v", err)
	case f == nil:
	case !(*f >= MinStated && *f <= MaxStated):
		s.Unreadable = fmt.Sprintf("decode slowdown: %g is not between %g and %g", *f, MinStated, float64(MaxStated))
	default:
		s.Factor = *f
	}
	return nil
}
