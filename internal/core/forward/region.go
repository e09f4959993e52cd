package forward

import "slices"

// restrict intersects the regions allowed by a route and an organisation; an empty list allows
// all. It reports false if nothing is left.
func restrict(byRoute, byOrganisation []string) (regions []string, ok bool) {
	switch {
	case len(byRoute) == 0:
		return byOrganisation, true
	case len(byOrganisation) == 0:
		return byRoute, true
	}
	for _, r := range byRoute {
		if slices.Contains(byOrganisation, r) {
			regions = append(regions, r)
		}
	}
	return regions, len(regions) > 0
}

// inRegion reports whether a call may run in a data centre. A data centre of unknown region is
// allowed only to unrestricted calls.
func (g *Gate) inRegion(c *Call, dataCentre string) bool {
	return len(c.Regions) == 0 || slices.Contains(c.Regions, g.options.Regions[dataCentre])
}

// allowedDataCentres lists the data centres that a call may run in; nil means all.
func (g *Gate) allowedDataCentres(c *Call) []string {
	if len(c.Regions) == 0 {
		return nil
	}
	out := []string{}
	for dc := range g.options.Regions {
		if g.inRegion(c, dc) {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}
