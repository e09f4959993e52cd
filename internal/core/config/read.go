package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// fileReader decodes the YAML of one file into a Config. It records the position of each field
// and every problem.
type fileReader struct {
	*findings
	file  string
	order int
	// offsets holds the number of elements that earlier files contribute to each top-level
	// list, so that paths contain the index in the merged list.
	offsets map[string]int
}

// documentField is the field of problems that concern the whole file.
const documentField = "document"

// yamlErrorPattern matches the line number and the text in an error of the YAML library.
var yamlErrorPattern = regexp.MustCompile(`line (\d+): (.*)`)

// decodeConfig returns the configuration in the file. ok is false if the file is not one YAML
// document.
func (r *fileReader) decodeConfig(data []byte) (part Config, ok bool) {
	doc, ok := r.parseDocument(data)
	if ok {
		r.decodeValue(doc, reflect.ValueOf(&part).Elem(), "")
	}
	return part, ok
}

// parseDocument returns the root node of the file, which must contain exactly one YAML
// document.
func (r *fileReader) parseDocument(data []byte) (root *yaml.Node, ok bool) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var first, second yaml.Node
	err := dec.Decode(&first)
	switch {
	case errors.Is(err, io.EOF) || err == nil && isNull(first.Content[0]):
		r.addAt(r.position(1), documentField, "the file is empty", "each file holds one YAML document")
		return nil, false
	case err != nil:
		r.addSyntaxError(err)
		return nil, false
	}
	switch err := dec.Decode(&second); {
	case err == nil:
		r.addAt(r.position(second.Line), documentField, "a second document begins here", "each file holds one YAML document")
	case !errors.Is(err, io.EOF):
		r.addSyntaxError(err)
	default:
		return first.Content[0], true
	}
	return nil, false
}

// isNull reports whether a node is the YAML null value.
func isNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == "!!null" }

// position returns a position in the file.
func (r *fileReader) position(line int) position {
	return position{file: r.file, line: max(line, 1), order: r.order}
}

// addSyntaxError records an error of the YAML library as a problem.
func (r *fileReader) addSyntaxError(err error) {
	line, text := 1, strings.TrimPrefix(err.Error(), "yaml: ")
	if m := yamlErrorPattern.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1]) // cannot fail: the pattern matches digits only
		text = m[2]
	}
	text, _, _ = strings.Cut(text, "\n")
	r.addAt(r.position(line), documentField, "invalid YAML: "+text, "each file holds one YAML document")
}

// addProblem records a problem at the position of a node.
func (r *fileReader) addProblem(n *yaml.Node, field, wrong, allowed string) {
	r.addAt(r.position(n.Line), fieldOrDocument(field), wrong, allowed)
}

// decodeValue decodes a node into a value; field is the path of the node.
func (r *fileReader) decodeValue(n *yaml.Node, v reflect.Value, field string) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		r.addProblem(n, field, "anchors and aliases are not supported", "write the value out")
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		r.decodeStruct(n, v, field)
	case reflect.Slice:
		r.decodeList(n, v, field)
	case reflect.Map:
		r.decodeMap(n, v, field)
	default:
		r.decodeScalar(n, v, field)
	}
}

// join returns the path of a key in the object at path field.
func join(field, key string) string {
	if field == "" {
		return key
	}
	return field + "." + key
}

// eachKey calls f for each key of a mapping with its value and path. It reports repeated keys
// as problems.
func (r *fileReader) eachKey(n *yaml.Node, field string, f func(key *yaml.Node, value *yaml.Node, path string)) {
	if n.Kind != yaml.MappingNode {
		r.addProblem(n, field, "is "+kindName(n), "a mapping of fields to values")
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		path := join(field, key.Value)
		if line, ok := seen[key.Value]; ok {
			r.addProblem(key, path, fmt.Sprintf("is already set at line %d", line), "each field at most once")
			continue
		}
		seen[key.Value] = key.Line
		f(key, value, path)
	}
}

// fieldOrDocument returns the path, or documentField for the root.
func fieldOrDocument(field string) string {
	if field == "" {
		return documentField
	}
	return field
}

