package forward

import (
	"testing"

	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

var twoRegions = map[string]string{"dc-a": "north", "dc-b": "south", "dc-c": "south"}

// A route, an organisation or both restrict requests to regions. No attempt may go to an
// upstream in another region, even if it is nearer, and the grant request must contain the
// restriction.
func TestRestrictedRequestsStayInTheirRegions(t *testing.T) {
	for _, c := range []struct {
		name                    string
		byRoute, byOrganisation []string
		region                  string
		reason                  Reason
	}{
		{name: "by the route", byRoute: []string{"south"}, region: "south"},
		{name: "by the organisation", byOrganisation: []string{"south"}, region: "south"},
		{name: "by both", byRoute: []string{"north", "south"}, byOrganisation: []string{"south", "east"}, region: "south"},
		{name: "no region in common", byRoute: []string{"north"}, byOrganisation: []string{"south"}, reason: NoRegion},
		{name: "a region without upstreams", byRoute: []string{"east"}, reason: OtherRegions},
	} {
		g := spreadGate(t, 2, twoRegions, func(conf *route.Config) {
			for k := range conf.Routes {
				conf.Routes[k].Regions = c.byRoute
			}
			conf.Organisations[0].Regions = c.byOrganisation
		})
		for range 20 {
			call, refusal := g.Admit(start, request("/safe/1"))
			if refusal != nil {
				if refusal.Reason != c.reason {
					t.Fatalf("%s: refusal at admission %+v, want none, or one with the reason of the case", c.name, refusal)
				}
				continue
			}
			s := g.Start(start, call)
			if c.reason != "" {
				if s.Refuse == nil || s.Refuse.Reason != c.reason || s.Refuse.RetryAfter == 0 {
					t.Fatalf("%s: step %+v, want a refusal with the reason of the case and a Retry-After", c.name, s)
				}
				continue
			}
			for n := 0; s.Send != nil; n++ {
				if got := twoRegions[s.Send.Entry.DataCentre]; got != c.region {
					t.Fatalf("%s: attempt %d goes to region %s, want an allowed region", c.name, n+1, got)
				}
				s = g.Ended(start, call, Lost, false)
			}
			for _, dc := range g.GrantRequest(start, call).Request.DataCentres {
				if twoRegions[dc] != c.region {
					t.Errorf("%s: grant request allows data centre %s, want only those in allowed regions", c.name, dc)
				}
			}
		}
	}
}

// The grant request of an unrestricted call lists no data centres, so that a deployment with
// one region does no region look-ups.
func TestUnrestrictedRequestsListNoDataCentres(t *testing.T) {
	g := spreadGate(t, 1, twoRegions, nil)
	c := admit(t, g, request("/stream/1"))
	if req := g.GrantRequest(start, c); req.Request.DataCentres != nil {
		t.Errorf("grant request %+v, want no data centres", req)
	}
}

// A service is divided into groups, and requests are restricted to a region. The instance
// must choose from groups in that region and request grants from pools there.
func TestRestrictedRequestsUseGroupsInTheirRegions(t *testing.T) {
	g := largeGate(t)
	g.options.Regions = twoRegions
	conf := config(4)
	conf.Services[0].Engine = &route.Engine{Slots: 24}
	for k := range conf.Routes {
		conf.Routes[k].Regions = []string{"south"}
		conf.Routes[k].Generation = conf.Routes[k].Kind == route.Stream
	}
	g.Adopt(route.NewTable(conf))
	south := 0
	for _, group := range g.OwnGroups() {
		if twoRegions[group.DataCentre] == "south" {
			south++
		}
	}
	if south == 0 {
		t.Errorf("own groups %v, want some in region south", g.OwnGroups())
	}
	for range 20 {
		c := admit(t, g, request("/stream/1"))
		if s := g.Start(start, c); !s.RequestGrant || twoRegions[roster.ParseGroup(c.Pool).DataCentre] != "south" {
			t.Fatalf("pool %q, step %+v, want a grant request to a pool in region south", c.Pool, s)
		}
	}
}
