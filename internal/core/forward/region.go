package forward

import "slices"

// intersectRegions returns the regions that both a route and an organisation allow; an empty list
// allows all. It reports false if no region is allowed by both.
func intersectRegions(byRoute, byOrganisation []string) (regions []string, ok bool) {
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

// inRegion reports whether a data centre is in a region that a call may run in. A call with
// restricted regions may not use a data centre of unknown region.
func (g *Gate) inRegion(c *Call, dataCentre string) bool {
	return len(c.Regions) == 0 || slices.Contains(c.Regions, g.options.Regions[dataCentre])
}

// allowedDataCentres lists the data centres in the regions that a call may run in; nil means all.
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
