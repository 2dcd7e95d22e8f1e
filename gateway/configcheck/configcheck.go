// Package configcheck finds errors, contradictions and entries without effect in a site configuration before it is sent, and
// compares it with the version in force. It does no I/O. The names of fields are those of the platform, whose adapter reads the
// configuration and tells where each value stands.
package configcheck

import "github.com/burdockspindle/burdockspindle/gateway/site"

// Severity is how bad a finding is.
type Severity string

// The severities.
const (
	Error   Severity = "error"   // nodes reject the configuration, or requests cannot be served
	Warning Severity = "warning" // it is applied, but an entry has no effect or contradicts another
)

// Code identifies the kind of a finding. Codes do not change.
type Code string

// The codes.
const (
	InvalidValue     Code = "invalid-value"
	MissingTarget    Code = "missing-target"
	UndefinedService Code = "undefined-service"
	NoWeight         Code = "no-weight" // all weights of a split are 0
	InvalidPrefix    Code = "invalid-prefix"
	StaleVersion     Code = "stale-version" // not above the version in force
	Rejected         Code = "rejected"      // by nodes, for a reason without a code of its own

	ShadowedRoute   Code = "shadowed-route"
	UnmatchedHost   Code = "unmatched-host"
	UnusedService   Code = "unused-service"
	ZeroWeight      Code = "zero-weight"
	DuplicateName   Code = "duplicate-name"
	SingleAndSplit  Code = "service-and-split"
	TimeoutTooShort Code = "timeout-below-objective"
	NoObjective     Code = "no-objective"
	NoAttempts      Code = "no-attempts"
	TooManyAttempts Code = "more-attempts-than-servers"
	UnknownRegion   Code = "unknown-region"
	NoUsableRegion  Code = "no-usable-region"
)

// Finding is one problem of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Path     string   `json:"path"` // such as "listeners[0].rules[1].name"; empty: the whole file
	Line     int      `json:"line,omitempty"`
	Code     Code     `json:"code"`
	Message  string   `json:"message"`
}

// Field identifies a value of an entry, whatever the platform calls it.
type Field string

// The fields that checks refer to. Adapters may add others, which are only compared.
const (
	FieldName      Field = "name"
	FieldHost      Field = "host"
	FieldPrefix    Field = "prefix"
	FieldTimeout   Field = "timeout"
	FieldObjective Field = "objective"
	FieldAttempts  Field = "attempts"
	FieldRegions   Field = "regions"
	FieldTargets   Field = "targets"
)

// Value is a value of an entry as the configuration has it.
type Value struct {
	Field Field
	Path  string
	Line  int
	Text  string // for people
}

// What an entry is.
type What string

// The kinds of entry.
const (
	Route   What = "route"
	Service What = "service"
	Limits  What = "limits"
)

// Entry is a route, a service or the limits.
type Entry struct {
	What   What
	Name   string
	Path   string
	Line   int
	Values []Value
	// Targets are the places of a route's targets, parallel to site.Route.Targets.
	Targets []Value
	// HasSingle reports that a route names a single service; it may have a split beside it.
	HasSingle bool
}

// Document is a configuration with the places of its entries.
type Document struct {
	Config   *site.Config
	Version  Value
	Routes   []Entry // parallel to Config.Routes
	Services []Entry // in the order of the file, with those that are defined twice
	Limits   Entry
	Findings []Finding // of the reading
	// IsUnreadable reports that nothing could be read, so that no comparison makes sense.
	IsUnreadable bool
}

// value returns a value of an entry; the entry itself if it lacks it.
func (e *Entry) value(field Field) Value {
	for _, v := range e.Values {
		if v.Field == field {
			return v
		}
	}
	return Value{Field: field, Path: e.Path, Line: e.Line}
}

// Known is what is known of the site beside the configuration.
type Known struct {
	Servers map[site.ServiceName]int // number of servers; a service that is missing is not known
	Regions map[string]bool          // that have a zone; empty: not known
}

// Format reads configurations of one platform.
type Format struct {
	Name string
	// IsLike reports whether a text looks like a configuration of the platform, valid or not.
	IsLike func(text []byte) bool
	// Read reads a configuration with all that is wrong with its form.
	Read func(text []byte, file string) *Document
}

var formats []Format

// Register adds a format. It is called from init() of an adapter.
func Register(f Format) { formats = append(formats, f) }

// Formats returns the registered formats.
func Formats() []Format { return formats }
