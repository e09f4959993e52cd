package cli

import (
	"os"
	"os/signal"
	"syscall"
)

// interrupts returns a channel that receives the next SIGINT or SIGTERM.
func interrupts() <-chan os.Signal {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	return ch
}
