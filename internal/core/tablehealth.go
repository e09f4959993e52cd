package core

// downAfterFailures is the number of consecutive failed calls after which the table counts as down.
const downAfterFailures = 2

// tableHealth detects outages of the table. Without it, each booking during an outage would hold
// its grant and its reservation until a call to the table times out, and only then be refused. The
// regular reads of ConfigRow detect the end of an outage.
type tableHealth struct{ failures int }

// observe records whether a call to the table got a reply.
func (s *tableHealth) observe(ok bool) {
	if ok {
		s.failures = 0
	} else {
		s.failures++
	}
}

func (s *tableHealth) down() bool { return s.failures >= downAfterFailures }