// decodeStruct decodes a mapping into a struct.
func (r *fileReader) decodeStruct(n *yaml.Node, v reflect.Value, field string) {
	names, byName := yamlFields(v.Type())
	r.eachKey(n, field, func(key, value *yaml.Node, path string) {
		i, ok := byName[key.Value]
		if !ok {
			r.addProblem(key, path, "unknown field", "one of "+strings.Join(names, ", "))
			return
		}
		if isNull(value) {
			r.addProblem(key, path, "has no value", "a value, or leave the field out")
			return
		}
		r.positions[path] = r.position(key.Line)
		r.decodeValue(value, v.Field(i), path)
	})
}

// yamlFields returns the YAML names of a struct's fields, and the index of each field by name.
func yamlFields(t reflect.Type) (names []string, byName map[string]int) {
	byName = map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		names = append(names, name)
		byName[name] = i
	}
	return names, byName
}

// decodeList decodes a sequence into a slice.
func (r *fileReader) decodeList(n *yaml.Node, v reflect.Value, field string) {
	if n.Kind != yaml.SequenceNode {
		r.addProblem(n, field, "is "+kindName(n), "a list")
		return
	}
	for i, item := range n.Content {
		path := fmt.Sprintf("%s[%d]", field, i+r.offsets[field])
		r.positions[path] = r.position(item.Line)
		e := reflect.New(v.Type().Elem()).Elem()
		r.decodeValue(item, e, path)
		v.Set(reflect.Append(v, e))
	}
}

// decodeMap decodes a mapping into a map whose keys are strings.
func (r *fileReader) decodeMap(n *yaml.Node, v reflect.Value, field string) {
	v.Set(reflect.MakeMap(v.Type()))
	r.eachKey(n, field, func(key, value *yaml.Node, _ string) {
		path := field + "[" + key.Value + "]"
		r.positions[path] = r.position(key.Line)
		e := reflect.New(v.Type().Elem()).Elem()
		r.decodeValue(value, e, path)
		v.SetMapIndex(reflect.ValueOf(key.Value), e)
	})
}

// decodeScalar decodes a scalar node into a value of a basic type.
func (r *fileReader) decodeScalar(n *yaml.Node, v reflect.Value, field string) {
	if n.Kind != yaml.ScalarNode || isNull(n) {
		r.addProblem(n, field, "is "+kindName(n), allowedScalar(v))
		return
	}
	if !setScalar(n, v) {
		r.addProblem(n, field, fmt.Sprintf("%q is not valid", n.Value), allowedScalar(v))
	}
}

// setScalar stores the value of a scalar node in v and reports whether it is valid for the type
// of v.
func setScalar(n *yaml.Node, v reflect.Value) bool {
	var err error
	switch p := v.Addr().Interface().(type) {
	case *Duration:
		*p, err = ParseDuration(n.Value)
	case *Money:
		*p, err = ParseMoney(n.Value)
	case *float64:
		*p, err = strconv.ParseFloat(n.Value, 64)
		if math.IsNaN(*p) || math.IsInf(*p, 0) {
			return false
		}
	case *int:
		*p, err = strconv.Atoi(n.Value)
	case *bool:
		*p, err = strconv.ParseBool(n.Value)
	case *string:
		*p = n.Value
		return n.Tag != "!!bool" && n.Tag != "!!binary"
	}
	return err == nil
}

// allowedScalar describes the valid values for the type of v.
func allowedScalar(v reflect.Value) string {
	switch v.Addr().Interface().(type) {
	case *Duration:
		return "a duration with its unit, such as 250ms, 30s or 10m"
	case *Money:
		return "a decimal amount with at most six decimal places, such as 12.50"
	case *float64:
		return "a number"
	case *int:
		return "a whole number"
	case *bool:
		return "true or false"
	default:
		return "a string, in quotes if YAML would read another type"
	}
}

// kindName describes the kind of a node in a problem.
func kindName(n *yaml.Node) string {
	switch {
	case n.Kind == yaml.SequenceNode:
		return "a list"
	case n.Kind == yaml.MappingNode:
		return "a mapping"
	case isNull(n):
		return "empty"
	default:
		return "a single value"
	}
}
