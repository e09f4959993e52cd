package config

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"

	"mulberrylug.example/mulberrylug/internal/core/mechanism"
)

// safeNamePattern matches valid names. Names become parts of table keys, paths and log lines,
// so that with a slash, colon or space two different names could result in the same key.
var safeNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// structValidator applies the rules in validate tags, including this project's own rules. It is
// safe for concurrent use.
var structValidator = newStructValidator()

// newStructValidator returns a validator that reports fields by their YAML names.
func newStructValidator() *validator.Validate {
	v := validator.New()
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	register := func(tag string, isValid func(s string) bool) {
		err := v.RegisterValidation(tag, func(fl validator.FieldLevel) bool { return isValid(fl.Field().String()) })
		if err != nil { // only possible for an empty tag or a nil function
			panic(err)
		}
	}
	register("safename", safeNamePattern.MatchString)
	register("ipport", isIPPort)
	register("mechanism", mechanism.Known)
	return v
}

// isIPPort reports whether a string is an IP address with a port that instances can listen on
// and announce to callers and peers. An unspecified address cannot be announced.
func isIPPort(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && !a.Addr().IsUnspecified()
}

// check records every problem of the merged configuration.
func (c *Config) check(f *findings) {
	checkRules(f, c)
	c.checkPrices(f)
	dcs := c.checkRegions(f)
	models := checkUniqueNames(f, "models", c.Models, func(m Model) string { return m.Name })
	services := checkUniqueNames(f, "services", c.Services, func(s Service) string { return s.Name })
	checkUniqueNames(f, "organisations", c.Organisations, func(o Organisation) string { return o.Name })
	checkUniqueNames(f, "upstreams", c.Upstreams, func(u Upstream) string { return u.Name })
	c.checkServices(f, models)
	c.checkOrganisations(f, services)
	c.checkAllowedRegions(f)
	for i, u := range c.Upstreams {
		prefix := fmt.Sprintf("upstreams[%d]", i)
		checkNameExists(f, prefix+".service", u.Service, "service", services)
		checkNameExists(f, prefix+".data_centre", u.DataCentre, "data centre", dcs)
	}
}

// checkAllowedRegions reports regions that the deployment does not have, and services that
// allow none of the regions of an organisation that may call them.
func (c *Config) checkAllowedRegions(f *findings) {
	regions := map[string]bool{}
	for name := range c.Deployment.Regions {
		regions[name] = true
	}
	services := map[string]*Service{}
	for i := range c.Services {
		s := &c.Services[i]
		services[s.Name] = s
		for k, name := range s.AllowedRegions {
			checkNameExists(f, fmt.Sprintf("services[%d].allowed_regions[%d]", i, k), name, "region", regions)
		}
	}
	for i, o := range c.Organisations {
		for k, name := range o.AllowedRegions {
			checkNameExists(f, fmt.Sprintf("organisations[%d].allowed_regions[%d]", i, k), name, "region", regions)
		}
		for k, name := range o.Services {
			if s := services[name]; s != nil && !s.sharesRegion(o.AllowedRegions) {
				f.add(fmt.Sprintf("organisations[%d].services[%d]", i, k), fmt.Sprintf("service %q and the organisation allow no region in common", name), "a service that allows one of the organisation's regions")
			}
		}
	}
}

// sharesRegion reports whether the service allows at least one of the regions; an empty list
// stands for all regions.
func (s *Service) sharesRegion(regions []string) bool {
	return len(regions) == 0 || slices.ContainsFunc(regions, s.AllowsRegion)
}

// checkRules reports the violations of the rules in the validate tags of a struct.
func checkRules(f *findings, v any) {
	err := structValidator.Struct(v)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return
	}
	for _, e := range violations {
		_, field, _ := strings.Cut(e.Namespace(), ".")
		problem, allowed := ruleText(e)
		if !f.has(field) {
			problem = "is missing"
		}
		f.add(field, problem, allowed)
	}
}

// ruleText describes the violation of a rule: what is wrong and what is allowed.
func ruleText(e validator.FieldError) (wrong, allowed string) {
	wrong = fmt.Sprintf("%q is not allowed", fmt.Sprint(e.Value()))
	switch e.Tag() {
	case "safename":
		return wrong, "1 to 63 letters, digits, dots, dashes and underscores, beginning with a letter or digit"
	case "ipport":
		return wrong, "IP:port at which other processes reach this instance, such as 10.0.0.7:7001; port 0 selects a free port"
	case "mechanism":
		return wrong, "one of " + mechanism.Allowed()
	case "http_url":
		return wrong, "a URL such as http://10.0.0.2:8080"
	case "required":
		return "is empty", "it must be set"
	case "min":
		if e.Kind() != reflect.String {
			return "is empty", "at least one element"
		}
		return fmt.Sprintf("has %d characters", len(fmt.Sprint(e.Value()))), "at least " + e.Param() + " characters"
	case "len", "hexadecimal", "lowercase":
		return "is not a key digest", "the SHA-256 of an API key as 64 lower-case hex digits"
	case "oneof":
		return wrong, "one of " + strings.ReplaceAll(e.Param(), " ", ", ")
	case "gt":
		return wrong, "more than " + e.Param()
	case "gte":
		return wrong, "at least " + e.Param()
	default:
		return wrong, "at most " + e.Param()
	}
}

