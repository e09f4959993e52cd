package hosted

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"github.com/hashicorp/go-hclog"
)

const (
	// reservedDescriptors is the number of descriptors reserved for files, which connections do not use.
	reservedDescriptors = 200
	// callerShare is the fraction of the remaining descriptors for callers' connections. Each
	// request in progress takes another descriptor for the connection to its upstream.
	callerShare = 0.5
)

// limitListener limits the number of open connections. Further connections wait in the kernel's
// backlog: without free descriptors, the process could reach neither upstreams nor the store.
type limitListener struct {
	net.Listener
	slots chan struct{}
}

// limitConnections wraps a listener in a limitListener, given the maximum number of open
// descriptors. If that is unknown or too small, it returns the listener unchanged.
func limitConnections(l net.Listener, descriptors int) net.Listener {
	limit := callerConnections(descriptors)
	if limit == 0 {
		return l
	}
	return &limitListener{Listener: l, slots: make(chan struct{}, limit)}
}

// callerConnections returns the maximum number of callers' connections, given the maximum number of
// open descriptors; 0 means no limit.
func callerConnections(descriptors int) int {
	if descriptors <= reservedDescriptors {
		return 0
	}
	return max(int(callerShare*float64(descriptors-reservedDescriptors)), 1)
}

// inUse returns the share of the permitted connections that are open. One slot is taken by the
// connection that Accept waits for.
func (l *limitListener) inUse() float64 {
	return float64(max(len(l.slots)-1, 0)) / float64(cap(l.slots))
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.slots }}, nil
}

// limitedConn releases its slot when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// SyscallConn implements syscall.Conn.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

// checkDescriptors logs a warning if the process may open fewer descriptors than the settings
// state.
func checkDescriptors(want int, log hclog.Logger) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		log.Warn("descriptor_limit_unknown", "error", err)
		return
	}
	if want > 0 && limit.Cur < uint64(want) {
		log.Warn("descriptor_limit_low", "limit", limit.Cur, "settings", want)
	}
}
