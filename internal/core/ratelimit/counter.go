package ratelimit

import "time"

const (
	// Window is the time over which requests are counted.
	Window = 4 * time.Second
	// counterBuckets is the number of buckets in a window.
	counterBuckets = 8
	bucketWidth    = Window / counterBuckets
)

// Counter counts events in the last Window, to within the width of a bucket. The zero value is
// ready for use.
type Counter struct {
	buckets [counterBuckets]int
	// current is the number of the newest bucket, counted since the Unix epoch.
	current int64
}

// Add counts an event.
func (c *Counter) Add(now time.Time) {
	c.advance(now)
	c.buckets[c.current%counterBuckets]++
}

// Total returns the number of events in the last Window.
func (c *Counter) Total(now time.Time) (total int) {
	c.advance(now)
	for _, n := range c.buckets {
		total += n
	}
	return total
}

// Since returns the number of events in a duration before now, of at most a Window.
func (c *Counter) Since(now time.Time, d time.Duration) (total int) {
	c.advance(now)
	for k := range min(int64(d/bucketWidth)+1, counterBuckets) {
		total += c.buckets[(c.current-k+counterBuckets)%counterBuckets]
	}
	return total
}

// advance clears the buckets that have left the window.
func (c *Counter) advance(now time.Time) {
	at := now.UnixNano() / int64(bucketWidth)
	for k := max(c.current+1, at-counterBuckets+1); k <= at; k++ {
		c.buckets[k%counterBuckets] = 0
	}
	c.current = max(c.current, at)
}
