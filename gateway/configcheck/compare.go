package configcheck

import (
	"fmt"
	"strings"
)

// Kind is how an entry differs.
type Kind string

// The kinds of change.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one difference from the version in force.
type Change struct {
	Kind Kind   `json:"kind"`
	What What   `json:"what"`
	Name string `json:"name,omitempty"` // of the entry
	// Path is the place in the new configuration, of what was removed that in the version in force.
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Compare returns what differs from the version in force, and a finding if nodes would not take the configuration in its place.
// Routes and services are the same if their names are; routes without a name of their own if host and prefix are.
func Compare(inForce, next *Document) ([]Change, []Finding) {
	if inForce.IsUnreadable || next.IsUnreadable {
		return nil, nil
	}
	changes := compareEntries(inForce.Routes, next.Routes)
	changes = append(changes, compareEntries(inForce.Services, next.Services)...)
	changes = append(changes, compareValues(&inForce.Limits, &next.Limits)...)
	return changes, checkVersion(inForce, next, len(changes) > 0)
}

// checkVersion reports a version that is not above the one in force, unless the configurations are the same.
func checkVersion(inForce, next *Document, differ bool) []Finding {
	old, version := inForce.Config.Version, next.Config.Version
	if version > old || version == old && !differ {
		return nil
	}
	at := next.Version
	message := fmt.Sprintf("%s is not above %s, the version in force: nodes do not take it", at.Text, inForce.Version.Text)
	return []Finding{{Severity: Error, Path: at.Path, Line: at.Line, Code: StaleVersion, Message: message}}
}

func compareEntries(old, next []Entry) []Change {
	var changes []Change
	before, after := byIdentity(old), byIdentity(next)
	for i := range next {
		e := &next[i]
		key := identity(next, e)
		switch earlier := before[key]; {
		case after[key] != e: // defined twice: compared once
		case earlier == nil:
			changes = append(changes, Change{Kind: Added, What: e.What, Name: e.Name, Path: e.Path, New: e.summary()})
		default:
			changes = append(changes, compareValues(earlier, e)...)
		}
	}
	for i := range old {
		e := &old[i]
		if key := identity(old, e); before[key] == e && after[key] == nil {
			changes = append(changes, Change{Kind: Removed, What: e.What, Name: e.Name, Path: e.Path, Old: e.summary()})
		}
	}
	return changes
}

func byIdentity(entries []Entry) map[string]*Entry {
	result := map[string]*Entry{}
	for i := range entries {
		result[identity(entries, &entries[i])] = &entries[i]
	}
	return result
}

// identity returns what makes an entry the same in two versions.
func identity(entries []Entry, e *Entry) string {
	if e.What != Route {
		return e.Name
	}
	count := 0
	for i := range entries {
		if entries[i].Name == e.Name {
			count++
		}
	}
	if e.Name != "" && count == 1 {
		return e.Name
	}
	return e.value(FieldHost).Text + " " + e.value(FieldPrefix).Text
}

// compareValues compares the values of one entry. A value that only one version has is compared with none.
func compareValues(old, next *Entry) []Change {
	var changes []Change
	earlier := map[Field]Value{}
	for _, v := range old.Values {
		earlier[v.Field] = v
	}
	for _, v := range next.Values {
		if was := earlier[v.Field].Text; withoutZero(was) != withoutZero(v.Text) {
			changes = append(changes, Change{Kind: Changed, What: next.What, Name: next.Name, Path: v.Path, Old: was, New: v.Text})
		}
		delete(earlier, v.Field)
	}
	for _, v := range old.Values {
		if _, isLeft := earlier[v.Field]; isLeft && withoutZero(v.Text) != "" {
			changes = append(changes, Change{Kind: Changed, What: next.What, Name: next.Name, Path: v.Path, Old: v.Text})
		}
	}
	return changes
}

// withoutZero returns a value as nodes see it: 0 and false are what is assumed for a field that is missing.
func withoutZero(text string) string {
	if text == "0" || text == "false" {
		return ""
	}
	return text
}

// summary returns the values of an entry in one line, by the platform's names.
func (e *Entry) summary() string {
	var parts []string
	for _, v := range e.Values {
		if v.Text != "" && v.Field != FieldName {
			name := strings.TrimPrefix(strings.TrimPrefix(v.Path, e.Path), ".")
			parts = append(parts, name+" "+v.Text)
		}
	}
	return strings.Join(parts, ", ")
}
