package jsonc

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Value is one field, present or absent. Each reader returns its default when
// the field is absent, and also, after noting a problem, when it is wrong.
type Value struct {
	ctx   *context
	path  string
	line  int
	raw   hujson.ValueTrimmed // nil when absent
	quiet bool                // absence was reported or belongs to a broken parent
}

// Present reports whether the field is given.
func (v *Value) Present() bool { return v.raw != nil }

// Line returns the field's line; the enclosing object's when it is absent.
func (v *Value) Line() int { return v.line }

// Path returns the field's path.
func (v *Value) Path() string { return v.path }

// Problem notes a problem with this field.
func (v *Value) Problem(text string) {
	if v.quiet {
		return
	}
	v.ctx.report.Add(v.line, v.path, text)
}

// literal returns the field's literal if it has the wanted kind.
func (v *Value) literal(kind hujson.Kind, wanted string) (hujson.Literal, bool) {
	if !v.Present() {
		return nil, false
	}
	literal, isLiteral := v.raw.(hujson.Literal)
	if !isLiteral || literal.Kind() != kind {
		v.Problem("must be " + wanted + ", not " + kindName(v.raw.Kind()))
		return nil, false
	}
	return literal, true
}

// String reads a string.
func (v *Value) String(byDefault string) string {
	literal, ok := v.literal('"', "a string")
	if !ok {
		return byDefault
	}
	return literal.String()
}

// Text reads a string that must not be empty.
func (v *Value) Text() string {
	text := v.String("")
	if v.IsString() && text == "" {
		v.Problem("must not be empty")
	}
	return text
}

// IsString reports whether the field is given and a string.
func (v *Value) IsString() bool {
	return v.Present() && v.raw.Kind() == '"'
}

// Choice reads a string that must be one of the given ones.
func (v *Value) Choice(byDefault string, choices ...string) string {
	if !v.IsString() {
		return v.String(byDefault) // absent, or notes the wrong type
	}
	text := v.String(byDefault)
	for _, choice := range choices {
		if text == choice {
			return text
		}
	}
	v.Problem("must be one of " + strings.Join(choices, ", ") + ", not " + strconv.Quote(text))
	return byDefault
}

// IsFalse reports whether the field is given as false.
func (v *Value) IsFalse() bool {
	literal, isLiteral := v.raw.(hujson.Literal)
	return isLiteral && literal.Kind() == 'f'
}

// Bool reads true or false.
func (v *Value) Bool(byDefault bool) bool {
	if !v.Present() {
		return byDefault
	}
	literal, isLiteral := v.raw.(hujson.Literal)
	if isLiteral && (literal.Kind() == 't' || literal.Kind() == 'f') {
		return literal.Bool()
	}
	v.Problem("must be true or false, not " + kindName(v.raw.Kind()))
	return byDefault
}

// Int reads a whole number between least and most.
func (v *Value) Int(byDefault, least, most int64) int64 {
	literal, ok := v.literal('0', "a whole number")
	if !ok {
		return byDefault
	}
	number, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil {
		v.Problem("must be a whole number, not " + string(literal))
		return byDefault
	}
	if number < least || number > most {
		v.Problem("must be between " + formatInt(least) + " and " + formatInt(most) + ", not " + string(literal))
		return byDefault
	}
	return number
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// Float reads a number between least and most.
func (v *Value) Float(byDefault, least, most float64) float64 {
	literal, ok := v.literal('0', "a number")
	if !ok {
		return byDefault
	}
	number, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || number < least || number > most {
		v.Problem("must be between " + formatFloat(least) + " and " + formatFloat(most) + ", not " + string(literal))
		return byDefault
	}
	return number
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// Duration reads a length of time such as "250ms" or "10m", between least and
// most.
func (v *Value) Duration(byDefault, least, most time.Duration) time.Duration {
	literal, ok := v.literal('"', `a duration such as "250ms"`)
	if !ok {
		return byDefault
	}
	text := literal.String()
	duration, err := time.ParseDuration(text)
	if err != nil {
		v.Problem(`must be a duration such as "250ms" or "10m", not ` + strconv.Quote(text))
		return byDefault
	}
	if duration < least || duration > most {
		v.Problem("must be between " + least.String() + " and " + most.String() + ", not " + duration.String())
		return byDefault
	}
	return duration
}

// IsArray reports whether the field is given and an array.
func (v *Value) IsArray() bool {
	return v.Present() && v.raw.Kind() == '['
}

// Elements returns the values of an array; nil when it is absent or wrong.
func (v *Value) Elements() []*Value {
	if !v.Present() {
		return nil
	}
	array, isArray := v.raw.(*hujson.Array)
	if !isArray {
		v.Problem("must be an array, not " + kindName(v.raw.Kind()))
		return nil
	}
	elements := make([]*Value, len(array.Elements))
	for i := range array.Elements {
		element := &array.Elements[i]
		elements[i] = &Value{
			ctx:  v.ctx,
			path: v.path + "[" + strconv.Itoa(i) + "]",
			line: v.ctx.source.line(element.StartOffset),
			raw:  element.Value,
		}
	}
	return elements
}

// Object reads an object. It is never nil: an absent or wrong one is empty, and
// its fields aren't reported as missing.
func (v *Value) Object() *Object {
	if !v.Present() {
		return quietObject(v.ctx)
	}
	raw, isObject := v.raw.(*hujson.Object)
	if !isObject {
		v.Problem("must be an object, not " + kindName(v.raw.Kind()))
		return quietObject(v.ctx)
	}
	return newObject(v.ctx, v.path, v.line, raw)
}

// Any reads any value in the form of encoding/json's Unmarshal into an any.
// Repeated names inside are reported.
func (v *Value) Any() any {
	switch raw := v.raw.(type) {
	case hujson.Literal:
		var decoded any
		if err := json.Unmarshal(raw, &decoded); err != nil {
			v.Problem("cannot be read: " + err.Error())
		}
		return decoded
	case *hujson.Array:
		decoded := make([]any, 0, len(raw.Elements))
		for _, element := range v.Elements() {
			decoded = append(decoded, element.Any())
		}
		return decoded
	case *hujson.Object:
		return v.Object().anyMap()
	}
	return nil
}

func (o *Object) anyMap() map[string]any {
	decoded := make(map[string]any, len(o.names))
	for _, name := range o.Names() {
		decoded[name] = o.fields[name].Any()
	}
	return decoded
}

func kindName(kind hujson.Kind) string {
	switch kind {
	case 'n':
		return "null"
	case 't', 'f':
		return "true or false"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '{':
		return "an object"
	case '[':
		return "an array"
	}
	return "something else"
}
