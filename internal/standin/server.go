// Package standin runs the stand-ins for outside systems as HTTP servers that can crash, fall silent
// and start again, and repeats periodic work such as their announcements to the platform.
package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server serves a handler on a fixed address. It can crash and start again on that address.
type Server struct {
	handler http.Handler
	address string
	// sendBuffer is the size in bytes of the send buffer of each connection's socket; 0 leaves it
	// to the system.
	sendBuffer int

	link link

	mu     sync.Mutex
	server *http.Server
}

// Start serves a handler on an address. Port 0 selects a free port.
func Start(address string, h http.Handler) (*Server, error) {
	s := &Server{handler: h, address: address}
	return s, s.listen()
}

// StartWithSendBuffer does the same as Start. The server has at most the given number of bytes in the
// send buffer of each connection, so that it notices clients that do not read.
func StartWithSendBuffer(address string, h http.Handler, sendBuffer int) (*Server, error) {
	s := &Server{handler: h, address: address, sendBuffer: sendBuffer}
	return s, s.listen()
}

func (s *Server) listen() error {
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("stand-in listen on %s: %w", s.address, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = ln.Addr().String()
	s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second, ConnContext: withConn}
	tcp := ln.(*net.TCPListener)
	go func(srv *http.Server) {
		_ = srv.Serve(&linkListener{TCPListener: tcp, link: &s.link, sendBuffer: s.sendBuffer}) // returns after Close
	}(s.server)
	return nil
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request.
func ConnOf(r *http.Request) net.Conn { return r.Context().Value(connKey{}).(net.Conn) }

// Address returns the server's address as host:port.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Close closes the listener and all connections immediately, as a crash does.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.server.Close() // the server is discarded even after an error
}

// Reopen listens on the same address again after Close.
func (s *Server) Reopen() error { return s.listen() }

// Every calls f immediately and then at an interval until the context ends.
func Every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
