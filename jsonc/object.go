package jsonc

import (
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// context holds the data shared by all values of one text.
type context struct {
	report *Report
	source *source
}

// Object reads the fields of one JSON object.
type Object struct {
	ctx        *context
	path       string
	line       int
	suppressed bool // the object is missing or invalid; problems of its fields aren't reported
	names      []string
	fields     map[string]*Value
	knownNames map[string]bool
}

func newEmptyObject(ctx *context) *Object {
	return &Object{ctx: ctx, suppressed: true, fields: map[string]*Value{}, knownNames: map[string]bool{}}
}

// newObject indexes the members of an object by name and reports duplicate names.
func newObject(ctx *context, path string, line int, raw *hujson.Object) *Object {
	o := &Object{ctx: ctx, path: path, line: line, fields: map[string]*Value{}, knownNames: map[string]bool{}}
	for i := range raw.Members {
		member := &raw.Members[i]
		name := memberName(member.Name)
		nameLine := ctx.source.line(member.Name.StartOffset)
		if earlier, exists := o.fields[name]; exists {
			text := "given twice, first on line " + strconv.Itoa(earlier.line)
			ctx.report.Add(nameLine, joinPath(path, name), text)
			continue
		}
		o.names = append(o.names, name)
		o.fields[name] = &Value{ctx: ctx, path: joinPath(path, name), line: nameLine, raw: member.Value.Value}
	}
	return o
}

func memberName(name hujson.Value) string {
	literal, isLiteral := name.Value.(hujson.Literal)
	if !isLiteral {
		return ""
	}
	return literal.String()
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// Line returns the line on which the object starts.
func (o *Object) Line() int { return o.line }

// Path returns the object's field path; empty for the top level.
func (o *Object) Path() string { return o.path }

// Get returns a field, which may be absent, and marks its name as known to the
// reader, so that Close doesn't report it.
func (o *Object) Get(name string) *Value {
	o.knownNames[name] = true
	if value, exists := o.fields[name]; exists {
		return value
	}
	return &Value{ctx: o.ctx, path: joinPath(o.path, name), line: o.line, suppressed: o.suppressed}
}

// Required is Get for a mandatory field; it reports an absent field.
func (o *Object) Required(name string) *Value {
	value := o.Get(name)
	if !value.Present() && !o.suppressed {
		value.Problem("missing")
		value.suppressed = true
	}
	return value
}

// Names returns the object's field names in the order of the text, for objects
// whose names are data, and marks all of them as known.
func (o *Object) Names() []string {
	for _, name := range o.names {
		o.knownNames[name] = true
	}
	return o.names
}

// Close reports every field whose name the reader doesn't know.
func (o *Object) Close() {
	for _, name := range o.names {
		if o.knownNames[name] {
			continue
		}
		o.fields[name].Problem("unknown field; known here: " + o.listKnownNames())
	}
}

func (o *Object) listKnownNames() string {
	names := make([]string, 0, len(o.knownNames))
	for name := range o.knownNames {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// FirstPresent returns the field at which to report a violated constraint between
// several fields: the first of names that is present, or names[0] if none is.
func (o *Object) FirstPresent(names ...string) *Value {
	for _, name := range names {
		if _, exists := o.fields[name]; exists {
			return o.Get(name)
		}
	}
	return o.Get(names[0])
}
