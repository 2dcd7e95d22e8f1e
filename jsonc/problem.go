package jsonc

import (
	"slices"
	"strconv"
	"strings"
)

// Problem is one error in a file. It implements error.
type Problem struct {
	File  string `json:"file"`
	Line  int    `json:"line"`            // starts at 1; 0 if the problem has no line
	Field string `json:"field,omitempty"` // path such as "services.quotes.deadline"; empty for the whole file
	Text  string `json:"text"`            // what is wrong and which values are valid
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

// InvalidError holds every problem of one file. errors.As finds the
// individual *Problem values in it.
type InvalidError struct{ Problems []Problem }

// Error lists the problems, one per line.
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

// MaxProblems is the maximum number of problems in one report.
const MaxProblems = 1000

// Report collects the problems of one file.
type Report struct {
	file     string
	problems []Problem
	seen     map[Problem]bool
}

// Add adds a problem at a line and field. A problem that is already in the report,
// because another reader found it, is not added again.
func (r *Report) Add(line int, field, text string) {
	problem := Problem{File: r.file, Line: line, Field: field, Text: text}
	if r.seen[problem] || len(r.problems) >= MaxProblems {
		return
	}
	if r.seen == nil {
		r.seen = map[Problem]bool{}
	}
	r.seen[problem] = true
	r.problems = append(r.problems, problem)
}

// Problems returns the problems sorted by line; nil if there are none.
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
