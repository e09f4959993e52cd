package peer

import (
	"net"
	"sync"
)

const (
	// maxQueueFrames and maxQueueBytes limit the queue for one peer. Frames beyond these limits
	// are dropped; every sender has a timeout and repeats its request.
	maxQueueFrames = 4096
	maxQueueBytes  = 4 << 20
)

// queue holds the frames waiting to be sent to one peer. It allocates memory only for waiting
// frames: a channel with the same capacity takes 98 KB for each of 389 peers.
type queue struct {
	// ready receives a value when frames are waiting.
	ready chan struct{}

	// memory is where the bytes of waiting frames and of those being written are reserved.
	memory Memory

	mu     sync.Mutex
	frames net.Buffers
	bytes  int // total size of frames
	// writing is the total size of the frames that are being written.
	writing int
	// unwritten is the number of frames that are waiting or being written.
	unwritten int
	closed    bool
}

func newQueue(m Memory) *queue { return &queue{ready: make(chan struct{}, 1), memory: m} }

// Memory accounts for the memory of queued frames. Its methods must not block.
type Memory interface {
	// Reserve reserves n bytes and reports whether they are available.
	Reserve(n int) bool
	// Release returns n reserved bytes.
	Release(n int)
}

// unlimited is the Memory of a transport without an account.
type unlimited struct{}

func (unlimited) Reserve(int) bool { return true }
func (unlimited) Release(int)      {}

// push adds a frame. It returns false if the queue is full or closed.
func (q *queue) push(frame []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.frames) >= maxQueueFrames || q.bytes+len(frame) > maxQueueBytes || !q.memory.Reserve(len(frame)) {
		return false
	}
	q.frames = append(q.frames, frame)
	q.bytes += len(frame)
	q.unwritten++
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// take removes and returns all waiting frames, oldest first.
func (q *queue) take() net.Buffers {
	q.mu.Lock()
	defer q.mu.Unlock()
	frames := q.frames
	q.writing += q.bytes
	q.frames, q.bytes = nil, 0
	return frames
}

// done records that a number of frames returned by take have been written or lost.
func (q *queue) done(frames int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unwritten -= frames
	q.memory.Release(q.writing)
	q.writing = 0
}

// discard drops all frames of a link that has ended.
func (q *queue) discard() {
	q.done(len(q.take()))
}

// empty reports whether every frame has been written or lost.
func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unwritten == 0
}

// closeIfEmpty closes the queue if no frames are waiting and reports whether it did.
func (q *queue) closeIfEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = len(q.frames) == 0
	return q.closed
}
