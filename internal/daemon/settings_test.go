package daemon

import (
	"strings"
	"testing"
)

const validSettings = `name: entry-1
data_centre: kochi-a
caller_address: 10.0.0.7:7001
peer_address: 10.0.0.7:7002
operator_address: "[::1]:0"
platform: http://10.0.0.2:8080
`

func TestParseSettings(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"valid", "", "", ""},
		{"unknown field", "platform", "platfrom", "s.yaml:6: platfrom: unknown field; one of name, "},
		{"missing name", "name: entry-1\n", "", "s.yaml:1: name: is missing; it must be set"},
		{"name with a colon", "entry-1", "'entry:1'", `s.yaml:1: name: "entry:1" is not allowed; 1 to 63 letters`},
		{"host name", "10.0.0.7:7001", "localhost:7001", `s.yaml:3: caller_address: "localhost:7001" is not allowed; IP:port`},
		{"unspecified address", "10.0.0.7:7002", "0.0.0.0:7002", `s.yaml:4: peer_address: "0.0.0.0:7002" is not allowed; IP:port`},
		{"platform without a scheme", "http://10.0.0.2", "10.0.0.2", `s.yaml:6: platform: "10.0.0.2:8080" is not allowed; a URL`},
		{"unknown log level", "platform: ", "log_level: loud\nplatform: ", `s.yaml:6: log_level: "loud" is not allowed; one of debug, info`},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, err := ParseSettings("s.yaml", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
			switch {
			case c.want == "" && (err != nil || s.Name != "entry-1" || s.LogLevel != "info"):
				t.Errorf("settings = %+v, error = %v; want name entry-1, log level info and no error", s, err)
			case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
				t.Errorf("error = %v, want one that contains %q", err, c.want)
			}
		})
	}
}
