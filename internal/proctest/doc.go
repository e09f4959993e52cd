// Package proctest tests the built command: instances run as separate processes,
// which the tests kill, pause and drain. Platforms and upstreams are stand-ins. The
// package contains tests only.
package proctest
