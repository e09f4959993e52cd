package proctest

import (
	"time"

	"mulberrylug.example/mulberrylug/internal/standin/hosting"
)

// memoryLimitKB is the memory of an instance's machine in the stand-in platform.
const memoryLimitKB = 120 << 10

// sendWithoutEnd makes an upstream respond without an end at times, or the store to an instance or to all.
func (s *soak) sendWithoutEnd() {
	d := time.Duration(200+s.endlessRand.IntN(1300)) * time.Millisecond
	switch s.endlessRand.IntN(12) {
	case 0, 1:
		list := append(append([]*hosting.Worker(nil), s.pool...), s.desk...)
		w, kind := list[s.endlessRand.IntN(len(list))], hosting.EndlessKinds[s.endlessRand.IntN(len(hosting.EndlessKinds))]
		if kind.Signed || kind.Served {
			return // a caller may get the beginning of it
		}
		s.endlessSpells++
		w.SetEndless(&kind, endlessMost)
		time.AfterFunc(d, func() { w.SetEndless(nil, 0) })
	case 2:
		mode := []hosting.Mode{hosting.EndlessHead, hosting.EndlessBody}[s.endlessRand.IntN(2)]
		instance := s.machines[s.endlessRand.IntN(len(s.machines))].Name
		s.endlessSpells++
		s.Table.SetFor(instance, mode)
		from := time.Now()
		s.storeFaults = append(s.storeFaults, disturbance{instance: instance, from: from, to: from.Add(d)})
		time.AfterFunc(d, func() { s.Table.SetFor(instance, hosting.Well) })
	}
}

// checkMemory checks that no instance has exceeded the memory of its machine.
func (s *soak) checkMemory() {
	for k, peak := range s.peaksKB(s.t) {
		if peak > memoryLimitKB {
			s.t.Errorf("%s: peak memory %d KB, want at most %d KB", s.procs[k].name, peak, memoryLimitKB)
		}
	}
}
