// Package events is the catalogue of numbered log events. Every line that a
// process logs has a Number. docs/EVENTS.md explains each number; a test checks
// that the page and the code agree. Each range belongs to one part of the system:
//
//	1000 process and kernel      1100 settings and site configuration
//	1200 log, follower           1300 peers and membership
//	1400 leases and lessors      1500 planner, moves and balance
//	1600 requests                1700 servers and health
//	1800 administration          1900 stand-ins, demo, experiment
//	2000 gateway: the site       2100 gateway: the lessor's duty
//	2200 gateway: requests       2300 gateway: processes
package events

import "github.com/hashicorp/go-hclog"

// Number identifies an event permanently; numbers are never reused.
type Number int

// Event is an entry of the catalogue.
type Event struct {
	Number Number
	Level  hclog.Level
	Text   string // constant text, starting in lower case
}

var catalogue = map[Number]Event{}

// Define adds an event to the catalogue. Package-level variable declarations call
// it; it panics on a duplicate number.
func Define(number Number, level hclog.Level, text string) Event {
	if _, exists := catalogue[number]; exists {
		panic(&DuplicateError{Number: number})
	}
	event := Event{Number: number, Level: level, Text: text}
	catalogue[number] = event
	return event
}

// Catalogue returns every defined event, sorted by number.
func Catalogue() map[Number]Event {
	all := make(map[Number]Event, len(catalogue))
	for number, event := range catalogue {
		all[number] = event
	}
	return all
}

// Log writes the event with alternating field names and values.
func (e Event) Log(logger hclog.Logger, fields ...any) {
	if logger == nil {
		return
	}
	logger.Log(e.Level, e.Text, append([]any{"event", int(e.Number)}, fields...)...)
}

// DuplicateError reports a number that is defined twice.
type DuplicateError struct{ Number Number }

// Error implements error.
func (e *DuplicateError) Error() string { return "event number defined twice" }
