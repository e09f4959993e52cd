package cli

import (
	"os"
	"os/signal"
	"sync"
	"syscall"

	"mulberrylug.example/mulberrylug/internal/lifecycle"
)

// maxPendingSignals is the number of signals that are kept until the command is known.
const maxPendingSignals = 16

// signals delivers the signals of the process to its state machine, and carries out the actions.
// The signals stay caught until the process has exited: one whose default action was restored would
// end the process with the requests in progress.
type signals struct {
	received chan os.Signal

	mu      sync.Mutex
	machine *lifecycle.Machine
	effects effects
}

// effects carry out the actions. Each must return soon, because the next signal is processed after it.
type effects struct {
	reload, drain, stop func()
	// note, if set, is called for each signal.
	note func(s os.Signal, state lifecycle.State, a lifecycle.Action)
}

// catchSignals catches all signals that end a process by default and that a platform or a terminal sends.
func catchSignals() *signals {
	s := &signals{received: make(chan os.Signal, maxPendingSignals)}
	signal.Notify(s.received, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	return s
}

// follow begins to deliver the signals. Those that have arrived before take effect before it returns.
func (s *signals) follow(p lifecycle.Policy, e effects) {
	s.machine, s.effects = lifecycle.New(p), e
	if p.Drains {
		signal.Ignore(syscall.SIGPIPE) // an unread log must not end the requests in progress
	}
	for len(s.received) > 0 {
		s.deliver(<-s.received)
	}
	go func() {
		for sig := range s.received {
			s.deliver(sig)
		}
	}()
}

// deliver carries out the effect of a signal.
func (s *signals) deliver(sig os.Signal) {
	meaning := lifecycle.Terminate
	if sig == syscall.SIGHUP {
		meaning = lifecycle.Hangup
	}
	s.mu.Lock()
	state := s.machine.State()
	a := s.machine.Signal(meaning)
	s.mu.Unlock()
	if s.effects.note != nil {
		s.effects.note(sig, state, a)
	}
	s.do(a)
}

func (s *signals) do(a lifecycle.Action) {
	switch a {
	case lifecycle.Reload:
		s.effects.reload()
	case lifecycle.Drain:
		s.effects.drain()
	case lifecycle.Stop:
		s.effects.stop()
	}
}

// started records that the process is about to accept requests. It returns false if a signal has ended
// the process before.
func (s *signals) started() bool {
	s.mu.Lock()
	a := s.machine.Started()
	s.mu.Unlock()
	if a == lifecycle.Stop {
		return false
	}
	s.do(a)
	return true
}

// ended records that the process is about to exit.
func (s *signals) ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.End()
}
