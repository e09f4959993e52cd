package core

// failuresDown is the number of consecutive failed calls after which the table counts as down.
const failuresDown = 2

// store records whether the table answers. During a long outage, bookings would otherwise each
// wait for a timeout with their grant and reservation before they are refused. The poll of the
// configuration row detects its end.
type store struct{ failures int }

func (s *store) heard(ok bool) {
	if ok {
		s.failures = 0
	} else {
		s.failures++
	}
}

func (s *store) down() bool { return s.failures >= failuresDown }
