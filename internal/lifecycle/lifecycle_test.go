package lifecycle

import "testing"

// Policies of the processes: an instance on a hosting platform, an instance of the own interface, and a
// command that serves nothing.
var (
	hosted  = Policy{Drains: true, Reloads: true}
	own     = Policy{Drains: true, SecondStops: true}
	command = Policy{}
)

// in returns a machine in a state.
func in(p Policy, s State) *Machine {
	m := New(p)
	m.state = s
	return m
}

// Every pair of state and signal must have the defined effect. A pair without one would leave the signal
// its default action, which ends the process with all requests in progress.
func TestEverySignalInEveryState(t *testing.T) {
	type effect struct {
		action Action
		next   State
	}
	states, signals := []State{Starting, Serving, Draining, Ended}, []Signal{Terminate, Hangup}
	for _, c := range []struct {
		name   string
		policy Policy
		want   map[Signal][]effect // by state
	}{
		{"hosted", hosted, map[Signal][]effect{
			Terminate: {{Stop, Ended}, {Drain, Draining}, {None, Draining}, {None, Ended}},
			Hangup:    {{ReloadLater, Starting}, {Reload, Serving}, {Reload, Draining}, {None, Ended}},
		}},
		{"own interface", own, map[Signal][]effect{
			Terminate: {{Stop, Ended}, {Drain, Draining}, {Stop, Ended}, {None, Ended}},
			Hangup:    {{Stop, Ended}, {Drain, Draining}, {Stop, Ended}, {None, Ended}},
		}},
		{"command", command, map[Signal][]effect{
			Terminate: {{Stop, Ended}, {Stop, Ended}, {Stop, Ended}, {None, Ended}},
			Hangup:    {{Stop, Ended}, {Stop, Ended}, {Stop, Ended}, {None, Ended}},
		}},
	} {
		for k, state := range states {
			for _, signal := range signals {
				m := in(c.policy, state)
				got := effect{m.Signal(signal), m.State()}
				if want := c.want[signal][k]; got != want {
					t.Errorf("%s: %s while %s: %v, want %v", c.name, signal, state, got, want)
				}
			}
		}
	}
}

// Settings that changed after they were read at the start must be read again, and a process that was told
// to end while it started must not accept requests.
func TestStarted(t *testing.T) {
	for _, c := range []struct {
		name    string
		signals []Signal
		want    Action
		next    State
	}{
		{"no signal", nil, None, Serving},
		{"hangup", []Signal{Hangup}, Reload, Serving},
		{"two hangups", []Signal{Hangup, Hangup}, Reload, Serving},
		{"terminate", []Signal{Terminate}, Stop, Ended},
		{"hangup and terminate", []Signal{Hangup, Terminate}, Stop, Ended},
		{"terminate and hangup", []Signal{Terminate, Hangup}, Stop, Ended},
	} {
		m := New(hosted)
		for _, s := range c.signals {
			m.Signal(s)
		}
		if got := m.Started(); got != c.want || m.State() != c.next {
			t.Errorf("%s: %s and %s, want %s and %s", c.name, got, m.State(), c.want, c.next)
		}
	}
	m := New(hosted)
	m.Started()
	if got := m.Started(); got != None || m.State() != Serving {
		t.Errorf("a second start: %s and %s, want no effect", got, m.State())
	}
	m.Signal(Terminate)
	m.End()
	if got := m.Signal(Hangup); got != None || m.State() != Ended {
		t.Errorf("a hangup at the end: %s and %s, want no effect", got, m.State())
	}
}
