package jsonc

import (
	"slices"
	"strconv"
	"strings"
)

// Problem is one fault in a file. It implements error.
type Problem struct {
	File  string `json:"file"`
	Line  int    `json:"line"`            // from 1; 0 when the fault has no place
	Field string `json:"field,omitempty"` // path such as "services.quotes.deadline"; empty for the whole file
	Text  string `json:"text"`            // what is wrong and what would be right
}

// Error renders the problem as "file:line: field: text".
func (p *Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		b.WriteString(":" + strconv.Itoa(p.Line))
	}
	b.WriteString(": ")
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Text)
	return b.String()
}

// InvalidError holds every problem of one file. errors.As finds the single
// *Problem values in it.
type InvalidError struct{ Problems []Problem }

// Error lists the problems, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i := range e.Problems {
		lines[i] = e.Problems[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems as errors.
func (e *InvalidError) Unwrap() []error {
	wrapped := make([]error, len(e.Problems))
	for i := range e.Problems {
		wrapped[i] = &e.Problems[i]
	}
	return wrapped
}

// MaxProblems bounds what one report lists.
const MaxProblems = 1000

// Report collects the problems of one file.
type Report struct {
	file     string
	problems []Problem
	noted    map[Problem]bool
}

// Add notes a problem at a line and field. One that was noted before, because
// two readers found it, is not listed again.
func (r *Report) Add(line int, field, text string) {
	problem := Problem{File: r.file, Line: line, Field: field, Text: text}
	if r.noted[problem] || len(r.problems) >= MaxProblems {
		return
	}
	if r.noted == nil {
		r.noted = map[Problem]bool{}
	}
	r.noted[problem] = true
	r.problems = append(r.problems, problem)
}

// Problems returns what was noted, ordered by line; nil when all is well.
func (r *Report) Problems() []Problem {
	sorted := slices.Clone(r.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int { return a.Line - b.Line })
	return sorted
}

// Err returns an *InvalidError with all problems, or nil.
func (r *Report) Err() error {
	return ErrorOf(r.Problems())
}

// ErrorOf returns an *InvalidError of the problems, or nil when there are none.
func ErrorOf(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: problems}
}
