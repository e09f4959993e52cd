package roster

// Origin is what decides where a stream may go on: the service, the software version and the run of the
// upstream that made its first event.
type Origin struct {
	Service string
	// Software is the software version; "" if unknown.
	Software string
	Run      Run
}

// Origin returns the origin of streams that begin at the entry's upstream.
func (e Entry) Origin() Origin {
	return Origin{Service: e.Service, Software: e.Software, Run: e.Run()}
}

// Admits reports whether the upstream of an entry may go on with a stream of this origin. What two software
// versions write does not fit together. Versions are equal or different and have no order; an unknown one
// equals none, so that only the run that began a stream of unknown software may go on with it.
func (o Origin) Admits(e Entry) bool {
	switch {
	case e.Service != o.Service:
		return false
	case o.Software == "" || e.Software == "":
		return o.Run.Born != 0 && e.Run() == o.Run
	}
	return e.Software == o.Software
}
