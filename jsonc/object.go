package jsonc

import (
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// context is what all values of one text share.
type context struct {
	report *Report
	source *source
}

// Object reads the fields of one JSON object.
type Object struct {
	ctx    *context
	path   string
	line   int
	quiet  bool // the object is missing or broken; its fields aren't reported
	names  []string
	fields map[string]*Value
	asked  map[string]bool
}

func quietObject(ctx *context) *Object {
	return &Object{ctx: ctx, quiet: true, fields: map[string]*Value{}, asked: map[string]bool{}}
}

// newObject indexes the members of an object and reports repeated names.
func newObject(ctx *context, path string, line int, raw *hujson.Object) *Object {
	o := &Object{ctx: ctx, path: path, line: line, fields: map[string]*Value{}, asked: map[string]bool{}}
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

// Line returns the line on which the object begins.
func (o *Object) Line() int { return o.line }

// Path returns the object's field path; empty for the top level.
func (o *Object) Path() string { return o.path }

// Get returns a field, which may be absent, and marks its name as known.
func (o *Object) Get(name string) *Value {
	o.asked[name] = true
	if value, exists := o.fields[name]; exists {
		return value
	}
	return &Value{ctx: o.ctx, path: joinPath(o.path, name), line: o.line, quiet: o.quiet}
}

// Need is Get for a field that must be given.
func (o *Object) Need(name string) *Value {
	value := o.Get(name)
	if !value.Present() && !o.quiet {
		value.Problem("missing")
		value.quiet = true
	}
	return value
}

// Names lists the object's field names in the order of the text, for objects
// whose names are data. All become known.
func (o *Object) Names() []string {
	for _, name := range o.names {
		o.asked[name] = true
	}
	return o.names
}

// Close reports every field that no reader asked for.
func (o *Object) Close() {
	for _, name := range o.names {
		if o.asked[name] {
			continue
		}
		o.fields[name].Problem("unknown field; known here: " + o.known())
	}
}

func (o *Object) known() string {
	names := make([]string, 0, len(o.asked))
	for name := range o.asked {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// Blame returns the field at which to report a rule over several fields: the
// first of the names that is given, else the first.
func (o *Object) Blame(names ...string) *Value {
	for _, name := range names {
		if _, exists := o.fields[name]; exists {
			return o.Get(name)
		}
	}
	return o.Get(names[0])
}
