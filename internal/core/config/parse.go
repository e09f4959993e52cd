package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const (
	// microsPerUnit is the number of Money values per currency unit.
	microsPerUnit = 1_000_000
	// moneyDecimals is the number of decimal places of an amount.
	moneyDecimals = 6
)

// ParseDuration parses a duration with its unit, such as "250ms".
func ParseDuration(s string) (Duration, error) {
	d, err := time.ParseDuration(s)
	return Duration(d), err
}

// MarshalYAML returns the duration in the form that ParseDuration accepts.
func (d Duration) MarshalYAML() (any, error) { return d.D().String(), nil }

// amountPattern matches amounts of less than a trillion units, so that sums of them cannot
// overflow.
var amountPattern = regexp.MustCompile(`^-?[0-9]{1,12}(\.[0-9]{1,6})?$`)

// ParseMoney parses a decimal amount, such as "12.50".
func ParseMoney(s string) (Money, error) {
	if !amountPattern.MatchString(s) {
		return 0, fmt.Errorf("parse amount: %q is not a decimal number such as 12.50", s)
	}
	units, frac, _ := strings.Cut(s, ".")
	v, err := strconv.ParseInt(units+frac+strings.Repeat("0", moneyDecimals-len(frac)), 10, 64)
	return Money(v), err
}

// String returns the amount as a decimal without trailing zeros.
func (m Money) String() string {
	sign, v := "", int64(m)
	if v < 0 {
		sign, v = "-", -v
	}
	s := fmt.Sprintf("%s%d.%06d", sign, v/microsPerUnit, v%microsPerUnit)
	return strings.TrimSuffix(strings.TrimRight(s, "0"), ".")
}

// MarshalYAML returns the amount in the form that ParseMoney accepts.
func (m Money) MarshalYAML() (any, error) { return m.String(), nil }

// File is a configuration file with its name and content.
type File struct {
	Name string
	Data []byte
}

// Parse merges the files into one configuration, sets the defaults and checks the result. The
// error is of type Problems and lists every problem found.
func Parse(files []File) (*Config, error) {
	found := newFindings()
	if len(files) > 0 {
		found.start = position{file: files[0].Name, line: 1}
	}
	cfg := &Config{}
	allReadable := true
	for order, f := range files {
		r := &fileReader{findings: found, file: f.Name, order: order, offsets: cfg.lengths()}
		part, ok := r.decodeConfig(f.Data)
		allReadable = allReadable && ok
		cfg.merge(part, r)
	}
	// If a file could not be read, fields and names that it may contain are not reported as
	// missing or unknown: only the problem of the file itself is.
	if allReadable {
		cfg.setDefaults(found.has)
		cfg.check(found)
	}
	if err := found.err(); err != nil {
		return nil, err
	}
	return cfg, nil
}

// lengths returns the number of elements of each top-level list.
func (c *Config) lengths() map[string]int {
	return map[string]int{
		"organisations": len(c.Organisations), "models": len(c.Models),
		"services": len(c.Services), "upstreams": len(c.Upstreams),
	}
}

// merge adds the content of one file. Lists are concatenated; only one file may set the
// deployment.
func (c *Config) merge(part Config, r *fileReader) {
	if at, ok := r.positions["deployment"]; ok && at.order == r.order {
		if first := r.deployment; first.file != "" {
			r.addAt(at, "deployment", fmt.Sprintf("is already set at %s:%d", first.file, first.line), "one deployment in all files")
		} else {
			c.Deployment, r.deployment = part.Deployment, at
		}
	}
	c.Organisations = append(c.Organisations, part.Organisations...)
	c.Models = append(c.Models, part.Models...)
	c.Services = append(c.Services, part.Services...)
	c.Upstreams = append(c.Upstreams, part.Upstreams...)
}

// Encode returns the configuration as the JSON object that is published, and the object's hash
// as hex SHA-256, under which it is published.
func (c *Config) Encode() (object []byte, hash string, err error) {
	object, err = json.Marshal(c)
	if err != nil {
		return nil, "", fmt.Errorf("encode configuration: %w", err)
	}
	sum := sha256.Sum256(object)
	return object, hex.EncodeToString(sum[:]), nil
}

// Decode decodes a published object after checking it against its hash.
func Decode(object []byte, hash string) (*Config, error) {
	sum := sha256.Sum256(object)
	if hex.EncodeToString(sum[:]) != hash {
		return nil, fmt.Errorf("decode configuration: object does not match hash %s", hash)
	}
	cfg := &Config{}
	if err := json.Unmarshal(object, cfg); err != nil {
		return nil, fmt.Errorf("decode configuration %s: %w", hash, err)
	}
	return cfg, nil
}

// ParseObject parses a single file into the struct that v points to, as strictly as Parse.
// Every field of the struct must have a yaml tag and can have a validate tag. The error is of
// type Problems.
func ParseObject(f File, v any) error {
	found := newFindings()
	found.start = position{file: f.Name, line: 1}
	r := &fileReader{findings: found, file: f.Name}
	if doc, ok := r.parseDocument(f.Data); ok {
		r.decodeValue(doc, reflect.ValueOf(v).Elem(), "")
		checkRules(found, v)
	}
	return found.err()
}
