// Package jsonc reads objects from JSON with comments and trailing commas. The
// reader requests each field that it knows. Every unknown field, wrong type, and
// missing or invalid value becomes a Problem with file, line and field, and
// reading continues, so that all problems of a file are reported at once. The
// package does no I/O.
package jsonc

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/tailscale/hujson"
)

// Limits on the parsed text, so that a malicious text can't exhaust the memory or
// the stack of the process.
const (
	MaxTextBytes = 1 << 20
	MaxDepth     = 32 // nested objects and arrays
)

// source maps offsets in the text to lines.
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

// line returns the line number, starting at 1, of the byte at offset.
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

// Parse reads a text whose top-level value is an object. Problems found later by
// readers of the object are added to the same report. The object is never nil;
// after a syntax error it is empty, and none of its fields is reported as missing.
func Parse(text []byte, file string) (*Object, *Report) {
	report := &Report{file: file}
	ctx := &context{report: report, source: newSource(text)}
	if len(text) > MaxTextBytes {
		report.Add(0, "", "longer than "+strconv.Itoa(MaxTextBytes)+" bytes")
		return newEmptyObject(ctx), report
	}
	if offset, exceeded := findExcessDepth(text); exceeded {
		report.Add(ctx.source.line(offset), "", "nested deeper than "+strconv.Itoa(MaxDepth)+" levels")
		return newEmptyObject(ctx), report
	}
	// The parser retains references to its input and so receives a copy. It
	// requires a newline after a line comment, also after one that ends the text.
	root, err := hujson.Parse(append(bytes.Clone(text), '\n'))
	if err != nil {
		line, problem := describeSyntaxError(err)
		report.Add(min(line, lastLine(text)), "", problem)
		return newEmptyObject(ctx), report
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

// findExcessDepth returns the offset of the first bracket nested beyond MaxDepth,
// skipping strings and comments.
func findExcessDepth(text []byte) (int, bool) {
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

// skipString returns the offset of the closing quote of the string that starts at
// start, or the length of the text if the string is unterminated.
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

// skipComment returns the offset of the last byte of the comment that starts at
// start, start itself if there is no comment, or the length of the text if the
// comment is unterminated.
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

// describeSyntaxError extracts the line and the cause from the parser's message,
// whose form is "hujson: line 3, column 5: cause".
func describeSyntaxError(err error) (int, string) {
	cause := errors.Unwrap(err)
	if cause == nil {
		return 0, err.Error()
	}
	prefix := []byte(err.Error())
	_, after, found := bytes.Cut(prefix, []byte("line "))
	if !found {
		return 0, cause.Error()
	}
	digits, _, _ := bytes.Cut(after, []byte(","))
	line, convErr := strconv.Atoi(string(digits))
	if convErr != nil {
		return 0, cause.Error()
	}
	return line, "not valid JSON with comments: " + cause.Error()
}
