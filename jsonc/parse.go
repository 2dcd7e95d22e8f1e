// Package jsonc reads objects from JSON with comments and trailing commas. A
// reader asks for the fields that it knows; every unknown field, wrong type,
// missing or impossible value becomes a Problem with file, line and field, and
// reading goes on, so that all problems of a file are reported at once. It
// does no I/O.
package jsonc

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/tailscale/hujson"
)

// Limits of what is parsed, so that a hostile text can't exhaust the process.
const (
	MaxTextBytes = 1 << 20
	MaxDepth     = 32 // nested objects and arrays
)

// source finds the line of an offset in the text.
type source struct{ newlines []int }

func newSource(text []byte) *source {
	s := &source{}
	for i, c := range text {
		if c == '\n' {
			s.newlines = append(s.newlines, i)
		}
	}
	return s
}

// line returns the line, from 1, that holds the byte at offset.
func (s *source) line(offset int) int {
	low, high := 0, len(s.newlines)
	for low < high {
		middle := (low + high) / 2
		if s.newlines[middle] < offset {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low + 1
}

// Parse reads a text whose top level is an object. Problems found later by
// readers of the object are noted in the same report. The object is never nil;
// after a syntax error it is empty and quiet: no field is reported as missing.
func Parse(text []byte, file string) (*Object, *Report) {
	report := &Report{file: file}
	ctx := &context{report: report, source: newSource(text)}
	if len(text) > MaxTextBytes {
		report.Add(0, "", "longer than "+strconv.Itoa(MaxTextBytes)+" bytes")
		return quietObject(ctx), report
	}
	if offset, deep := tooDeep(text); deep {
		report.Add(ctx.source.line(offset), "", "nested deeper than "+strconv.Itoa(MaxDepth)+" levels")
		return quietObject(ctx), report
	}
	// The parser keeps references into its input, so it gets a copy; and it
	// wants a line comment to end, also the last one.
	root, err := hujson.Parse(append(bytes.Clone(text), '\n'))
	if err != nil {
		line, problem := describeSyntaxError(err)
		report.Add(min(line, lastLine(text)), "", problem)
		return quietObject(ctx), report
	}
	value := &Value{ctx: ctx, line: ctx.source.line(root.StartOffset), raw: root.Value}
	return value.Object(), report
}

// lastLine returns the last line that is not blank.
func lastLine(text []byte) int {
	return 1 + bytes.Count(bytes.TrimSpace(text), []byte("\n")) + leadingLines(text)
}

func leadingLines(text []byte) int {
	content := bytes.TrimLeft(text, " \t\r\n")
	return bytes.Count(text[:len(text)-len(content)], []byte("\n"))
}

// tooDeep returns the offset of the first bracket nested beyond MaxDepth,
// skipping strings and comments.
func tooDeep(text []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = skipString(text, i)
		case '/':
			i = skipComment(text, i)
		case '{', '[':
			depth++
			if depth > MaxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skipString returns the offset of the quote that ends the string which starts
// at start, or the text's end.
func skipString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// skipComment returns the offset of the last byte of a comment that starts at
// start; start itself when none does.
func skipComment(text []byte, start int) int {
	rest := text[start:]
	var end int
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = bytes.IndexByte(rest, '\n')
	case bytes.HasPrefix(rest, []byte("/*")):
		if end = bytes.Index(rest[2:], []byte("*/")); end >= 0 {
			end += 3
		}
	default:
		return start
	}
	if end < 0 {
		return len(text)
	}
	return start + end
}

// describeSyntaxError takes the line out of the parser's message, which reads
// "hujson: line 3, column 5: what".
func describeSyntaxError(err error) (int, string) {
	what := errors.Unwrap(err)
	if what == nil {
		return 0, err.Error()
	}
	prefix := []byte(err.Error())
	_, after, found := bytes.Cut(prefix, []byte("line "))
	if !found {
		return 0, what.Error()
	}
	digits, _, _ := bytes.Cut(after, []byte(","))
	line, convErr := strconv.Atoi(string(digits))
	if convErr != nil {
		return 0, what.Error()
	}
	return line, "not valid JSON with comments: " + what.Error()
}
