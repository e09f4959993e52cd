package config

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// shownDigestDigits is the number of digits of an API key's digest that a diff shows.
const shownDigestDigits = 12

// Diff returns one line for each field that differs between two configurations: "+" for an
// added, "-" for a removed and "~" for a changed field. Objects in lists are identified by
// their names, so that a different position in a list is not a difference.
func Diff(from, to *Config) []string {
	before, after := fieldValues(from), fieldValues(to)
	all := map[string]string{}
	for k, v := range before {
		all[k] = v
	}
	for k, v := range after {
		all[k] = v
	}
	var lines []string
	for _, k := range sortedKeys(all) {
		a, inBefore := before[k]
		b, inAfter := after[k]
		switch {
		case !inBefore:
			lines = append(lines, fmt.Sprintf("+ %s: %s", k, redact(k, b)))
		case !inAfter:
			lines = append(lines, fmt.Sprintf("- %s: %s", k, redact(k, a)))
		case a != b:
			lines = append(lines, fmt.Sprintf("~ %s: %s -> %s", k, redact(k, a), redact(k, b)))
		}
	}
	return lines
}

// redact replaces values that must not appear in the history of a terminal.
func redact(field, value string) string {
	if field == "deployment.stream_key" {
		return "(secret)"
	}
	return value
}

// fieldValues maps the path of each field that is set to its value in YAML.
func fieldValues(c *Config) map[string]string {
	out := map[string]string{}
	raw, err := yaml.Marshal(c)
	if err != nil { // cannot happen: every type in Config can be encoded
		panic(err)
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(raw, &doc); err != nil {
		panic(err)
	}
	flattenNode(out, "", doc.Content[0])
	return out
}

// flattenNode adds the values of a node and its children to out.
func flattenNode(out map[string]string, path string, n *yaml.Node) {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			flattenNode(out, join(path, n.Content[i].Value), n.Content[i+1])
		}
	case yaml.SequenceNode:
		flattenList(out, path, n)
	default:
		if n.Value != "" {
			out[path] = n.Value
		}
	}
}

// flattenList adds the values of a list to out. The path of an object contains its name, and a
// list of plain values is joined to one value.
func flattenList(out map[string]string, path string, n *yaml.Node) {
	var values []string
	for _, item := range n.Content {
		if item.Kind == yaml.MappingNode {
			flattenNode(out, path+"["+nameOf(item)+"]", item)
			continue
		}
		v := item.Value
		if strings.HasSuffix(path, "key_sha256") && len(v) > shownDigestDigits {
			v = v[:shownDigestDigits] + "…"
		}
		values = append(values, v)
	}
	if len(values) > 0 {
		out[path] = strings.Join(values, ", ")
	}
}

// nameOf returns the value of the field "name" of an object, or "".
func nameOf(object *yaml.Node) string {
	for i := 0; i+1 < len(object.Content); i += 2 {
		if object.Content[i].Value == "name" {
			return object.Content[i+1].Value
		}
	}
	return ""
}
