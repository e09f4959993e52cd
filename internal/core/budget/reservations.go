package budget

import (
	"slices"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/config"
)

// reservation is a part of the limit held for one attempt.
type reservation struct {
	request string
	amount  config.Money
	epoch   int
	// entry and boot identify the instance that holds the reservation and its process run.
	entry   string
	boot    string
	expires time.Time
}

// reservations are the reservations of an account. Most of the 31,000 accounts expected at the
// target size have none or a few; a map would cost each of them a kilobyte.
type reservations []reservation

func (rs reservations) find(request string) int {
	return slices.IndexFunc(rs, func(r reservation) bool { return r.request == request })
}

// take removes the reservation of a request and returns it.
func (rs *reservations) take(request string) (reservation, bool) {
	n := rs.find(request)
	if n < 0 {
		return reservation{}, false
	}
	r := (*rs)[n]
	*rs = slices.Delete(*rs, n, n+1)
	return r, true
}
