package hosted

import (
	"net"
	"sync"
	"syscall"

	"github.com/hashicorp/go-hclog"
)

const (
	// filesKept is the number of descriptors reserved for files.
	filesKept = 200
	// callerShare is the fraction of the remaining descriptors for callers' connections. Each
	// request in progress takes another one for its upstream.
	callerShare = 0.5
)

// limitListener bounds the number of open connections. Further ones wait in the kernel's
// backlog: without descriptors the process could reach neither upstreams nor the store.
type limitListener struct {
	net.Listener
	places chan struct{}
}

func limitConnections(l net.Listener, descriptors int) net.Listener {
	if descriptors <= filesKept {
		return l
	}
	return &limitListener{Listener: l, places: make(chan struct{}, max(int(callerShare*float64(descriptors-filesKept)), 1))}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	l.places <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConn{Conn: c, free: func() { <-l.places }}, nil
}

// limitedConn releases its place on Close.
type limitedConn struct {
	net.Conn
	once sync.Once
	free func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.free)
	return err
}

// checkDescriptors logs a warning if the process may open fewer descriptors than configured.
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
