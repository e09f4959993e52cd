//go:build !race

package placement_test

// underRace reports whether the race detector is enabled.
const underRace = false
