package msg

import (
	"testing"

	"mulberrylug.example/mulberrylug/internal/core/roster"
)

func listOf(software ...string) *roster.ListUpdate {
	l := &roster.ListUpdate{StatesSoftware: true, Groups: []roster.GroupCopy{{}, {}}}
	for k, v := range software {
		g := &l.Groups[k%2]
		g.List = append(g.List, roster.Change{ID: v, Entry: roster.Entry{ID: v, Software: v}})
	}
	return l
}

// without returns a message as it arrives without the software of upstreams.
func without(w WithSoftware) WithSoftware {
	if w.Sync != nil {
		for _, g := range w.Sync.List.Groups {
			for k := range g.List {
				g.List[k].Entry.Software = ""
			}
		}
		w.Sync.List.StatesSoftware = false
	}
	return w
}

// Each upstream of a list must get its own software version, and none may get one if their numbers differ:
// the streams of one version would go on at another.
func TestSoftwareArrivesWithItsUpstream(t *testing.T) {
	w := without(AddSoftware(SyncResponse{List: listOf("v1", "v2", "v3")}).(WithSoftware))
	for _, g := range w.Message().(SyncResponse).List.Groups {
		for _, c := range g.List {
			if c.Entry.Software != c.ID {
				t.Errorf("upstream %s got software %q", c.ID, c.Entry.Software)
			}
		}
	}
	w = without(AddSoftware(SyncResponse{List: listOf("v1", "v2", "v3")}).(WithSoftware))
	w.Software = w.Software[:2]
	if l := w.Message().(SyncResponse).List; l.StatesSoftware || l.Groups[0].List[0].Entry.Software != "" {
		t.Error("software was taken from a message that does not state it for each upstream")
	}
	if _, carried := AddSoftware(SyncResponse{}).(SyncResponse); !carried {
		t.Error("a response without a list is not sent as it is")
	}
}
