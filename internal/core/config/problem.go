package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode"
)

// Problem is one fault of a configuration file.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1. It is 1 for an empty file.
	Line int `json:"line"`
	// Field is the path of the field, for example organisations[2].limits.spend.
	Field string `json:"field"`
	// Wrong describes the fault, Allowed the values that would be correct.
	Wrong   string `json:"wrong"`
	Allowed string `json:"allowed"`
}

// String returns the problem in one line in the form FILE:LINE: FIELD: wrong; allowed.
func (p Problem) String() string {
	line := fmt.Sprintf("%s:%d: %s: %s; %s", p.File, p.Line, p.Field, p.Wrong, p.Allowed)
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return '?' // a key can contain a newline, but the problem must stay on one line
		}
		return r
	}, line)
}

// Problems is the error for a configuration that must not be applied. It is never empty.
type Problems []Problem

// Error implements error. It returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// position is the file and the line of a field. order is the index of the file, by which
// problems are sorted.
type position struct {
	file  string
	line  int
	order int
}

// findings collects the problems of one configuration and the positions of its fields.
type findings struct {
	// positions holds the positions of the fields that the files set, by path; start is the
	// position of problems in a field if neither it nor an enclosing object is in positions.
	positions map[string]position
	start     position
	// deployment is the position where the files set the deployment; zero if they do not.
	deployment position
	problems   []locatedProblem
	// reported holds the file and field of each problem. Further problems of the same field are
	// dropped, because they would only result from the first.
	reported map[string]bool
}

// locatedProblem is a problem with the index of its file.
type locatedProblem struct {
	Problem
	order int
}

func newFindings() *findings {
	return &findings{positions: map[string]position{}, reported: map[string]bool{}}
}

// has reports whether the files set a field.
func (f *findings) has(field string) bool {
	_, ok := f.positions[field]
	return ok
}

// positionOf returns the position of a field or, if the files do not set it, that of the
// nearest enclosing object.
func (f *findings) positionOf(field string) position {
	for field != "" {
		if p, ok := f.positions[field]; ok {
			return p
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return f.start
}

// add records a problem at the position of its field.
func (f *findings) add(field, wrong, allowed string) {
	f.addAt(f.positionOf(field), field, wrong, allowed)
}

// addAt records a problem at a position, unless one of the same file and field is already
// recorded.
func (f *findings) addAt(p position, field, wrong, allowed string) {
	key := p.file + "\x00" + field
	if f.reported[key] {
		return
	}
	f.reported[key] = true
	f.problems = append(f.problems, locatedProblem{
		Problem: Problem{File: p.file, Line: p.line, Field: field, Wrong: wrong, Allowed: allowed},
		order:   p.order,
	})
}

// err returns the problems in the order of files and lines, or nil if there are none.
func (f *findings) err() error {
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b locatedProblem) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.Line, b.Line))
	})
	out := make(Problems, len(f.problems))
	for i, p := range f.problems {
		out[i] = p.Problem
	}
	return out
}
