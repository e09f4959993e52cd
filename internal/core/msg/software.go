package msg

// WithSoftware carries a message together with the software versions of the upstreams that it names, in the
// order in which it names them. Earlier releases know the message without them, and could not decode one
// with a further field. Exactly one message is set.
//
// Of a request for a grant it states the software to which the request is bound.
type WithSoftware struct {
	Request  *RankedGrantRequest
	Grant    *GrantResponse
	Move     *MoveOrder
	Sync     *SyncResponse
	Software []string
}

// Kind implements Message.
func (WithSoftware) Kind() Kind { return KindWithSoftware }

// AddSoftware returns the form of a message that also states the software of upstreams, for a receiver that
// understands it. A message that names none is returned as it is.
func AddSoftware(m Message) Message {
	switch m := m.(type) {
	case RankedGrantRequest:
		if software := m.Grant.Request.Software; software != "" {
			return WithSoftware{Request: &m, Software: []string{software}}
		}
	case GrantResponse:
		if m.Entry != nil {
			return WithSoftware{Grant: &m, Software: []string{m.Entry.Software}}
		}
	case MoveOrder:
		if m.ToSoftware != "" {
			return WithSoftware{Move: &m, Software: []string{m.ToSoftware}}
		}
	case SyncResponse:
		if m.List != nil && m.List.StatesSoftware {
			return WithSoftware{Sync: &m, Software: m.List.Software()}
		}
	}
	return m
}

// Message returns the message that is carried, with the software of the upstreams; nil if there is none. If
// the number of versions does not fit the message, they are left out: all are then unknown.
func (w WithSoftware) Message() Message {
	first := ""
	if len(w.Software) == 1 {
		first = w.Software[0]
	}
	switch {
	case w.Request != nil:
		m := *w.Request
		m.Grant.Request.Software = first
		return m
	case w.Grant != nil:
		m := *w.Grant
		if m.Entry != nil {
			m.Entry.Software = first
		}
		return m
	case w.Move != nil:
		m := *w.Move
		m.ToSoftware = first
		return m
	case w.Sync != nil:
		m := *w.Sync
		if m.List != nil {
			m.List.SetSoftware(w.Software)
		}
		return m
	}
	return nil
}
