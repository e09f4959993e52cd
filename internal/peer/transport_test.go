package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/standin/relay"
	"mulberrylug.example/mulberrylug/internal/testkit"
)

// testTransport is a running transport that keeps the messages it received.
type testTransport struct {
	*Transport
	received chan msg.Message
	// address is that of the upstream to which it opens tunnels.
	address string
}

// newTestTransport starts a transport for the instance with the given name.
func newTestTransport(t testing.TB, name string) *testTransport {
	t.Helper()
	n := &testTransport{received: make(chan msg.Message, 2*maxQueueFrames)}
	tr, err := Listen("127.0.0.1:0", name, func(_ string, m msg.Message) { n.received <- m }, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	n.Transport = tr
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = tr.Serve(ctx) // ends with the context
	}()
	t.Cleanup(func() { cancel(); <-done })
	return n
}

// next returns the next received message.
func (n *testTransport) next(t *testing.T) msg.Message {
	t.Helper()
	select {
	case m := <-n.received:
		return m
	case <-time.After(20 * time.Second):
		t.Fatal("no message received within 20 s")
		return nil
	}
}

// Messages to one peer must arrive in the order in which they were sent, and Flush must return
// once all have been written.
func TestMessagesArriveInOrder(t *testing.T) {
	a, b := newTestTransport(t, "a"), newTestTransport(t, "b")
	const messages = 1000
	for n := range messages {
		if err := a.Send("b", b.Address(), msg.Settle{Org: "o", Tokens: n}); err != nil {
			t.Fatal(err)
		}
	}
	for n := range messages {
		if got := b.next(t).(msg.Settle).Tokens; got != n {
			t.Fatalf("message at position %d has number %d, want messages in the order sent", n, got)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := a.Flush(ctx); err != nil {
		t.Errorf("Flush after all messages arrived: %v, want no error", err)
	}
}

// A device between two instances has lost its state of their connection: the connection stays
// open and discards all data, while new connections work. The sender can't detect this. The code
// that waits for the response resets the link, and the next message must arrive.
func TestResetReplacesSilentConnection(t *testing.T) {
	a, b := newTestTransport(t, "a"), newTestTransport(t, "b")
	r, err := relay.Start(b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	send := func(n int) {
		t.Helper()
		if err := a.Send("b", r.Address(), msg.Settle{Tokens: n}); err != nil {
			t.Fatal(err)
		}
	}
	send(1)
	b.next(t)
	r.Silence()
	send(2)
	a.Reset("b")
	send(3)
	if got := b.next(t).(msg.Settle).Tokens; got != 3 {
		t.Errorf("first message after the reset = %d, want 3", got)
	}
}

// A peer accepts connections but reads nothing, as a paused process does. Senders must not block
// on it: once its queue is full, messages to it must be dropped with an error, while messages to
// other peers arrive.
func TestFullQueueDropsAndNeverBlocks(t *testing.T) {
	paused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer paused.Close()
	a, b := newTestTransport(t, "a"), newTestTransport(t, "b")
	big := msg.ExplainResponse{Lines: []string{string(make([]byte, 64<<10))}}
	dropped := 0
	for range 4 * maxQueueBytes / (64 << 10) {
		if a.Send("paused", paused.Addr().String(), big) != nil {
			dropped++
		}
	}
	if dropped == 0 {
		t.Error("no message was dropped, want drops once the queue of a peer that reads nothing is full")
	}
	if err := a.Send("b", b.Address(), msg.Settle{Tokens: 1}); err != nil {
		t.Fatal(err)
	}
	b.next(t)
}

// A peer has ended. Frames queued for it must be dropped, as they would arrive too late, and
// counted as lost. A peer that restarts under the same name must receive later messages.
func TestDeadPeerCountsLostFrames(t *testing.T) {
	a, b := newTestTransport(t, "a"), newTestTransport(t, "b")
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	var lost atomic.Int64
	a.OnDropped = func(_ string, n int) { lost.Add(int64(n)) }
	if err := a.Send("b", closed.Addr().String(), msg.Settle{Tokens: 1}); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, 20*time.Second, "the lost frame is counted", func() bool { return lost.Load() == 1 })
	if err := a.Send("b", b.Address(), msg.Settle{Tokens: 2}); err != nil {
		t.Fatal(err)
	}
	if got := b.next(t).(msg.Settle).Tokens; got != 2 {
		t.Errorf("first message after the restart = %d, want 2", got)
	}
}

// Bytes that are not a valid frame must end the connection on which they arrive, and no other
// connection.
func TestGarbageEndsOnlyItsConnection(t *testing.T) {
	a, b := newTestTransport(t, "a"), newTestTransport(t, "b")
	conn, err := net.Dial("tcp", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: b\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(conn).ReadByte(); err == nil {
		t.Error("the connection returned a byte, want it closed")
	}
	if err := a.Send("b", b.Address(), msg.Settle{Tokens: 1}); err != nil {
		t.Fatal(err)
	}
	b.next(t)
}

// An idle queue must take little memory: at the target size an instance has 389.
func TestQueueMemory(t *testing.T) {
	const queueCount = 20_000 // makes other changes of the process's memory insignificant
	before := memoryInUse()
	queues := make([]*queue, queueCount)
	for k := range queues {
		queues[k] = newQueue(unlimited{})
		queues[k].push(nil)
		queues[k].take()
	}
	perQueue := (memoryInUse() - before) / queueCount
	t.Logf("bytes_per_idle_queue=%d", perQueue)
	if perQueue > 512 {
		t.Errorf("an idle queue uses %d bytes, want at most 512", perQueue)
	}
	runtime.KeepAlive(queues)
}

// unknownMessage is a message of a kind that this release does not know.
type unknownMessage struct{}

func (unknownMessage) Kind() msg.Kind { return 200 }

// A message of a kind that only a later release knows must not cost the messages around it.
func TestMessagesOfUnknownKindsAreIgnored(t *testing.T) {
	a, b := newTestTransport(t, "a"), newTestTransport(t, "b")
	for _, m := range []msg.Message{msg.Settle{Tokens: 1}, unknownMessage{}, msg.Settle{Tokens: 2}} {
		if err := a.Send("b", b.Address(), m); err != nil {
			t.Fatal(err)
		}
	}
	for want := 1; want <= 2; want++ {
		if got := b.next(t).(msg.Settle).Tokens; got != want {
			t.Errorf("message %d received, want %d", got, want)
		}
	}
}

// limitedMemory is a Memory with a limit.
type limitedMemory struct{ limit, inUse atomic.Int64 }

func (m *limitedMemory) Reserve(n int) bool {
	if m.inUse.Add(int64(n)) <= m.limit.Load() {
		return true
	}
	m.inUse.Add(int64(-n))
	return false
}

func (m *limitedMemory) Release(n int) { m.inUse.Add(int64(-n)) }

// Queues for many peers that read nothing together exceed the memory of the process, although each of
// them is limited. What is reserved must be released once when the messages are written, when a
// connection is reset and when it breaks: otherwise no message can be sent any more.
func TestQueuedMessagesAreAccountedFor(t *testing.T) {
	paused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer paused.Close()
	a, b := newTestTransport(t, "a"), newTestTransport(t, "b")
	memory := &limitedMemory{}
	memory.limit.Store(8 << 20)
	a.Memory = memory
	big := msg.ExplainResponse{Lines: []string{string(make([]byte, 64<<10))}}
	dropped := 0
	for k := range 400 {
		if a.Send(fmt.Sprintf("paused-%d", k%4), paused.Addr().String(), big) != nil {
			dropped++
		}
	}
	if n := memory.inUse.Load(); dropped == 0 || n > 8<<20 || n < 4<<20 {
		t.Errorf("%d of 400 messages dropped with %d bytes reserved, want drops and up to 8 MB", dropped, n)
	}
	for k := range 4 {
		a.Reset(fmt.Sprintf("paused-%d", k))
	}
	testkit.Eventually(t, 20*time.Second, "the memory of reset connections is released", func() bool { return memory.inUse.Load() == 0 })
	if err := a.Send("b", b.Address(), big); err != nil {
		t.Fatal(err)
	}
	b.next(t)
	paused.Close()
	if err := a.Send("ended", paused.Addr().String(), big); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, 20*time.Second, "the memory of written and lost messages is released", func() bool { return memory.inUse.Load() == 0 })
}