// checkPrices reports prices that are not set. A call without a price would be free, which
// operators must state explicitly.
func (c *Config) checkPrices(f *findings) {
	var prices []string
	for i := range c.Models {
		prefix := fmt.Sprintf("models[%d].", i)
		prices = append(prices, prefix+"prompt_price", prefix+"output_price")
	}
	for i, s := range c.Services {
		if s.Kind == KindPlain {
			prices = append(prices, fmt.Sprintf("services[%d].call_price", i))
		}
	}
	for _, field := range prices {
		if !f.has(field) {
			f.add(field, "is missing", "a decimal amount such as 12.50, 0 for free")
		}
	}
}

// checkRegions reports data centres in several regions and weights that are all 0. It returns
// the set of all data centres.
func (c *Config) checkRegions(f *findings) map[string]bool {
	regionOf := map[string]string{}
	dcs := map[string]bool{}
	for _, region := range sortedKeys(c.Deployment.Regions) {
		for i, dc := range c.Deployment.Regions[region] {
			field := fmt.Sprintf("deployment.regions[%s][%d]", region, i)
			if other, ok := regionOf[dc]; ok {
				f.add(field, fmt.Sprintf("data centre %q is already in region %q", dc, other), "each data centre in exactly one region")
			}
			regionOf[dc], dcs[dc] = region, true
		}
	}
	w := c.Deployment.Weights
	if w.Stall+w.Preemptions+w.Tail == 0 {
		f.add("deployment.weights", "all weights are 0", "at least one weight more than 0")
	}
	return dcs
}

// checkUniqueNames reports duplicate names in a list and returns the set of names.
func checkUniqueNames[T any](f *findings, list string, items []T, name func(T) string) map[string]bool {
	first := map[string]int{}
	set := map[string]bool{}
	for i, item := range items {
		n := name(item)
		field := fmt.Sprintf("%s[%d].name", list, i)
		if j, ok := first[n]; ok && n != "" {
			at := f.positionOf(fmt.Sprintf("%s[%d].name", list, j))
			f.add(field, fmt.Sprintf("%q is already used at %s:%d", n, at.file, at.line), "a unique name")
			continue
		}
		first[n], set[n] = i, true
	}
	return set
}

// checkNameExists reports a name that is not in the set of names of its kind.
func checkNameExists(f *findings, field, name, kind string, set map[string]bool) {
	if name != "" && !set[name] {
		f.add(field, fmt.Sprintf("there is no %s %q", kind, name), "one of "+joinLimited(set))
	}
}

// joinLimited returns the first elements of a set, separated by commas, and the number of the
// others.
func joinLimited(set map[string]bool) string {
	const limit = 10
	all := sortedKeys(set)
	if len(all) > limit {
		return fmt.Sprintf("%s and %d more", strings.Join(all[:limit], ", "), len(all)-limit)
	}
	return strings.Join(all, ", ")
}

// checkServices reports fields that do not apply to the kind of a service, and problems of
// engine services.
func (c *Config) checkServices(f *findings, models map[string]bool) {
	servedBy := map[string]string{}
	for i, s := range c.Services {
		prefix := fmt.Sprintf("services[%d].", i)
		switch s.Kind {
		case KindEngine:
			c.checkEngine(f, prefix, s, models, servedBy)
		case KindPlain:
			if s.Model != "" {
				f.add(prefix+"model", "is set for a plain service", "only services of kind engine have it")
			}
			if s.FirstToken != 0 {
				f.add(prefix+"first_token", "is set for a plain service", "only services of kind engine have it")
			}
		}
	}
}

// checkEngine reports problems of an engine service. servedBy maps models to the services that
// serve them.
func (c *Config) checkEngine(f *findings, prefix string, s Service, models map[string]bool, servedBy map[string]string) {
	switch other := servedBy[s.Model]; {
	case s.Model == "":
		f.add(prefix+"model", "is missing", "one of "+joinLimited(models))
	case other != "":
		f.add(prefix+"model", fmt.Sprintf("model %q is already served by service %q", s.Model, other), "each model served by exactly one service")
	default:
		checkNameExists(f, prefix+"model", s.Model, "model", models)
	}
	servedBy[s.Model] = s.Name
	if s.CallPrice != 0 {
		f.add(prefix+"call_price", "is set for an engine service", "only services of kind plain have it; models have prices for tokens")
	}
	if f.has(prefix+"first_token") && s.FirstToken == 0 {
		f.add(prefix+"first_token", `"0s" is not allowed`, "more than 0")
	}
}

// checkOrganisations reports keys that are used more than once, and services that are listed
// more than once or do not exist.
func (c *Config) checkOrganisations(f *findings, services map[string]bool) {
	owner := map[string]string{}
	for i, o := range c.Organisations {
		prefix := fmt.Sprintf("organisations[%d].", i)
		for j, digest := range o.KeySHA256 {
			field := fmt.Sprintf("%skey_sha256[%d]", prefix, j)
			if other, ok := owner[digest]; ok {
				f.add(field, fmt.Sprintf("organisation %q already has this key", other), "each key in exactly one organisation")
			}
			owner[digest] = o.Name
		}
		seen := map[string]bool{}
		for j, s := range o.Services {
			field := fmt.Sprintf("%sservices[%d]", prefix, j)
			if seen[s] {
				f.add(field, fmt.Sprintf("service %q is already listed", s), "each service at most once")
			}
			seen[s] = true
			checkNameExists(f, field, s, "service", services)
		}
	}
}
