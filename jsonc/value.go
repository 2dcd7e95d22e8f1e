package jsonc

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Value is one field, present or absent. Each read method returns its default if
// the field is absent; if the field is invalid, it reports a problem and returns
// the default.
type Value struct {
	ctx        *context
	path       string
	line       int
	raw        hujson.ValueTrimmed // nil when absent
	suppressed bool                // the absence was reported, or the parent is missing or invalid
}

// Present reports whether the text contains the field.
func (v *Value) Present() bool { return v.raw != nil }

// Line returns the field's line, or the enclosing object's line if the field is
// absent.
func (v *Value) Line() int { return v.line }

// Path returns the field's path.
func (v *Value) Path() string { return v.path }

// Problem reports a problem with this field.
func (v *Value) Problem(text string) {
	if v.suppressed {
		return
	}
	v.ctx.report.Add(v.line, v.path, text)
}

// literal returns the field's literal if it has the expected kind. expected also
// describes that kind in the problem that is reported otherwise.
func (v *Value) literal(kind hujson.Kind, expected string) (hujson.Literal, bool) {
	if !v.Present() {
		return nil, false
	}
	literal, isLiteral := v.raw.(hujson.Literal)
	if !isLiteral || literal.Kind() != kind {
		v.Problem("must be " + expected + ", not " + kindName(v.raw.Kind()))
		return nil, false
	}
	return literal, true
}

// String reads a string.
func (v *Value) String(defaultValue string) string {
	literal, ok := v.literal('"', "a string")
	if !ok {
		return defaultValue
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

// IsString reports whether the field is present and a string.
func (v *Value) IsString() bool {
	return v.Present() && v.raw.Kind() == '"'
}

// Choice reads a string that must be one of choices.
func (v *Value) Choice(defaultValue string, choices ...string) string {
	if !v.IsString() {
		return v.String(defaultValue) // absent, or reports the wrong type
	}
	text := v.String(defaultValue)
	for _, choice := range choices {
		if text == choice {
			return text
		}
	}
	v.Problem("must be one of " + strings.Join(choices, ", ") + ", not " + strconv.Quote(text))
	return defaultValue
}

// IsFalse reports whether the field is present and false.
func (v *Value) IsFalse() bool {
	literal, isLiteral := v.raw.(hujson.Literal)
	return isLiteral && literal.Kind() == 'f'
}

// Bool reads true or false.
func (v *Value) Bool(defaultValue bool) bool {
	if !v.Present() {
		return defaultValue
	}
	literal, isLiteral := v.raw.(hujson.Literal)
	if isLiteral && (literal.Kind() == 't' || literal.Kind() == 'f') {
		return literal.Bool()
	}
	v.Problem("must be true or false, not " + kindName(v.raw.Kind()))
	return defaultValue
}

// Int reads a whole number between minimum and maximum.
func (v *Value) Int(defaultValue, minimum, maximum int64) int64 {
	literal, ok := v.literal('0', "a whole number")
	if !ok {
		return defaultValue
	}
	number, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil {
		v.Problem("must be a whole number, not " + string(literal))
		return defaultValue
	}
	if number < minimum || number > maximum {
		v.Problem("must be between " + formatInt(minimum) + " and " + formatInt(maximum) + ", not " + string(literal))
		return defaultValue
	}
	return number
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

// Float reads a number between minimum and maximum.
func (v *Value) Float(defaultValue, minimum, maximum float64) float64 {
	literal, ok := v.literal('0', "a number")
	if !ok {
		return defaultValue
	}
	number, err := strconv.ParseFloat(string(literal), 64)
	if err != nil || number < minimum || number > maximum {
		v.Problem("must be between " + formatFloat(minimum) + " and " + formatFloat(maximum) + ", not " + string(literal))
		return defaultValue
	}
	return number
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// Duration reads a duration such as "250ms" or "10m", between minimum and maximum.
func (v *Value) Duration(defaultValue, minimum, maximum time.Duration) time.Duration {
	literal, ok := v.literal('"', `a duration such as "250ms"`)
	if !ok {
		return defaultValue
	}
	text := literal.String()
	duration, err := time.ParseDuration(text)
	if err != nil {
		v.Problem(`must be a duration such as "250ms" or "10m", not ` + strconv.Quote(text))
		return defaultValue
	}
	if duration < minimum || duration > maximum {
		v.Problem("must be between " + minimum.String() + " and " + maximum.String() + ", not " + duration.String())
		return defaultValue
	}
	return duration
}

// IsArray reports whether the field is present and an array.
func (v *Value) IsArray() bool {
	return v.Present() && v.raw.Kind() == '['
}

// Elements returns the values of an array; nil if it is absent or invalid.
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

// Object reads an object. The result is never nil: an absent or invalid object is
// empty, and its fields aren't reported as missing.
func (v *Value) Object() *Object {
	if !v.Present() {
		return newEmptyObject(v.ctx)
	}
	raw, isObject := v.raw.(*hujson.Object)
	if !isObject {
		v.Problem("must be an object, not " + kindName(v.raw.Kind()))
		return newEmptyObject(v.ctx)
	}
	return newObject(v.ctx, v.path, v.line, raw)
}

// Any reads any value as encoding/json's Unmarshal decodes it into an any, and
// reports duplicate names in it.
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
